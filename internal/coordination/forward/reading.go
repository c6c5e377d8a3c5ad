// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync/atomic"
	"time"
)

const (
	// initialReadTime is the first estimate of the time from an attempt until its target has
	// read the results of stages: about 20 round trips between halls, and many times what the
	// transfer takes.
	initialReadTime = 80 * time.Millisecond
	// minReadTime and maxReadTime bound the estimate.
	minReadTime = 40 * time.Millisecond
	maxReadTime = 2 * time.Second
	// readTimeGrowth is the factor of the estimate after a target found results released too
	// early, readTimeDecay the factor after a target had read them in time. With these values
	// one attempt in 700 finds its results released, which makes the request's stages run again.
	readTimeGrowth = 2.0
	readTimeDecay  = 0.999
)

// readTimeEstimate estimates how long targets take to read the results of stages. Its zero
// value starts with initialReadTime. It is safe for concurrent use.
type readTimeEstimate struct{ estimate atomic.Int64 }

// duration returns how long after the start of an attempt the results may be released.
func (r *readTimeEstimate) duration() time.Duration {
	if d := time.Duration(r.estimate.Load()); d > 0 {
		return d
	}
	return initialReadTime
}

// recordTooShort records that a target did not find results since they had been released.
func (r *readTimeEstimate) recordTooShort() { r.scale(readTimeGrowth) }

// recordLongEnough records that a target had read results before they were released.
func (r *readTimeEstimate) recordLongEnough() { r.scale(readTimeDecay) }

// scale multiplies the estimate by factor. Of two concurrent calls one may be lost; later calls
// compensate for it.
func (r *readTimeEstimate) scale(factor float64) {
	scaled := time.Duration(factor * float64(r.duration()))
	r.estimate.Store(int64(min(max(scaled, minReadTime), maxReadTime)))
}
