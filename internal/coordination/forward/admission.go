// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// Loads has the reports of the brokers of stage pools.
type Loads interface {
	// Loads returns the latest report on the pool of a service, and false if there is none that
	// can be used. The caller must not change it.
	Loads(service string, now time.Time) (hookhall.PoolLoad, bool)
}

// AdmissionMode says what follows from the decisions of an Admission.
type AdmissionMode string

// The modes.
const (
	AdmissionOff AdmissionMode = "off" // nothing is decided
	AdmissionLog AdmissionMode = "log" // decisions are logged and counted; all requests are admitted
	AdmissionOn  AdmissionMode = "on"
)

// Outcomes by which decisions are counted.
const (
	outcomeRefused      = "refused"         // before the first stage
	outcomeEnded        = "ended"           // between two stages
	outcomeLate         = "admitted-late"   // although the objective can't be met
	outcomeUnknown      = "admitted-unseen" // a pool has no usable report
	outcomeWouldRefuse  = "would-refuse"    // as the first four in mode log
	outcomeWouldEnd     = "would-end"
	outcomeWouldBeLate  = "would-be-late"
	outcomeWronglyWould = "would-refuse-in-time" // a request that mode on would have refused or ended was in time
)

// Admission decides about requests by the load of the stage pools on their path. Its exported
// fields are set before use, and it is safe for concurrent use.
type Admission struct {
	Mode  AdmissionMode
	Loads Loads
	// LateLast puts requests that are admitted although they can't meet their objective behind
	// all others in the queues of the pools. Otherwise the queues decide about them by their
	// real objective, as about all others.
	LateLast bool

	admittedByPool sync.Map // service to *atomic.Pointer[admittedWork]
	counts         sync.Map // AdmissionCount without Count, to *atomic.Int64
	lastRefusal    atomic.Pointer[AdmissionRefusal]
	paths          sync.Pool // of *admission.Path
}

// isActive reports whether the Admission, which may be nil, decides about requests.
func (a *Admission) isActive() bool {
	return a != nil && (a.Mode == AdmissionOn || a.Mode == AdmissionLog)
}

// levels has a number of pieces by urgency level.
type levels [hookhall.UrgencyLevels]atomic.Int64

// admittedWork is the work that this process admitted to a pool since the report that was
// measured at measuredAt.
type admittedWork struct {
	measuredAt time.Time
	waiting    levels
	upcoming   sync.Map // service to *levels, the work for others that follows
}

// admittedTo returns the work admitted to a pool since a report. A newer report than the last
// one contains that work, which is forgotten.
func (a *Admission) admittedTo(service string, measuredAt time.Time) *admittedWork {
	value, ok := a.admittedByPool.Load(service)
	if !ok {
		value, _ = a.admittedByPool.LoadOrStore(service, &atomic.Pointer[admittedWork]{})
	}
	latest := value.(*atomic.Pointer[admittedWork])
	for {
		work := latest.Load()
		if work != nil && !measuredAt.After(work.measuredAt) {
			return work
		}
		latest.CompareAndSwap(work, &admittedWork{measuredAt: measuredAt})
	}
}

// addUpcoming adds pieces that follow work of the pool at the pool of another service.
func (w *admittedWork) addUpcoming(service string, level, pieces int) {
	value, ok := w.upcoming.Load(service)
	if !ok {
		value, _ = w.upcoming.LoadOrStore(service, &levels{})
	}
	value.(*levels)[level].Add(int64(pieces))
}

// addPool appends the state of the pool of a service to p.
func (a *Admission) addPool(p *admission.Path, service *hookhall.Service, now time.Time) {
	n := len(p.Pools)
	p.Pools = slices.Grow(p.Pools, 1)[:n+1]
	pool := &p.Pools[n]
	*pool = admission.PoolState{Spec: *service.Pool, AdmittedUpcoming: pool.AdmittedUpcoming[:0]}
	pool.Load, pool.Known = a.Loads.Loads(service.Name, now)
	pool.Load.Service = service.Name
	if !pool.Known {
		return
	}
	pool.Age = now.Sub(pool.Load.MeasuredAt)
	admitted := a.admittedTo(service.Name, pool.Load.MeasuredAt)
	for i := range admitted.waiting {
		pool.AdmittedWaiting[i] = int(admitted.waiting[i].Load())
	}
	admitted.upcoming.Range(func(key, value any) bool {
		work := hookhall.UpcomingWork{Service: key.(string)}
		for i := range work.Pieces {
			work.Pieces[i] = int(value.(*levels)[i].Load())
		}
		pool.AdmittedUpcoming = append(pool.AdmittedUpcoming, work)
		return true
	})
}

