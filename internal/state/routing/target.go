// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// ejectAfter consecutive failures a target is left out.
	ejectAfter = 4
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 15 * time.Second
	// refusalHold is how long a refusal as leaving is believed without news.
	refusalHold = 15 * time.Second
	// slowest bounds the latency average of one answer.
	slowest = 30 * time.Second
)

// Target is a back end with what this entry knows of it. All fields but the
// embedded ones are atomics, written by many threads.
type Target struct {
	hookhall.Target
	inflight atomic.Int64
	report   atomic.Pointer[hookhall.LoadReport]
	// latency is a moving average in nanoseconds, 0 without data.
	latency  atomic.Int64
	failures atomic.Int64
	// ejected is until when (clock.Stamp) the target is left out.
	ejected atomic.Int64
	// refused is until when (clock.Stamp) a refusal as leaving is believed.
	refused atomic.Int64
	calls   atomic.Int64
	// heard is when (clock.Stamp) a report last came.
	heard atomic.Int64
	// moved is when (clock.Stamp) a call last ended here, or the first of those in
	// progress began.
	moved atomic.Int64
}

// Begin counts a call as in progress.
func (t *Target) Begin(now time.Time) {
	if t.inflight.Add(1) == 1 {
		t.moved.Store(clock.Stamp(now))
	}
	t.calls.Add(1)
}

// End counts a call's end. Failed tells failures of the target from refusals
// and cancellations, which say nothing of its health.
func (t *Target) End(busy time.Duration, failed bool, now time.Time) {
	t.inflight.Add(-1)
	t.moved.Store(clock.Stamp(now))
	if !failed {
		t.failures.Store(0)
		t.ejected.Store(0)
		t.learn(busy)
		return
	}
	n := t.failures.Add(1)
	if n >= ejectAfter {
		pause := min(ejectFirst<<min(n-ejectAfter, 10), ejectMost)
		t.ejected.Store(clock.Stamp(now.Add(pause)))
	}
}

// Cancel counts a call's end that says nothing of the target.
func (t *Target) Cancel() { t.inflight.Add(-1) }

// Late counts a call that was cut off at its deadline: it would have taken
// longer still, and a target that is slow must not look idle.
func (t *Target) Late(took time.Duration) {
	t.inflight.Add(-1)
	t.learn(took)
}

func (t *Target) learn(busy time.Duration) {
	busy = min(busy, slowest)
	for {
		old := t.latency.Load()
		next := old + (int64(busy)-old)/8
		if old == 0 {
			next = int64(busy)
		}
		if t.latency.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// Report takes in the target's own report.
func (t *Target) Report(r hookhall.LoadReport, now time.Time) {
	if r.Capacity == 0 && r.Running == 0 && !r.Leaving {
		return // no report came with the answer
	}
	t.report.Store(&r)
	t.heard.Store(clock.Stamp(now))
	if r.Leaving {
		t.Refused(now)
	}
}

// HeardWithin tells whether a report came, with an answer or by a poll, within d.
func (t *Target) HeardWithin(d time.Duration, now time.Time) bool {
	return clock.Stamp(now)-t.heard.Load() < int64(d)
}

// Refused notes that the target refused work because it is leaving.
func (t *Target) Refused(now time.Time) { t.refused.Store(clock.Stamp(now.Add(refusalHold))) }

// IsLeaving tells whether any source calls the target leaving.
func (t *Target) IsLeaving(now time.Time) bool {
	return t.Target.Leaving || t.refused.Load() > clock.Stamp(now)
}

// usable tells whether the target may get a call. A target whose pause is
// over gets one call, which starts the next pause; its success ends it.
func (t *Target) usable(now time.Time) bool {
	if t.IsLeaving(now) {
		return false
	}
	until := t.ejected.Load()
	return until == 0 || clock.Stamp(now) > until
}

// claimProbe takes the one call of a target whose pause is over.
func (t *Target) claimProbe(now time.Time) bool {
	until := t.ejected.Load()
	if until == 0 {
		return true
	}
	return clock.Stamp(now) > until && t.ejected.CompareAndSwap(until, clock.Stamp(now.Add(ejectFirst)))
}

// Capacity is what the target says it runs at once; at least 1.
func (t *Target) Capacity() int {
	if r := t.report.Load(); r != nil && r.Capacity > 0 {
		return r.Capacity
	}
	return 1
}

// load is this entry's calls in progress as a share of the capacity. What
// others have in progress is not in it: reports of it are late, and measured no
// gain when they were little late and a loss when they were very late. The
// latency, which is measured here, has it in.
func (t *Target) load() float64 {
	return float64(t.inflight.Load()) / float64(t.Capacity())
}

// pace is how long a call takes here, in nanoseconds: the average, or the time
// since anything last moved while calls are in progress, which shows that a
// target has turned slow before its calls have ended.
func (t *Target) pace(now time.Time) float64 {
	pace := t.latency.Load()
	if t.inflight.Load() > 0 {
		pace = max(pace, clock.Stamp(now)-t.moved.Load())
	}
	return float64(max(pace, 1))
}

// score is lower for a better target.
func (t *Target) score(now time.Time) float64 {
	return (t.load() + 1/float64(t.Capacity())) * t.pace(now)
}

// Status is a target's part of a state dump.
type Status struct {
	ID        string  `json:"id"`
	Hall      string  `json:"hall"`
	Address   string  `json:"address"`
	Inflight  int64   `json:"inflight"`
	Calls     int64   `json:"calls"`
	Load      float64 `json:"load"`
	LatencyMS float64 `json:"latency_ms"`
	Leaving   bool    `json:"leaving"`
	Ejected   bool    `json:"ejected"`
}

// Status reads the target.
func (t *Target) Status(now time.Time) Status {
	return Status{
		ID: t.ID, Hall: t.Hall, Address: t.Address,
		Inflight: t.inflight.Load(), Calls: t.calls.Load(), Load: t.load(),
		LatencyMS: float64(t.latency.Load()) / 1e6,
		Leaving:   t.IsLeaving(now), Ejected: t.ejected.Load() > clock.Stamp(now),
	}
}
