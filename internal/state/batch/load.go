// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"math"
	"time"

	"github.com/hookhall/hookhall"
)

// averageWindow is the time constant of the averages of arrivals and starts: some two to
// four calls, so that they follow a burst of 3 s but not a single job.
const averageWindow = time.Second

// average is the number of pieces per second of an event, with exponential decay.
type average struct {
	pending   int // added since the last update
	decayed   float64
	updatedAt time.Time
}

// add counts pieces as of the next update.
func (a *average) add(pieces int) { a.pending += pieces }

// update includes the added pieces as of now.
func (a *average) update(now time.Time) {
	if a.decayed > 0 {
		a.decayed *= math.Exp(-max(now.Sub(a.updatedAt), 0).Seconds() / averageWindow.Seconds())
	}
	a.decayed += float64(a.pending)
	a.pending = 0
	a.updatedAt = now
}

// perSecond returns the average as of the last update.
func (a *average) perSecond() float64 { return a.decayed / averageWindow.Seconds() }

// updateAverages includes all arrivals and starts as of now.
func (q *Queue) updateAverages(now time.Time) {
	for i := range q.arrivals {
		q.arrivals[i].update(now)
	}
	q.starts.update(now)
}

// countWaiting adds n, which may be negative, to the number of waiting pieces of the level
// of j.
func (q *Queue) countWaiting(j *Job, n int) {
	q.waitingByLevel[hookhall.UrgencyLevel(j.Urgency)] += n
	q.waitingCount += n
	q.waitingBytes += float64(n) * j.ResultBytes
	if q.waitingCount == 0 {
		q.waitingBytes = 0 // without rounding errors
	}
}

// Load returns the load of the pool at now, without Service and Upcoming. Late work is in the
// last level, whatever its urgency.
func (q *Queue) Load(now time.Time) hookhall.PoolLoad {
	q.updateAverages(now)
	l := hookhall.PoolLoad{Waiting: q.waitingByLevel, Rate: q.rate(now), MeasuredAt: now}
	for i := range q.arrivals {
		l.Arriving[i] = q.arrivals[i].perSecond()
	}
	q.moveLate(&l.Waiting, now)
	return l
}

// rate returns how many pieces per second the usable targets make in full calls at their
// measured pace, or 0 if calls have no known duration.
func (q *Queue) rate(now time.Time) float64 {
	sum := 0.0
	for _, w := range q.workerList {
		if q.isUsable(w, now) {
			sum += 1 / w.slowdown
		}
	}
	return sum * q.ratePerTarget()
}

// ratePerTarget returns the pieces per second of a target at the usual pace, or 0 if calls
// have no known duration.
func (q *Queue) ratePerTarget() float64 {
	call := q.fullCall()
	if call <= 0 {
		return 0
	}
	return float64(q.maxPieces()*max(q.spec.Slots, 1)) / call.Seconds()
}

// isUsable reports whether w may get a call at now once it has a free slot and memory.
func (q *Queue) isUsable(w *worker, now time.Time) bool {
	return !w.Target.Leaving && !now.Before(w.pausedUntil) && (q.admits == nil || q.admits(w.Target))
}

// OverloadState is how a queue deals with jobs that can't start in time, for logs, metrics
// and the state dump.
type OverloadState struct {
	DeferredJobs int  `json:"deferred"` // in the last dispatch with a free target, 0 once no pieces wait
	LateJobs     int  `json:"late"`     // waiting in that dispatch, without those that have started
	ShareInForce bool `json:"share_in_force"`
	// ShareStarted and InputsExpired count the jobs started by the minimum share and the jobs
	// ended since their inputs expired before a call, since the queue was created.
	ShareStarted  uint64 `json:"share_started"`
	InputsExpired uint64 `json:"inputs_expired"`
}

// Overload returns the state of the queue under overload.
func (q *Queue) Overload() OverloadState { return q.overload }
