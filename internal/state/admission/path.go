// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minPoolShare is the share of a pool's rate that is assumed for a request however much
	// more urgent work arrives: the queues of pools keep that share for it.
	minPoolShare = 1.0 / 8
	// estimateMargin is the share of an estimated wait by which the estimate must exceed a
	// limit. Reports are up to a ping interval old and the duration of calls is approximate;
	// without the margin such errors refuse requests that could have been served.
	estimateMargin = 1.0 / 4
	// laterStageMargin is that share for refusals because of the objective if the longest wait is
	// at a later stage. Work that waits there now and has become late until the request gets
	// there is behind it; with a quarter, two thirds of such refusals were wrong in a replay.
	laterStageMargin = 1.0 / 2
	// retryJitter is the largest random part of a time to come back, as a share of it, so that
	// refused clients do not return together.
	retryJitter = 1.0 / 4
	// minPathRetry is the shortest time to come back. A shorter one is less than half a call of
	// a pool, in which the work ahead hardly changes.
	minPathRetry = 100 * time.Millisecond
	// maxRetryShare is the longest time to come back as a share of the client's remaining time.
	// Clients wait no longer, so that time is left for the second attempt.
	maxRetryShare = 1.0 / 3
)

// PoolState is what a process knows of a stage pool.
type PoolState struct {
	// Load is the latest report of the pool's broker, and Age its age. Known is false if there
	// is no report that can be used.
	Load  hookhall.PoolLoad
	Age   time.Duration
	Known bool
	// AdmittedWaiting are the pieces that this process admitted to the pool since the report,
	// and AdmittedUpcoming those that it admitted to others and that follow work of this pool.
	AdmittedWaiting  [hookhall.UrgencyLevels]int
	AdmittedUpcoming []hookhall.UpcomingWork
	// Spec has the duration and the size of calls.
	Spec hookhall.PoolSpec

	// urgentRate is the rate at which more urgent pieces arrive, and rate the rate that they
	// leave, in pieces per second. work is the number of pieces ahead now, and drain the time in
	// seconds until all work is made that others follow, with the late work.
	urgentRate, rate, work, drain float64
}

// PathStage is a stage of a request.
type PathStage struct {
	Pool   int   // index in Path.Pools
	Pieces int   // 0 if the request leaves the stage out
	After  []int // earlier stages in Path.Stages that must have ended before it begins
	Begun  bool  // the stage has begun or ended, and is not estimated any more

	end     float64 // estimated, in seconds from now
	idleEnd float64 // the same without any work ahead
}

// Path is a request with all its stages and the pools that it uses. Decide writes to the
// unexported fields, so a Path must not be used concurrently; it may be reused.
type Path struct {
	// Pools has the pools of the stages, and other pools whose work continues there.
	Pools  []PoolState
	Stages []PathStage
	// Urgency is the rank of the request.
	Urgency int
	// TimeToFirstByte is the expected time from the end of the stages to the first byte.
	TimeToFirstByte time.Duration
	// Objective is the latency objective of the route, 0 for none, and ObjectiveLeft what is
	// left of it.
	Objective     time.Duration
	ObjectiveLeft time.Duration
	// DeadlineLeft is the time until the first byte is useless.
	DeadlineLeft time.Duration
	// Remaining is the time until the client stops waiting for the complete answer.
	Remaining time.Duration
	// InFlight is set between two stages: only the deadline counts then.
	InFlight bool
	// Random is from 0 to 1 and selects the jitter of the time to come back.
	Random float64
}

// Outcome is what happens to a request.
type Outcome int

// The outcomes.
const (
	// Admit: the request is served in the usual order.
	Admit Outcome = iota
	// AdmitLate: the objective is missed in any case; the request goes behind those in time.
	AdmitLate
	// Refuse: the client should come back after Decision.RetryAfter.
	Refuse
)

// Reason says what a Decision is based on.
type Reason string

// The reasons.
const (
	ReasonNone      Reason = ""          // no limit is exceeded
	ReasonNoReport  Reason = "no-report" // a pool of the path has no usable report
	ReasonObjective Reason = "objective" // the latency objective can't be met
	ReasonDeadline  Reason = "deadline"  // the deadline can't be met
)

// Decision is the outcome for a request, with the figures that led to it.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	// Pool is the index in Path.Pools of the pool with the longest wait, or of the one without
	// a report; -1 if the request waits for none.
	Pool int
	// Ahead is the number of pieces ahead of the request at that pool, Rate how many of them
	// are made per second, and Clear the time until that is done. Wait is the part of that time
	// in which the request could have begun there.
	Ahead float64
	Rate  float64
	Clear time.Duration
	Wait  time.Duration
	// Expected is the estimated time until the first byte, and Idle the same without any work
	// ahead.
	Expected time.Duration
	Idle     time.Duration
	// RetryAfter is the time to come back after a refusal.
	RetryAfter time.Duration
}

