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
	// ejectAfterFailures is the number of consecutive failures that ejects a target: it is not
	// chosen, as long as others are usable, for a time that starts at minEjection and doubles
	// with each further failure up to maxEjection.
	ejectAfterFailures = 4
	minEjection        = 500 * time.Millisecond
	maxEjection        = 15 * time.Second
	// leavingTTL is how long a target counts as leaving after it last refused a call as
	// leaving or reported so.
	leavingTTL = 15 * time.Second
	// maxLatencySample bounds the duration that one call adds to the average latency.
	maxLatencySample = 30 * time.Second
)

// Target is a target with this entry's measurements of it. It is safe for concurrent use:
// all fields but the embedded ones are atomics.
type Target struct {
	hookhall.Target
	inflight atomic.Int64
	// report is the last load report, nil without one.
	report atomic.Pointer[hookhall.LoadReport]
	// latency is the moving average of call durations in nanoseconds, 0 without data.
	latency atomic.Int64
	// failures counts consecutive failures.
	failures atomic.Int64
	// ejectedUntil is the end (clock.Stamp) of the ejection, 0 while there is none.
	ejectedUntil atomic.Int64
	// leavingUntil is until when (clock.Stamp) the target counts as leaving because of a
	// refusal or report.
	leavingUntil atomic.Int64
	// calls counts all calls begun.
	calls atomic.Int64
	// reportedAt is when (clock.Stamp) the last report was received.
	reportedAt atomic.Int64
	// lastProgress is when (clock.Stamp) a call last ended by End or, if later, when a call
	// began while no other was in progress.
	lastProgress atomic.Int64
}

// Begin counts a call as in progress. When it ends, the caller must count that by one of
// the methods below.
func (t *Target) Begin(now time.Time) {
	if t.inflight.Add(1) == 1 {
		t.lastProgress.Store(clock.Stamp(now))
	}
	t.calls.Add(1)
}

// End counts the end of a call that took the duration took. failed means a failure of the
// target; it counts towards ejection, and its duration is ignored. Refusals and
// cancellations are no evidence of the target's health and end with Cancel.
func (t *Target) End(took time.Duration, failed bool, now time.Time) {
	t.inflight.Add(-1)
	t.lastProgress.Store(clock.Stamp(now))
	if !failed {
		t.failures.Store(0)
		t.ejectedUntil.Store(0)
		t.observeLatency(took)
		return
	}
	failures := t.failures.Add(1)
	if failures >= ejectAfterFailures {
		ejection := min(minEjection<<min(failures-ejectAfterFailures, 10), maxEjection)
		t.ejectedUntil.Store(clock.Stamp(now.Add(ejection)))
	}
}

// Cancel counts the end of a call whose outcome is no evidence of the target's health.
func (t *Target) Cancel() { t.inflight.Add(-1) }

// EndAtDeadline counts the end of a call that was cut off at its deadline after took. The
// duration goes into the average latency, although the call would have taken even longer,
// so that a slow target does not look fast.
func (t *Target) EndAtDeadline(took time.Duration) {
	t.inflight.Add(-1)
	t.observeLatency(took)
}

// observeLatency adds a duration, at most maxLatencySample, to the moving average.
func (t *Target) observeLatency(took time.Duration) {
	took = min(took, maxLatencySample)
	for {
		old := t.latency.Load()
		next := old + (int64(took)-old)/8
		if old == 0 {
			next = int64(took)
		}
		if t.latency.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// RecordReport stores a load report by the target itself, received at now. An empty report
// is ignored.
func (t *Target) RecordReport(r hookhall.LoadReport, now time.Time) {
	if r.Capacity == 0 && r.Running == 0 && !r.Leaving {
		return // the response carried no report
	}
	t.report.Store(&r)
	t.reportedAt.Store(clock.Stamp(now))
	if r.Leaving {
		t.MarkLeaving(now)
	}
}

// ReportedWithin reports whether a load report was received, with a response or by a poll,
// less than d before now.
func (t *Target) ReportedWithin(d time.Duration, now time.Time) bool {
	return clock.Stamp(now)-t.reportedAt.Load() < int64(d)
}

// MarkLeaving records that the target refused a call because it is leaving, or reported
// so. The record expires after leavingTTL.
func (t *Target) MarkLeaving(now time.Time) { t.leavingUntil.Store(clock.Stamp(now.Add(leavingTTL))) }

// IsLeaving reports whether the target is leaving, by the instance list, a refusal or the
// target's report.
func (t *Target) IsLeaving(now time.Time) bool {
	return t.Target.Leaving || t.leavingUntil.Load() > clock.Stamp(now)
}

// usable reports whether the target may get a call: it is not leaving, and not ejected.
// After an ejection it gets a single call, its probe, which starts the next ejection
// (claimProbe); the success of the probe ends that one.
func (t *Target) usable(now time.Time) bool {
	if t.IsLeaving(now) {
		return false
	}
	until := t.ejectedUntil.Load()
	return until == 0 || clock.Stamp(now) > until
}

// claimProbe reports whether the caller may call the target. If an ejection has ended, this
// is true for one caller, and the target is ejected again for minEjection.
func (t *Target) claimProbe(now time.Time) bool {
	until := t.ejectedUntil.Load()
	if until == 0 {
		return true
	}
	return clock.Stamp(now) > until && t.ejectedUntil.CompareAndSwap(until, clock.Stamp(now.Add(minEjection)))
}

// Capacity returns the number of calls that the target reports it can run at once; 1
// without a report.
func (t *Target) Capacity() int {
	if r := t.report.Load(); r != nil && r.Capacity > 0 {
		return r.Capacity
	}
	return 1
}

// load returns this entry's calls in progress divided by the capacity. It leaves out the
// calls of other entries, because reports of them are delayed: slightly delayed ones bring
// no gain, and very delayed ones mislead the choice. The latency, which this entry measures
// itself, includes their effect.
func (t *Target) load() float64 {
	return float64(t.inflight.Load()) / float64(t.Capacity())
}

// expectedLatency returns the expected duration of a call in nanoseconds, at least 1: the
// moving average or, while calls are in progress, the time since lastProgress if that is
// longer. So a target that turns slow is recognized before its calls end.
func (t *Target) expectedLatency(now time.Time) float64 {
	latency := t.latency.Load()
	if t.inflight.Load() > 0 {
		latency = max(latency, clock.Stamp(now)-t.lastProgress.Load())
	}
	return float64(max(latency, 1))
}

// score returns the load with one more call, multiplied by the expected latency. The
// target with the lower score gets the call.
func (t *Target) score(now time.Time) float64 {
	return (t.load() + 1/float64(t.Capacity())) * t.expectedLatency(now)
}

// Status is the state of a target as the admin interface shows it. Inflight counts this
// entry's calls in progress, Calls all calls begun; Load is Inflight over the capacity, and
// LatencyMS the average latency in milliseconds, 0 without data.
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

// Status returns the target's state.
func (t *Target) Status(now time.Time) Status {
	return Status{
		ID: t.ID, Hall: t.Hall, Address: t.Address,
		Inflight: t.inflight.Load(), Calls: t.calls.Load(), Load: t.load(),
		LatencyMS: float64(t.latency.Load()) / 1e6,
		Leaving:   t.IsLeaving(now), Ejected: t.ejectedUntil.Load() > clock.Stamp(now),
	}
}
