// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// defaultTimeout is the timeout of a request whose client names none.
	defaultTimeout = 30 * time.Second
	// defaultRetryAfter is the delay after which a refused client should retry, unless a better
	// one is known.
	defaultRetryAfter = 300 * time.Millisecond
	// stoppingRetryAfter is the delay after which a client should retry that is refused because
	// this instance is stopping. It is short, since a new connection reaches another instance.
	stoppingRetryAfter = 50 * time.Millisecond
	// minOutageRetryAfter and maxOutageRetryAfter bound the delay after which a client should
	// retry that is refused because no route table is known. The store is unavailable then, since
	// a gateway otherwise reads the table within a few milliseconds, and outages shorter than
	// the minimum are rare.
	minOutageRetryAfter = time.Second
	maxOutageRetryAfter = 10 * time.Second
	// outageRetryFactor is the expected further duration of a store outage, as a multiple of its
	// duration so far.
	outageRetryFactor = 2
	// evacuatedRetryAfter is the delay after which a client should retry whose request only
	// targets in evacuated halls could serve: operators need at least seconds to readmit a hall.
	evacuatedRetryAfter = 2 * time.Second
	// deadlineMargin is subtracted from the deadline, so that the final answer reaches the client
	// in time.
	deadlineMargin = 15 * time.Millisecond
	// accountPriorityWeight is the number of ranks of urgency per step of an account's priority.
	accountPriorityWeight = 1
)

// Catalog is the known state of the platform: the route table, the targets and the store.
type Catalog interface {
	// Table returns the route table in force, nil if none is known yet.
	Table() *routetable.Table
	// AgedTable returns the same and the time since that table was last known to be the newest.
	AgedTable(now time.Time) (table *routetable.Table, age time.Duration)
	// Targets returns the known targets of a service.
	Targets(service string) []hookhall.Target
	// Departing returns those that are leaving, and that still serve what can go nowhere else.
	Departing(service string, now time.Time) []hookhall.Target
	// TargetsAge returns the age of the list of targets.
	TargetsAge(now time.Time) time.Duration
	// TimeSinceAnswer returns the time since the store last answered this process.
	TimeSinceAnswer(now time.Time) time.Duration
	// Evacuated reports whether a service has targets, but all usable ones are in evacuated halls.
	Evacuated(service string) bool
}

// Stages runs the stages of a request.
type Stages interface {
	// Run runs the stages of g and returns their results, which the caller must release.
	Run(ctx context.Context, g stages.Graph) (*stages.Results, error)
}

// Placement chooses targets for the requests of all gateways.
type Placement interface {
	// Place returns where to send a request. If its target is empty, the caller chooses one.
	// limits are the rate limits of targets that the caller knows of.
	Place(ctx context.Context, service string, criteria balance.Criteria, limits []advisory.Report) placement.Placement
}

// Quarantine records requests that crash the targets which run them.
type Quarantine interface {
	// Standing returns the crashes recorded against a request. It calls identity only if any
	// crashes are recorded, so that digests are computed only when needed.
	Standing(identity func() crashes.Identity) crashes.Status
	// Suspect records that t broke off its answer to a request.
	Suspect(i crashes.Identity, t hookhall.Target)
	// Running records that a target is writing the answer to a request.
	Running(i crashes.Identity)
	// Served records that t answered a request completely, or has run it for long without a crash.
	Served(i crashes.Identity, t hookhall.Target)
	// EndedWithConnection records the same of an answer whose end was only marked by the end of
	// its connection.
	EndedWithConnection(i crashes.Identity, t hookhall.Target)
}

// Rollouts decides which versions of a service may run a request, and counts the outcomes of
// canary requests.
type Rollouts interface {
	// Versions returns the versions of a service that may run a request. first means that no
	// target received the request yet.
	Versions(service string, first bool) balance.Versions
	// MayGoOn reports whether a stream that a version began may go on there.
	MayGoOn(service, version string) bool
	// Begin counts a request that is sent to t. It returns nil if no rollout includes t.
	Begin(route string, t hookhall.Target) *rollouts.Attempt
}