// decide decides about the rest of a request. begun has the stages that have begun, nil before
// the first one. pool is the deciding pool.
func (r *request) decide(steps []stages.Step, begun []bool) (d admission.Decision, pool admission.PoolState) {
	now := clock.Now()
	p, _ := r.Admission.paths.Get().(*admission.Path)
	if p == nil {
		p = &admission.Path{}
	}
	defer r.Admission.paths.Put(p)
	*p = admission.Path{
		Pools: p.Pools[:0], Stages: p.Stages[:0], Urgency: r.urgency(), TimeToFirstByte: r.expectedAnswerTime(),
		Objective: r.route.LatencyObjective, ObjectiveLeft: r.firstByteDue.Sub(now), DeadlineLeft: r.firstByteDeadline().Sub(now),
		Remaining: r.deadline.Sub(now), InFlight: begun != nil, Random: rand.Float64(),
	}
	// Work of any pool may continue at those of the request.
	services := r.table.Routing().Services
	for i := range services {
		if services[i].Pool != nil {
			r.Admission.addPool(p, &services[i], now)
		}
	}
	for _, step := range steps {
		stage := admission.PathStage{Pieces: step.PieceCount, After: step.After, Begun: begun != nil && begun[step.Stage]}
		stage.Pool = poolIndex(p, r.route.Stages[step.Stage].Service)
		p.Stages = append(p.Stages, stage)
	}
	if d = p.Decide(); d.Pool >= 0 {
		pool = p.Pools[d.Pool]
		pool.AdmittedUpcoming = nil // is reused
	}
	return d, pool
}

// poolIndex returns the index of the pool of a service, which it adds as unknown if the table has
// none.
func poolIndex(p *admission.Path, service string) int {
	for i := range p.Pools {
		if p.Pools[i].Load.Service == service {
			return i
		}
	}
	p.Pools = append(p.Pools, admission.PoolState{Load: hookhall.PoolLoad{Service: service}})
	return len(p.Pools) - 1
}

// admit decides about the request before its first stage. It returns the error of a refusal, and
// sets r.steps and r.isLate. Whatever the mode, it refuses a request whose stages have no order.
func (r *request) admit() *hookhall.Error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	graph := stages.Graph{Call: r.call, Route: r.route, Table: r.table, TimeToFirstByte: r.expectedAnswerTime()}
	steps, err := graph.Sequence()
	if err != nil {
		return hookhall.AsError(err)
	}
	if !r.Admission.isActive() || !slices.ContainsFunc(steps, func(s stages.Step) bool { return s.PieceCount > 0 }) {
		return nil
	}
	r.steps = steps
	d, pool := r.decide(steps, nil)
	isOn := r.Admission.Mode == AdmissionOn
	switch {
	case d.Outcome == admission.Refuse && isOn:
		return r.refuse(d, pool, outcomeRefused)
	case d.Outcome == admission.Refuse:
		r.recordWouldRefuse(d, pool, outcomeWouldRefuse)
	case d.Outcome == admission.AdmitLate && isOn:
		r.isLate = r.Admission.LateLast
		r.countAdmission(outcomeLate, d.Reason)
	case d.Outcome == admission.AdmitLate:
		r.countAdmission(outcomeWouldBeLate, d.Reason)
	case d.Reason == admission.ReasonNoReport:
		r.countAdmission(outcomeUnknown, d.Reason)
	}
	r.recordAdmitted()
	return nil
}

// beforeStage decides about the rest of the request between two of its stages. It is called by
// several goroutines at the same time.
func (r *request) beforeStage(begun []bool) error {
	d, pool := r.decide(r.steps, begun)
	switch {
	case d.Outcome != admission.Refuse:
		return nil
	case r.Admission.Mode == AdmissionOn:
		return r.refuse(d, pool, outcomeEnded)
	}
	r.recordWouldRefuse(d, pool, outcomeWouldEnd)
	return nil
}

// lateLevel is the level at which admitted work counts that goes behind all work in time, as in
// the reports of brokers.
const lateLevel = hookhall.UrgencyLevels - 1

