// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// noMemoryPause is how long a target that reported no memory gets no calls, unless a
	// result there is released before: a tenth of a short call.
	noMemoryPause = 40 * time.Millisecond
	// minFailurePause is how long a target gets no calls after a failed one. It doubles with
	// each consecutive failure. It can be short, since a crashed target is detected within
	// one call and a restarted one is available soon.
	minFailurePause = 100 * time.Millisecond
	// maxFailurePause limits the pause after consecutive failures.
	maxFailurePause = 2 * time.Second
	// slowThreshold is the slowdown from which a target counts as slow: its calls take 1.5 times as
	// long as expected.
	slowThreshold = 1.5
	// overdueFactor times the expected duration, adjusted to the target's slowdown, is how
	// long a call may take before its pieces are offered to other targets as well.
	overdueFactor = 1.8
	// inputsReadShare is the part of a call's fixed time after which the target has read the
	// inputs. It reads them within milliseconds when it starts the call, and then spends the
	// fixed time, so half of that leaves an ample margin. minInputsReadDelay replaces the
	// share in pools whose fixed time is short: it is some 20 round trips between halls.
	inputsReadShare    = 0.5
	minInputsReadDelay = 80 * time.Millisecond
	// holdTimeSmoothing determines the average time for which results are held: a new sample has
	// weight 1/holdTimeSmoothing.
	holdTimeSmoothing = 32
	// maxOverdueSlowdown limits the slowdown that extends the time until a call is overdue.
	maxOverdueSlowdown = 2.0
)

// worker is the queue's state of one incarnation of a target.
type worker struct {
	Target        hookhall.Target
	calls         []*Batch              // in progress
	results       map[string]heldResult // by handle
	firstExpiry   time.Time             // no result expires earlier
	bytes         float64               // of results, and reserved for calls in progress
	noMemoryUntil time.Time             // no calls until then, or until a result is released
	pausedUntil   time.Time             // no calls until then, because of failed ones
	failures      int                   // consecutive failed calls
	slowdown      float64               // moving average of actual to expected call duration; 1 is as expected
	// memoryShortSince is when its free memory began to allow only a small call, zero if it
	// allows a full one.
	memoryShortSince time.Time
	// removed is set while calls are in progress on a target that is no longer listed.
	removed   bool
	idleIndex int // in Queue.idle, -1 if it is not there
	// countedHealthy is set while Queue.healthyByHall includes this worker.
	countedHealthy bool
}

// heldResult is a result that occupies a target's memory.
type heldResult struct {
	bytes  float64
	made   time.Time
	expiry time.Time // when the pool drops it
}

// newWorker returns a worker for t without calls or results.
func newWorker(t hookhall.Target) *worker {
	return &worker{Target: t, idleIndex: -1, results: map[string]heldResult{}, slowdown: 1}
}

// healthy reports whether calls to the target are expected to succeed in time.
func (w *worker) healthy() bool {
	return !w.Target.Leaving && w.failures == 0 && w.slowdown < slowThreshold
}

// isPaused reports whether the target gets no calls at now because of earlier ones.
func (w *worker) isPaused(now time.Time) bool {
	return now.Before(w.pausedUntil) || now.Before(w.noMemoryUntil)
}

// recordFailure starts a pause after a failed call.
func (w *worker) recordFailure(now time.Time) {
	pause := min(minFailurePause<<min(w.failures, 8), maxFailurePause)
	w.failures++
	w.pausedUntil = now.Add(pause)
}

// overdueAfter returns how long after its start a call with the given expected duration is
// overdue.
func (w *worker) overdueAfter(expected time.Duration) time.Duration {
	return time.Duration(overdueFactor * min(max(w.slowdown, 1), maxOverdueSlowdown) * float64(expected))
}

// recordCallTime updates the slowdown with the duration of a call, which counts as at most
// 10 times the expected one.
func (w *worker) recordCallTime(duration, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(duration)/float64(expected), 10)
	w.slowdown += (ratio - w.slowdown) / 3
}