// Bindings knows which software versions began streams.
type Bindings interface {
	// Bind records the version that began a stream, before its first event is passed on. window is
	// how long ago a stream that is still of use can have begun.
	Bind(ctx context.Context, bound binding.Binding, window time.Duration)
	// Refresh records the binding of a stream that a client takes up, without waiting.
	Refresh(bound binding.Binding)
	// Find returns the software at which a stream has to go on.
	Find(ctx context.Context, q bindings.Query) bindings.Found
	// Preferred returns the version at which new streams of a service should begin while those of
	// others can't be tied to their version. ok is false while they can be.
	Preferred(service string) (version string, ok bool)
}

// Meter receives the counts of a Forwarder.
type Meter interface {
	// Forwarded counts the end of a request, took after its arrival. cause is "answered" if the
	// client got a target's answer.
	Forwarded(route, cause string, verdict hookhall.Verdict, took time.Duration)
	// UnfinishedStream counts a stream that its target ended inside an event.
	UnfinishedStream(framing hookhall.Framing)
	// Retried counts a retry of a request for a service.
	Retried(service string)
	// Admission counts a decision about a request by the load of its stage pools, by outcome,
	// reason and urgency level.
	Admission(outcome, reason string, urgency int)
	// RefusedByTable counts a request that the table in force does not allow, by the time since
	// that table was last confirmed and whether this process is on the list of gateways.
	RefusedByTable(cause string, age time.Duration, listed bool)
}

// Forwarder answers requests. The exported fields are set before the first call of Serve.
type Forwarder struct {
	Catalog Catalog
	Stages  Stages
	Sender  hookhall.Sender
	// Identifier is queried before a begun stream goes on at a target. It may be nil.
	Identifier hookhall.Identifier
	Placement  Placement
	// Quarantine excludes targets that a request content would crash.
	Quarantine Quarantine
	Rollouts   Rollouts
	// Bindings keeps streams at the version that began them.
	Bindings Bindings
	Tracker  *balance.Tracker
	// Advisories holds the rate limits and pauses that targets reported.
	Advisories *advisory.Registry
	Budget     *budget.Budget
	// Buffers limits the memory for answers that are read before they are passed on.
	Buffers *buffer.Budget
	// Admission refuses requests that the stage pools can't serve in time; nil admits all.
	Admission *Admission
	// ColdShare returns how many requests this process may send to a cold target of a service in
	// any second without the placement owner.
	ColdShare func(target string, s *hookhall.Service) int
	// SlotShare returns the part of a number of slots of a brittle target that this process may
	// use without the placement owner.
	SlotShare func(slots int, target string) int
	// HallsIn returns the halls of regions.
	HallsIn func(regions []string) []string
	// TableBound is the time within which a change of the operators' table must be in force. A
	// table that was not confirmed for longer is no ground to refuse a request as unknown.
	TableBound time.Duration
	// Listed reports whether this process is on the list of gateways.
	Listed func() bool
	// StopsIn returns the time until this process ends the requests in progress. isStopping is false unless
	// it refuses new ones. It may be nil.
	StopsIn func() (left time.Duration, isStopping bool)
	Meter   Meter
	Log     *log.Logger

	readTime readTimeEstimate
}

// MaxBody returns the operators' limit of request bodies in bytes, 0 if none is known or the table
// that has it may be outdated.
func (f *Forwarder) MaxBody() int {
	if t, age := f.Catalog.AgedTable(clock.Now()); t != nil && age <= f.TableBound {
		return t.Routing().Limits.MaxBody
	}
	return 0
}

// MaxHead returns the operators' limit of a request's head in bytes, 0 if none is known or the table that
// has it may be outdated.
func (f *Forwarder) MaxHead() int {
	if t, age := f.Catalog.AgedTable(clock.Now()); t != nil && age <= f.TableBound {
		return t.Routing().Limits.MaxHeader
	}
	return 0
}

// Serve answers call by writing to answer. If it returns a *hookhall.Error, nothing was written to
// answer; hookhall.ErrTruncated means that the answer was begun and could not be completed.
func (f *Forwarder) Serve(ctx context.Context, call *hookhall.Call, answer hookhall.AnswerWriter) error {
	r, err := f.newRequest(call)
	if err != nil {
		f.recordOutcome(r, err)
		return err
	}
	ctx, cancel := clock.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.answer = answer
	err = r.serve(ctx)
	if err == nil {
		r.recordServed()
	}
	f.recordOutcome(r, err)
	return err
}

