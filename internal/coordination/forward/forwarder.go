// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// defaultWait is how long a client waits that doesn't say.
	defaultWait = 30 * time.Second
	// comeBack is when a refused client should come back, unless more is known.
	comeBack = 300 * time.Millisecond
	// elsewhere is when a client should come back that this instance leaves because it
	// stops: at once, since a new connection goes to another instance.
	elsewhere = 50 * time.Millisecond
	// outageLeast and outageMost bound when a client should come back that was
	// refused for want of a table: the store is away, since a gateway reads it in a
	// few milliseconds otherwise, and outages that short are rare.
	outageLeast = time.Second
	outageMost  = 10 * time.Second
	// outageShare is how long an outage is expected to go on, as a share of how
	// long it has lasted.
	outageShare = 2
	// evacuatedBack is when a client should come back whose request only targets in
	// evacuated halls could serve: operators take seconds at least to take one back.
	evacuatedBack = 2 * time.Second
	// endMargin is taken off the deadline, for the final answer's way.
	endMargin = 15 * time.Millisecond
	// accountStep is how many ranks of urgency an account's priority is worth.
	accountStep = 1
)

// Catalog is what is believed of the platform.
type Catalog interface {
	Table() *routetable.Table
	Targets(pool string) []hookhall.Target
	TargetsAge(now time.Time) time.Duration
	Silence(now time.Time) time.Duration
	// Evacuated tells whether only evacuations keep a service without targets.
	Evacuated(pool string) bool
}

// Stages makes the work before a request.
type Stages interface {
	Run(ctx context.Context, g stages.Graph) (*stages.Results, error)
}

// Placement chooses engines for the whole fleet.
type Placement interface {
	Place(ctx context.Context, service string, w balance.Wish, limits []advisory.Report) placement.Placement
}

// Quarantine knows the requests that end the targets which run them.
type Quarantine interface {
	// Standing is what is held against a request's content. The digest is asked for only
	// when something is held against any.
	Standing(content func() crashes.Digest) crashes.Standing
	// Broke takes in that t's answer to a content broke off.
	Broke(content crashes.Digest, account string, t hookhall.Target)
	// Served takes in that a target gave a whole answer to a content.
	Served(content func() crashes.Digest)
}

// Rollouts knows which versions of a service may run a request, and counts what their
// answers show.
type Rollouts interface {
	// Versions are those that may run a request; first tells that no target had it yet.
	Versions(service string, first bool) balance.Versions
	// Begin counts a request that is sent to a target; nil when no order concerns it.
	Begin(route string, t hookhall.Target) *rollouts.Use
}

// Meter counts.
type Meter interface {
	// Forwarded counts a request's end; cause is "answered" for a target's answer.
	Forwarded(route, cause string, verdict hookhall.Verdict, took time.Duration)
	// Repeated counts a send to a further target.
	Repeated(service string)
}

// Forwarder passes requests on.
type Forwarder struct {
	Catalog   Catalog
	Stages    Stages
	Sender    hookhall.Sender
	Placement Placement
	// Quarantine keeps requests from targets that would end.
	Quarantine Quarantine
	Rollouts   Rollouts
	Tracker    *balance.Tracker
	// Advisories has what targets said about further requests.
	Advisories *advisory.Book
	Budget     *budget.Budget
	// Buffers bounds what is held of answers.
	Buffers *buffer.Budget
	// ColdShare is how many requests in any second this process may send to a cold
	// target of a service by its own choice.
	ColdShare func(target string, s *hookhall.Service) int
	// HallsIn lists the halls of regions.
	HallsIn func(regions []string) []string
	Meter   Meter
	Log     *log.Logger

	reading reading
}

// MaxBody is the operators' bound on bodies, 0 for none.
func (f *Forwarder) MaxBody() int {
	if t := f.Catalog.Table(); t != nil {
		return t.Routing().Limits.MaxBody
	}
	return 0
}

