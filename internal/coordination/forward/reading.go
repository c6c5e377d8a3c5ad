// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync/atomic"
	"time"
)

const (
	// readingStart is how long after a send its target is first believed to have
	// read the results that the request names: some twenty round trips between
	// halls, and many times what the bytes take.
	readingStart = 80 * time.Millisecond
	// readingLeast and readingMost bound what is learned from there.
	readingLeast = 40 * time.Millisecond
	readingMost  = 2 * time.Second
	// readingGrow is the factor after a target found results gone, readingShrink
	// after one had read them: together they settle where one send in 700 comes too
	// late, which costs that request its stages a second time.
	readingGrow   = 2.0
	readingShrink = 0.999
)

// reading is how long targets take to read the results of stages, as learned from
// their answers. The zero value starts with readingStart.
type reading struct{ learned atomic.Int64 }

// time is after how long results may be released.
func (r *reading) time() time.Duration {
	if d := time.Duration(r.learned.Load()); d > 0 {
		return d
	}
	return readingStart
}

// tooSoon takes in that a target found results gone that had been released.
func (r *reading) tooSoon() { r.scale(readingGrow) }

// inTime takes in that a target had read results before they were released.
func (r *reading) inTime() { r.scale(readingShrink) }

// scale may lose one of two changes at the same moment; the next ones make up
// for it.
func (r *reading) scale(factor float64) {
	d := time.Duration(factor * float64(r.time()))
	r.learned.Store(int64(min(max(d, readingLeast), readingMost)))
}