// newRequest resolves the route, the client account and the deadline of call. The request is
// never nil; with an error it has what was resolved until then.
func (f *Forwarder) newRequest(call *hookhall.Call) (*request, error) {
	clock.DetectSuspension() // detects a suspension, after which the table and the targets may be outdated
	now := clock.Now()
	r := &request{Forwarder: f, call: call, arrived: now, deadline: now, tried: map[string]bool{}}
	r.table, r.tableAge = f.Catalog.AgedTable(now)
	if r.table == nil {
		silence := f.Catalog.TimeSinceAnswer(now)
		return r, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNotReady, "no table is known yet").WithRetryAfter(outageRetryAfter(silence))
	}
	path, _, _ := strings.Cut(call.URI, "?")
	if r.route = r.table.Route(call.Host, path); r.route == nil {
		return r, r.refuseByTable(hookhall.CauseNoRoute, fmt.Sprintf("no route for %s%s", call.Host, path))
	}
	if r.table.NeedsKey(r.route) {
		if r.account = r.table.Account(call.Credential); r.account == nil {
			return r, r.refuseByTable(hookhall.CauseUnauthorized, "the key is not known")
		}
	}
	r.service = pickService(r.route.Backends)
	r.halls = f.allowedHalls(r)
	began := now
	if !call.HeadReadAt.IsZero() {
		began = call.HeadReadAt
	}
	r.deadline = began.Add(timeLimit(r.route, call.ClientTimeout) - deadlineMargin)
	if earliest := now.Add(time.Millisecond); r.deadline.Before(earliest) {
		r.deadline = earliest
	}
	r.firstByteDue = now.Add(r.route.LatencyObjective)
	return r, r.refusePieces()
}

// refusePieces returns the refusal of a request with more than hookhall.MaxPieces pieces, before they size anything. Nothing
// states that no request can have as many, so it is not one of a malformed request.
func (r *request) refusePieces() error {
	left := hookhall.MaxPieces
	for i, n := range r.call.PieceCounts[:min(len(r.call.PieceCounts), len(r.route.Stages))] {
		if n > left {
			return hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload, "stage %d brings the request to more than %d pieces", i, hookhall.MaxPieces).WithRetryAfter(defaultRetryAfter)
		}
		left -= n
	}
	return nil
}

// TimeLimit returns how long a request may take whose client states a timeout, 0 for none. A request
// without a route gets no longer than one whose client states none.
func (f *Forwarder) TimeLimit(host, uri string, clientTimeout time.Duration) time.Duration {
	var route *hookhall.Route
	if t := f.Catalog.Table(); t != nil {
		path, _, _ := strings.Cut(uri, "?")
		route = t.Route(host, path)
	}
	limit := timeLimit(route, clientTimeout)
	if route == nil {
		limit = min(limit, defaultTimeout)
	}
	return limit
}

// timeLimit returns the client's timeout, or defaultTimeout if it states none, but no more than that of
// the route, which may be nil.
func timeLimit(route *hookhall.Route, clientTimeout time.Duration) time.Duration {
	limit := clientTimeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if route != nil && route.Timeout > 0 {
		limit = min(limit, route.Timeout)
	}
	return limit
}

// refuseByTable returns the refusal of a request that the table does not allow. If the table may be
// outdated, a newer one may allow it, so the answer is 503 with a Retry-After.
func (r *request) refuseByTable(cause hookhall.Cause, detail string) *hookhall.Error {
	if r.tableAge > r.TableBound {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNotReady, "%s in version %d, which was not confirmed for %v",
			detail, r.table.Version(), r.tableAge.Round(time.Millisecond)).WithRetryAfter(minOutageRetryAfter)
	}
	return hookhall.Errorf(hookhall.NotRun, cause, "%s in version %d", detail, r.table.Version())
}

// allowedHalls returns the halls in which a request may run, nil for all. If both its route
// and its account are bound to regions, the halls must be in regions of both; without a
// common hall it returns noHall, so that no target is eligible.
func (f *Forwarder) allowedHalls(r *request) []string {
	var halls []string
	if len(r.route.Regions) > 0 {
		halls = f.HallsIn(r.route.Regions)
	}
	if r.account == nil || len(r.account.Regions) == 0 {
		return noHallIfEmpty(halls, len(r.route.Regions) > 0)
	}
	accountHalls := f.HallsIn(r.account.Regions)
	if len(r.route.Regions) > 0 {
		accountHalls = slices.DeleteFunc(accountHalls, func(h string) bool { return !slices.Contains(halls, h) })
	}
	return noHallIfEmpty(accountHalls, true)
}