// lateLevel is the level at which queues report late work, whatever its urgency: it goes behind
// all work in time.
const lateLevel = hookhall.UrgencyLevels - 1

// Decide decides about a request by the estimated wait on its path. It addresses bursts that the
// pools can't serve within the objective: without a refusal everything waits, becomes late,
// and runs stages for nothing. A wait of up to one call is usual also at low load, as work
// waits for a free target, and is left to the queues.
func (p *Path) Decide() Decision {
	d := p.estimate()
	certain := d.certain()
	switch {
	case d.Reason == ReasonNoReport || d.Pool < 0 || d.Wait <= p.Pools[d.Pool].fullCall():
		return d
	case certain > p.DeadlineLeft:
		return p.refuse(d, ReasonDeadline)
	case p.Objective <= 0 || certain <= p.ObjectiveLeft:
		return d
	case !p.InFlight && d.isRefusable(p.ObjectiveLeft) && p.isServedOnReturn(&d):
		return p.refuse(d, ReasonObjective)
	}
	d.Outcome, d.Reason = AdmitLate, ReasonObjective
	return d
}

// certain returns the expected time until the first byte, less the margin for errors of the
// estimate.
func (d *Decision) certain() time.Duration {
	return d.Expected - scale(d.Expected-d.Idle, estimateMargin)
}

// isRefusable reports whether the objective is missed by enough for a refusal, which costs the
// client more than a place behind the requests in time.
func (d *Decision) isRefusable(objectiveLeft time.Duration) bool {
	margin := estimateMargin
	if d.Wait < d.Clear { // the request waits for a later stage
		margin = laterStageMargin
	}
	return d.Expected-scale(d.Expected-d.Idle, margin) > objectiveLeft
}

// refuse makes d a refusal with its time to come back.
func (p *Path) refuse(d Decision, reason Reason) Decision {
	d.Outcome, d.Reason = Refuse, reason
	d.RetryAfter = p.retryAfter(&d)
	return d
}

// estimate returns the expected times of a request, without an outcome.
func (p *Path) estimate() Decision {
	level := hookhall.UrgencyLevel(p.Urgency)
	for i := range p.Pools {
		p.Pools[i].prepare(level)
	}
	d := Decision{Pool: -1}
	longestWait := 0.0
	expected, idle := 0.0, 0.0
	for i := range p.Stages {
		s := &p.Stages[i]
		ready := p.begin(s)
		if s.Begun || s.Pieces <= 0 {
			continue
		}
		pool := &p.Pools[s.Pool]
		if !pool.isUsable() {
			return Decision{Reason: ReasonNoReport, Pool: s.Pool}
		}
		ahead := p.workAhead(i, level, ready)
		clear := ahead / pool.rate
		s.finish(pool, ahead, ready)
		if wait := clear - ready; wait > longestWait {
			longestWait = wait
			d.Pool, d.Ahead, d.Rate, d.Clear, d.Wait = s.Pool, ahead, pool.rate, seconds(clear), seconds(wait)
		}
		expected, idle = max(expected, s.end), max(idle, s.idleEnd)
	}
	d.Expected, d.Idle = seconds(expected)+p.TimeToFirstByte, seconds(idle)+p.TimeToFirstByte
	return d
}

// begin sets the ends of a stage to the time at which it may begin, which is also the end of a
// stage that is left out, and returns that time.
func (p *Path) begin(s *PathStage) (ready float64) {
	s.end, s.idleEnd = 0, 0
	if s.Begun {
		return 0
	}
	for _, j := range s.After {
		s.end = max(s.end, p.Stages[j].end)
		s.idleEnd = max(s.idleEnd, p.Stages[j].idleEnd)
	}
	return s.end
}

// finish estimates the ends of a stage that may begin at ready. Its call has the
// pieces that still wait then; pieces beyond one call are made at the pool's rate.
func (s *PathStage) finish(pool *PoolState, ahead, ready float64) {
	pieces, batch := float64(s.Pieces), float64(max(pool.Spec.MaxBatch, 1))
	call := func(n float64) float64 {
		return pool.Spec.CallTime.Seconds() + min(n, batch)*pool.Spec.PieceTime.Seconds()
	}
	further := max(pieces-batch, 0)
	s.end = max(ready, ahead/pool.rate) + call(pieces+max(ahead-ready*pool.rate, 0)) + further/pool.rate
	s.idleEnd += call(pieces) + further/pool.Load.Rate
}

