// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// ejectAfter consecutive failures a target is left out.
	ejectAfter = 4
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 15 * time.Second
	// fade is the age at which a report of others' load counts 1/e.
	fade = time.Second
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
	report   atomic.Pointer[report]
	// latency is a moving average in nanoseconds, 0 without data.
	latency  atomic.Int64
	failures atomic.Int64
	// ejected is until when (Unix ns) the target is left out.
	ejected atomic.Int64
	// refused is until when (Unix ns) a refusal as leaving is believed.
	refused atomic.Int64
	calls   atomic.Int64
}

type report struct {
	hookhall.LoadReport
	at  time.Time
	own int64
}

// Begin counts a call as in progress.
func (t *Target) Begin() {
	t.inflight.Add(1)
	t.calls.Add(1)
}

// End counts a call's end. Failed tells failures of the target from refusals
// and cancellations, which say nothing of its health.
func (t *Target) End(busy time.Duration, failed bool, now time.Time) {
	t.inflight.Add(-1)
	if !failed {
		t.failures.Store(0)
		t.ejected.Store(0)
		t.learn(busy)
		return
	}
	n := t.failures.Add(1)
	if n >= ejectAfter {
		pause := min(ejectFirst<<min(n-ejectAfter, 10), ejectMost)
		t.ejected.Store(now.Add(pause).UnixNano())
	}
}

// Cancel counts a call's end that says nothing of the target.
func (t *Target) Cancel() { t.inflight.Add(-1) }

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
	t.report.Store(&report{r, now, t.inflight.Load()})
	if r.Leaving {
		t.Refused(now)
	}
}

// Refused notes that the target refused work because it is leaving.
func (t *Target) Refused(now time.Time) { t.refused.Store(now.Add(refusalHold).UnixNano()) }

// IsLeaving tells whether any source calls the target leaving.
func (t *Target) IsLeaving(now time.Time) bool {
	return t.Target.Leaving || t.refused.Load() > now.UnixNano()
}

// usable tells whether the target may get a call. A target whose pause is
// over gets one call, which starts the next pause; its success ends it.
func (t *Target) usable(now time.Time) bool {
	if t.IsLeaving(now) {
		return false
	}
	until := t.ejected.Load()
	return until == 0 || now.UnixNano() > until
}

// claimProbe takes the one call of a target whose pause is over.
func (t *Target) claimProbe(now time.Time) bool {
	until := t.ejected.Load()
	if until == 0 {
		return true
	}
	return now.UnixNano() > until && t.ejected.CompareAndSwap(until, now.Add(ejectFirst).UnixNano())
}

// Capacity is what the target says it runs at once; at least 1.
func (t *Target) Capacity() int {
	if r := t.report.Load(); r != nil && r.Capacity > 0 {
		return r.Capacity
	}
	return 1
}

// load is calls in progress as a share of the capacity.
func (t *Target) load(now time.Time) float64 {
	n := float64(t.inflight.Load())
	if r := t.report.Load(); r != nil {
		others := float64(int64(r.Running+r.Waiting) - r.own)
		if others > 0 {
			n += others * math.Exp(-now.Sub(r.at).Seconds()/fade.Seconds())
		}
	}
	return n / float64(t.Capacity())
}

// score is lower for a better target.
func (t *Target) score(now time.Time) float64 {
	return (t.load(now) + 1/float64(t.Capacity())) * float64(max(t.latency.Load(), 1))
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
		Inflight: t.inflight.Load(), Calls: t.calls.Load(), Load: t.load(now),
		LatencyMS: float64(t.latency.Load()) / 1e6,
		Leaving:   t.IsLeaving(now), Ejected: t.ejected.Load() > now.UnixNano(),
	}
}
