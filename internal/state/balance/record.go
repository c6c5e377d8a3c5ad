// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minEjectionPause is the pause after a first failure that is hard. It doubles with
	// each further failure in a row, up to maxEjectionPause, which is also the pause after
	// softFailureThreshold failures.
	minEjectionPause = 500 * time.Millisecond
	maxEjectionPause = 4 * time.Second
	// softFailureThreshold is how many failures in a row eject a target when the last of
	// them may have been caused by the call itself.
	softFailureThreshold = 4
	// minRefusalPause is how long a target that refused a call is left out, about the
	// time in which a slot becomes free. It doubles with each refusal in a row, up to
	// maxRefusalPause, since a target that keeps refusing while others accept calls is
	// not merely full. maxRefusalPause bounds how late its recovery is noticed.
	minRefusalPause = 30 * time.Millisecond
	maxRefusalPause = time.Second
	// smoothing determines the moving averages: a new sample has weight 1/smoothing.
	smoothing = 8
	// partRetention is how long after its last use a prompt part is assumed to be
	// cached by the target.
	partRetention = 30 * time.Second
	// reportLifetime is how long a target's report of its slowdown is used: it changes many
	// times a second.
	reportLifetime = 500 * time.Millisecond
	// observationHalfLife is the time in which the observations of an idle target lose half of
	// their weight.
	observationHalfLife = 5 * time.Second
)

// record holds the state of one incarnation of a target as observed by this process.
// Its methods lock mu unless they say otherwise.
type record struct {
	incarnation hookhall.Incarnation // immutable
	weight      atomic.Int32         // see currentWeight; 0 before the first sample

	mu           sync.Mutex
	inflight     int     // calls in progress
	reading      int     // calls in progress whose prompt is not read yet
	unreadTokens int     // prompt tokens sent and not read yet
	heldTokens   int     // tokens of calls in progress outside shared parts
	avgLatency   float64 // moving average, in nanoseconds; 0 before the first answer
	failureRate  float64 // moving average, from 0 to 1
	failures     int     // in a row
	refusals     int     // in a row
	ejectedUntil time.Time
	refusedUntil time.Time            // end of the pause after a refusal
	partLastUsed map[string]time.Time // by prompt part
	observedAt   time.Time            // when a call began or its outcome was seen last
	sampleWeight float64              // of the next latency; 0 if it has the usual one
	coldRequests []time.Time          // requests of the last coldWindow that were sent while cold

	slowdown      float64 // reported by the target; 1 for usual, 0 if it is not known
	slowdownAt    time.Time
	isLoadInvalid bool // an invalid load report was recorded

	pool        string // service of the target, "" before the first call
	tokensBegun int64  // prompt tokens of all calls so far that were unread when they began
	readings    readings
	pace        float64 // learned tokens per ms, 0 if there are no samples
}

// begin counts a call in progress and sets the fields of call that describe its prompt and
// the work at the target.
func (r *record) begin(call *ActiveCall, t *hookhall.Target, criteria *Criteria, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if criteria.IsEngineCall {
		call.unreadTokens = criteria.OwnTokens
		call.heldTokens = criteria.OwnTokens + criteria.MaxOutputTokens
		holdsPart := r.holdsPart(criteria.SharedPart, now)
		if !holdsPart {
			call.unreadTokens += criteria.SharedTokens
		}
		// The engine may cache a part that it got more than partRetention ago, or that
		// this process does not know of. The tokens that it reads are then not known. The times
		// of a cold engine say nothing about its later pace.
		isReadingKnown := holdsPart || criteria.SharedTokens == 0
		isQueued := criteria.EngineSpec != nil && criteria.EngineSpec.Slots > 0 && r.inflight >= criteria.EngineSpec.Slots
		call.isSample = isReadingKnown && !isQueued && !t.Cold(now) && call.unreadTokens >= minSampleTokens
	}
	r.pool = t.Pool
	call.overlap = r.unreadTokens
	r.tokensBegun += int64(call.unreadTokens)
	call.tokensBegun = r.tokensBegun
	if recency := r.recency(now); recency < 1 {
		r.failureRate *= recency
		r.sampleWeight = max(r.sampleWeight, 1-recency)
	}
	r.observedAt = now
	r.inflight++
	r.reading++
	r.unreadTokens += call.unreadTokens
	r.heldTokens += call.heldTokens
	for _, part := range criteria.Parts {
		if r.partLastUsed == nil {
			r.partLastUsed = map[string]time.Time{}
		}
		r.partLastUsed[part] = now
	}
}