// isUsable reports whether the wait at the pool can be estimated.
func (s *PoolState) isUsable() bool { return s.Known && s.Load.Rate > 0 }

// prepare computes the work of the same and more urgent levels. Since the report, at least what
// this process admitted has arrived, and probably what arrives usually; the pool has made
// pieces meanwhile.
func (s *PoolState) prepare(level int) {
	s.urgentRate, s.rate, s.work, s.drain = 0, 0, 0, 0
	if !s.isUsable() {
		return
	}
	waiting, admitted, arriving := 0, 0, 0.0
	for l := 0; l <= level; l++ {
		waiting += s.Load.Waiting[l]
		admitted += s.AdmittedWaiting[l]
		arriving += s.Load.Arriving[l]
		if l < level {
			s.urgentRate += s.Load.Arriving[l]
		}
	}
	age := max(s.Age, 0).Seconds()
	s.work = max(float64(waiting)+max(float64(admitted), arriving*age)-s.Load.Rate*age, 0)
	s.rate = max(s.Load.Rate-s.urgentRate, s.Load.Rate*minPoolShare)
	before := s.work
	if level < lateLevel {
		before += float64(s.Load.Waiting[lateLevel])
	}
	s.drain = before/s.rate + s.fullCall().Seconds()
}

// fullCall returns the duration of a call with as many pieces as it can have.
func (s *PoolState) fullCall() time.Duration {
	return s.Spec.CallTime + time.Duration(s.Spec.MaxBatch)*s.Spec.PieceTime
}

// workAhead returns how many pieces are ahead of stage i when it may begin, counted from now:
// those that wait now, those that reach the pool from others before, and those of earlier
// stages of the request that run beside it. Work of another pool arrives evenly while the
// queue there drains. Of the more urgent work from other pools only the part counts that
// exceeds the usual arrivals, by which the rate is reduced already.
func (p *Path) workAhead(i, level int, ready float64) float64 {
	s := &p.Stages[i]
	pool := &p.Pools[s.Pool]
	same, urgent := 0.0, 0.0
	if ready > 0 {
		for k := range p.Pools {
			from := &p.Pools[k]
			if !from.isUsable() || from.drain <= 0 {
				continue
			}
			age := max(from.Age, 0).Seconds()
			arrived := min((age+ready)/from.drain, 1) - min(age/from.drain, 1)
			if arrived <= 0 {
				continue
			}
			fromReport, urgentFromReport := piecesFor(pool.Load.Service, level, from.Load.Upcoming)
			admitted, urgentAdmitted := piecesFor(pool.Load.Service, level, from.AdmittedUpcoming)
			same += arrived * float64(fromReport+admitted)
			urgent += arrived * float64(urgentFromReport+urgentAdmitted)
		}
	}
	ahead := pool.work + same + max(urgent-pool.urgentRate*ready, 0)
	for j := range p.Stages[:i] {
		if o := &p.Stages[j]; o.Pool == s.Pool && !o.Begun && o.Pieces > 0 && o.end > ready {
			ahead += float64(o.Pieces)
		}
	}
	return ahead
}

// piecesFor returns how many upcoming pieces of a level are for a service, and how many more
// urgent ones.
func piecesFor(service string, level int, list []hookhall.UpcomingWork) (same, urgent int) {
	for i := range list {
		if list[i].Service != service {
			continue
		}
		same += list[i].Pieces[level]
		for _, n := range list[i].Pieces[:level] {
			urgent += n
		}
	}
	return same, urgent
}

// isServedOnReturn reports whether the client would be served within its objective, counted from
// its return, if it came back once the work ahead is done.
func (p *Path) isServedOnReturn(d *Decision) bool {
	latest := max(d.Clear+scale(d.Clear, retryJitter), minPathRetry)
	return latest <= scale(p.Remaining, maxRetryShare) && d.Idle <= p.Objective && latest+d.Idle <= p.Remaining
}

// retryAfter returns the time to come back. It is the longest allowed time if the rest of the
// client's time will be too short even for idle pools.
func (p *Path) retryAfter(d *Decision) time.Duration {
	longest := max(scale(p.Remaining, maxRetryShare), 0)
	after := min(max(d.Clear+scale(d.Clear, retryJitter*p.Random), minPathRetry), longest)
	if after+d.Idle > p.Remaining {
		return longest
	}
	return after
}

// maxEstimate bounds estimates, so that they fit a time.Duration with other times added.
const maxEstimate = time.Hour

// seconds returns a number of seconds as a time.Duration, at most maxEstimate.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxEstimate.Seconds()) * float64(time.Second))
}

// scale returns a share of d.
func scale(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}