// Serve answers c. A *hookhall.Error means that nothing was written.
func (f *Forwarder) Serve(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error {
	r, err := f.begin(c)
	if err != nil {
		f.report(r, err)
		return err
	}
	ctx, cancel := clock.WithDeadline(ctx, r.end)
	defer cancel()
	r.answer = a
	err = r.serve(ctx)
	if err == nil {
		f.Quarantine.Served(r.digest)
	}
	f.report(r, err)
	return err
}

// begin finds what the request is, or refuses it.
func (f *Forwarder) begin(c *hookhall.Call) (*request, error) {
	clock.Check() // what it is served by may be older than it seems
	now := clock.Now()
	r := &request{Forwarder: f, call: c, arrived: now, end: now, tried: map[string]bool{}}
	r.table = f.Catalog.Table()
	if r.table == nil {
		silence := f.Catalog.Silence(now)
		return r, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNotReady, "no table is known yet").After(afterOutage(silence))
	}
	path, _, _ := strings.Cut(c.URI, "?")
	if r.route = r.table.Route(c.Host, path); r.route == nil {
		return r, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoRoute, "no route for %s%s in version %d", c.Host, path, r.table.Version())
	}
	if r.table.NeedsKey(r.route) {
		if r.account = r.table.Account(c.Credential); r.account == nil {
			return r, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "the key is not known in version %d", r.table.Version())
		}
	}
	r.service = pickService(r.route.Backends)
	r.halls = f.homes(r)
	wait := c.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if r.route.Timeout > 0 {
		wait = min(wait, r.route.Timeout)
	}
	r.end = now.Add(max(wait-endMargin, time.Millisecond))
	r.aim = now.Add(r.route.Objective)
	return r, nil
}

// homes lists the halls in which a request may run, nil for all. When both its route
// and its account have homes, both bind; without a common hall there is one that no
// target stands in.
func (f *Forwarder) homes(r *request) []string {
	var halls []string
	if len(r.route.Regions) > 0 {
		halls = f.HallsIn(r.route.Regions)
	}
	if r.account == nil || len(r.account.Regions) == 0 {
		return orNowhere(halls, len(r.route.Regions) > 0)
	}
	own := f.HallsIn(r.account.Regions)
	if len(r.route.Regions) > 0 {
		own = slices.DeleteFunc(own, func(h string) bool { return !slices.Contains(halls, h) })
	}
	return orNowhere(own, true)
}

// nowhere is no hall's name.
const nowhere = "(no hall)"

// orNowhere keeps an empty list that binds from meaning everywhere.
func orNowhere(halls []string, binds bool) []string {
	if binds && len(halls) == 0 {
		return []string{nowhere}
	}
	return halls
}

// afterOutage is when a client should come back, by how long the store has been
// silent.
func afterOutage(silence time.Duration) time.Duration {
	return min(max(outageShare*silence, outageLeast), outageMost)
}

// pickService draws one of the services by weight.
func pickService(list []hookhall.WeightedService) string {
	total := 0
	for _, b := range list {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		if len(list) == 0 {
			return ""
		}
		return list[0].Service
	}
	n := rand.IntN(total)
	for _, b := range list {
		if n -= max(b.Weight, 0); n < 0 {
			return b.Service
		}
	}
	return ""
}

// report writes the request's one line and counts it.
func (f *Forwarder) report(r *request, err error) {
	cause, verdict, route := "answered", hookhall.Ran, ""
	detail := ""
	if err != nil {
		e := hookhall.AsError(err)
		cause, verdict, detail = string(e.Cause), e.Verdict, e.Detail
		if errors.Is(err, hookhall.ErrCut) {
			cause, detail = "cut", r.cutBy
		}
	}
	if r.route != nil {
		route = r.route.Name
	}
	took := clock.Since(r.arrived)
	f.Meter.Forwarded(route, cause, verdict, took)
	fields := []any{
		"request", r.call.ID, "route", route, "service", r.service, "outcome", cause, "took_ms", took.Milliseconds(),
		"stages_ms", r.staged.Milliseconds(), "first_ms", r.first.Milliseconds(), "gap_ms", r.gap.Milliseconds(),
		"tokens", r.wish.SharedTokens, "own_tokens", r.wish.OwnTokens, "sends", r.sends, "repeat_wait_ms", r.repeatWait.Milliseconds(), "limit_wait_ms", r.limitWait.Milliseconds(), "target", r.target.ID, "status", r.status,
	}
	if r.table != nil {
		fields = append(fields, "table", r.table.Version(), "targets_age_ms", f.Catalog.TargetsAge(clock.Now()).Milliseconds())
	}
	if err == nil {
		f.Log.Info("Answered.", fields...)
		return
	}
	fields = append(fields, "verdict", verdict.String(), "left_ms", clock.Until(r.end).Milliseconds(), "detail", detail)
	f.Log.Warn("Not answered.", fields...)
}