// recordAdmitted adds the pieces of the request to the work admitted since the reports: those of
// later stages where the brokers will report them, as upcoming work.
func (r *request) recordAdmitted() {
	now := clock.Now()
	level := hookhall.UrgencyLevel(r.urgency())
	if r.isLate {
		level = lateLevel
	}
	for _, step := range r.steps {
		if step.PieceCount == 0 {
			continue
		}
		service := r.route.Stages[step.Stage].Service
		if step.Reporter < 0 {
			r.admittedSinceReport(service, now).waiting[level].Add(int64(step.PieceCount))
			continue
		}
		reporter := r.route.Stages[r.steps[step.Reporter].Stage].Service
		r.admittedSinceReport(reporter, now).addUpcoming(service, level, step.PieceCount)
	}
}

// admittedSinceReport returns the work admitted to a pool since its latest report.
func (r *request) admittedSinceReport(service string, now time.Time) *admittedWork {
	load, _ := r.Admission.Loads.Loads(service, now)
	return r.Admission.admittedTo(service, load.MeasuredAt)
}

// refuse returns the error of a refusal. It counts and logs the first one: stages that begin at the
// same time are refused each.
func (r *request) refuse(d admission.Decision, pool admission.PoolState, outcome string) *hookhall.Error {
	if r.refusal.CompareAndSwap(nil, &d) {
		r.recordRefused(d, pool, outcome, "request refused for the load of its stage pools")
	}
	limit := "its latency objective"
	if d.Reason == admission.ReasonDeadline {
		limit = "its deadline"
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseShed, "%s can't be met: %.0f pieces are ahead at %s, which takes %v",
		limit, d.Ahead, pool.Load.Service, d.Clear.Round(time.Millisecond)).WithRetryAfter(d.RetryAfter)
}

// recordWouldRefuse counts and logs the first refusal of a request in mode log.
func (r *request) recordWouldRefuse(d admission.Decision, pool admission.PoolState, outcome string) {
	if r.refusal.CompareAndSwap(nil, &d) {
		r.recordRefused(d, pool, outcome, "request would be refused for the load of its stage pools")
	}
}

// recordRefused counts and logs a refusal.
func (r *request) recordRefused(d admission.Decision, pool admission.PoolState, outcome, message string) {
	r.countAdmission(outcome, d.Reason)
	refusal := AdmissionRefusal{
		At: clock.Now(), Outcome: outcome, Reason: string(d.Reason), Request: r.call.ID, Route: r.route.Name, Urgency: r.urgency(), Account: r.accountName(),
		Pool: pool.Load.Service, Ahead: d.Ahead, Rate: d.Rate, ReportAgeMS: pool.Age.Milliseconds(),
		ExpectedMS: d.Expected.Milliseconds(), RetryAfterMS: d.RetryAfter.Milliseconds(),
	}
	r.Admission.lastRefusal.Store(&refusal)
	r.Log.Warn(message, "request", refusal.Request, "route", refusal.Route, "urgency", refusal.Urgency, "account", refusal.Account,
		"outcome", outcome, "reason", refusal.Reason, "pool", refusal.Pool, "ahead", int(refusal.Ahead), "rate", int(refusal.Rate), "clear_ms", d.Clear.Milliseconds(),
		"report_age_ms", refusal.ReportAgeMS, "expected_ms", refusal.ExpectedMS, "idle_ms", d.Idle.Milliseconds(),
		"objective_left_ms", clock.Until(r.firstByteDue).Milliseconds(), "left_ms", clock.Until(r.deadline).Milliseconds(), "retry_after_ms", refusal.RetryAfterMS)
}

// recordWrongRefusal counts an answered request that mode on would have refused although it was
// in time: within the objective, or within the deadline if that was the reason.
func (r *request) recordWrongRefusal(took time.Duration) {
	d := r.refusal.Load()
	if d == nil {
		return
	}
	if r.route.Kind == hookhall.KindStreaming {
		took = r.firstByteElapsed
	}
	if d.Reason == admission.ReasonDeadline || took <= r.route.LatencyObjective {
		r.countAdmission(outcomeWronglyWould, d.Reason)
	}
}

// countAdmission counts an outcome of the request.
func (r *request) countAdmission(outcome string, reason admission.Reason) {
	level := hookhall.UrgencyLevel(r.urgency())
	r.Meter.Admission(outcome, string(reason), level)
	key := AdmissionCount{Outcome: outcome, Reason: string(reason), Urgency: level}
	count, ok := r.Admission.counts.Load(key)
	if !ok {
		count, _ = r.Admission.counts.LoadOrStore(key, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(1)
}