// noHall is the only entry of a list of halls that allows none. No hall has this name.
const noHall = "(no hall)"

// noHallIfEmpty returns halls, or noHall if halls is empty and restricted is set: an empty list
// would allow all halls.
func noHallIfEmpty(halls []string, restricted bool) []string {
	if restricted && len(halls) == 0 {
		return []string{noHall}
	}
	return halls
}

// outageRetryAfter returns the delay after which a client should retry, given how long the
// store has not answered.
func outageRetryAfter(silence time.Duration) time.Duration {
	return min(max(outageRetryFactor*silence, minOutageRetryAfter), maxOutageRetryAfter)
}

// pickService returns one of the services at random by weight, "" if there are none.
func pickService(services []hookhall.WeightedService) string {
	total := 0
	for _, candidate := range services {
		total += max(candidate.Weight, 0)
	}
	if total == 0 {
		if len(services) == 0 {
			return ""
		}
		return services[0].Service
	}
	n := rand.IntN(total)
	for _, candidate := range services {
		if n -= max(candidate.Weight, 0); n < 0 {
			return candidate.Service
		}
	}
	return ""
}

// recordOutcome logs the outcome of a request in one line and counts it.
func (f *Forwarder) recordOutcome(r *request, err error) {
	cause, verdict, route := "answered", hookhall.Ran, ""
	detail := ""
	if err != nil {
		failure := hookhall.AsError(err)
		cause, verdict, detail = string(failure.Cause), failure.Verdict, failure.Detail
		if errors.Is(err, hookhall.ErrTruncated) {
			cause, detail = "cut", r.cutDetail
		}
	}
	if r.route != nil {
		route = r.route.Name
	}
	took := clock.Since(r.arrived)
	f.Meter.Forwarded(route, cause, verdict, took)
	fields := []any{
		"request", r.call.ID, "route", route, "service", r.service, "outcome", cause, "took_ms", took.Milliseconds(),
		"stages_ms", r.stagesElapsed.Milliseconds(), "first_ms", r.firstByteElapsed.Milliseconds(), "gap_ms", r.maxEventGap.Milliseconds(),
		"tokens", r.criteria.SharedTokens, "own_tokens", r.criteria.OwnTokens, "sends", r.attempts, "repeat_wait_ms", r.retryWait.Milliseconds(), "limit_wait_ms", r.limitWait.Milliseconds(), "target", r.target.ID, "software", r.target.Version, "status", r.status, "sealed", r.sealed,
	}
	if r.call.LastEventID != "" {
		found := r.begun.found
		fields = append(fields, "resumes", r.call.Resumes, "after_event", r.call.LastEventID, "version_from", string(found.Source), "versions_known", strings.Join(found.Versions, ","),
			"history_ms", found.Reach.Milliseconds(), "window_ms", r.takeUpWindow().Milliseconds(), "peers_asked", found.Asked, "peers_unanswered", found.Unanswered)
	}
	if r.passedOn.count > 0 {
		fields = append(fields, "bind_ms", r.bindElapsed.Milliseconds(), "first_event", r.passedOn.firstID, "last_event", r.passedOn.lastID, "events", r.passedOn.count)
	}
	if r.relay != "" {
		fields = append(fields, "relay", r.relay)
	}
	if r.framing != "" {
		fields = append(fields, "framing", string(r.framing))
	}
	if r.unfinishedBytes > 0 {
		fields = append(fields, "unfinished_bytes", r.unfinishedBytes)
		f.Meter.UnfinishedStream(r.framing)
	}
	if r.table != nil {
		fields = append(fields, "table", r.table.Version(), "table_age_ms", r.tableAge.Milliseconds(), "targets_age_ms", f.Catalog.TargetsAge(clock.Now()).Milliseconds())
	}
	if r.table != nil && err != nil && (r.route == nil || (r.account == nil && r.table.NeedsKey(r.route))) {
		listed := f.Listed()
		fields = append(fields, "listed", listed)
		f.Meter.RefusedByTable(cause, r.tableAge, listed)
	}
	if err == nil {
		r.recordWrongRefusal(took)
		f.Log.Info("Answered.", fields...)
		return
	}
	fields = append(fields, "verdict", verdict.String(), "left_ms", clock.Until(r.deadline).Milliseconds(), "detail", detail)
	f.Log.Warn("request not answered", fields...)
}