// holdsPart reports whether the target presumably caches a prompt part. r.mu must be held.
func (r *record) holdsPart(part string, now time.Time) bool {
	lastUsed, ok := r.partLastUsed[part]
	return ok && now.Sub(lastUsed) < partRetention
}

// recency returns the weight that earlier observations have, from 0 to 1. It falls while the target
// is idle, so that a target whose last answers were slow or failures is tried again: nothing else
// would show that it has recovered. A call in progress is such a trial. r.mu must be held.
func (r *record) recency(now time.Time) float64 {
	idle := now.Sub(r.observedAt)
	if r.inflight > 0 || idle <= 0 {
		return 1
	}
	return math.Exp2(-idle.Seconds() / observationHalfLife.Seconds())
}

// read counts a prompt with the given unread tokens as read.
func (r *record) read(tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading--
	r.unreadTokens -= tokens
}

// end counts the end of a call that held the given tokens.
func (r *record) end(heldTokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inflight--
	r.heldTokens -= heldTokens
}

// succeeded counts an answer with the given latency and ends any pause.
func (r *record) succeeded(latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedAt = now
	r.failures = 0
	r.refusals = 0
	r.ejectedUntil, r.refusedUntil = time.Time{}, time.Time{}
	r.failureRate -= r.failureRate / smoothing
	sample := float64(latency)
	if r.avgLatency == 0 {
		r.avgLatency = sample
	}
	r.avgLatency += (sample - r.avgLatency) * max(r.sampleWeight, 1./smoothing)
	r.sampleWeight = 0
}

// failed counts a failure. A hard failure (no connection, silence) ejects the target
// at once, others only from softFailureThreshold in a row.
func (r *record) failed(hard bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedAt = now
	r.failures++
	r.failureRate += (1 - r.failureRate) / smoothing
	if !hard && r.failures < softFailureThreshold {
		return
	}
	pause := min(minEjectionPause<<min(r.failures-1, 6), maxEjectionPause)
	r.ejectedUntil = now.Add(pause)
}

// refused counts a call that the target rejected for lack of a free slot, and leaves
// the target out for a short pause.
func (r *record) refused(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observedAt = now
	pause := min(minRefusalPause<<min(r.refusals, 8), maxRefusalPause)
	r.refusals++
	r.refusedUntil = now.Add(pause)
}

// reportSlowdown records the slowdown that the target reports; 0 if it reports none.
func (r *record) reportSlowdown(slowdown float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown, r.slowdownAt = slowdown, now
}

// reportInvalidLoad records an invalid load report and returns whether it is the first one.
func (r *record) reportInvalidLoad() (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, r.isLoadInvalid = !r.isLoadInvalid, true
	return first
}

// snapshot is a copy of the fields of a record that a choice needs.
type snapshot struct {
	inflight     int
	reading      int
	unreadTokens int
	heldTokens   int
	avgLatency   float64 // in nanoseconds; 0 before the first answer
	nextLatency  float64 // expected of the next call, in nanoseconds; 0 if it is not known
	failureRate  float64
	ejectedUntil time.Time
	refusedUntil time.Time
	holdsPart    bool    // the prompt part asked for is presumably cached
	pace         float64 // learned tokens per ms, 0 if there are no samples
	slowdown     float64 // 1 for usual, 0 if there is no recent report
}

// snapshot returns a copy of the record, with holdsPart set for part.
func (r *record) snapshot(part string, now time.Time) snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	slowdown := r.slowdown
	if now.Sub(r.slowdownAt) >= reportLifetime {
		slowdown = 0
	}
	recency := r.recency(now)
	return snapshot{r.inflight, r.reading, r.unreadTokens, r.heldTokens, r.avgLatency, r.avgLatency * recency, r.failureRate * recency, r.ejectedUntil, r.refusedUntil, r.holdsPart(part, now), r.pace, slowdown}
}

// sweep removes prompt parts whose last use is longer ago than partRetention.
func (r *record) sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for part, lastUsed := range r.partLastUsed {
		if now.Sub(lastUsed) > partRetention {
			delete(r.partLastUsed, part)
		}
	}
}
