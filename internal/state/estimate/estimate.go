// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package estimate learns how long stages take.
//
// # Model
//
// A series is kept for each pipeline, stage and size bucket. Durations go into
// a ring of HDR histograms, one a window, so that a stage that turned slow or
// fast is known within some windows. Readers get a cached quantile from an
// atomic and never wait for a writer.
//
// # Invariants
//
//   - Without data an estimate is zero: the first requests are let through,
//     and they are the measurement.
//   - Values are clamped to the histogram's range, never dropped.
package estimate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows      = 5
	windowLength = time.Second
	// refreshEvery is how often a quantile is computed anew at most.
	refreshEvery = 50 * time.Millisecond
	lowest       = 10          // microseconds
	highest      = 600_000_000 // microseconds
	digits       = 2
)

// Key names a series. Size is a bucket, see Bucket.
type Key struct {
	Pipeline string
	Stage    string
	Size     int
}

// Bucket maps a size to its power of two, so that a long generation does not
// set the estimate of a short one.
func Bucket(size int) int {
	b := 0
	for size > 1 {
		size >>= 1
		b++
	}
	return b
}

// Set holds all series. Its zero value is ready.
type Set struct {
	series sync.Map // Key to *series
}

type series struct {
	mu      sync.Mutex
	ring    *hdrhistogram.WindowedHistogram
	rotated time.Time
	fresh   time.Time
	median  atomic.Int64 // nanoseconds
	high    atomic.Int64 // nanoseconds
}

// Estimate is what a series says.
type Estimate struct {
	// Median and High are the 50th and 90th percentile.
	Median time.Duration
	High   time.Duration
}

// Observe adds a measured duration.
func (s *Set) Observe(k Key, d time.Duration, now time.Time) {
	v, ok := s.series.Load(k)
	if !ok {
		v, _ = s.series.LoadOrStore(k, &series{
			ring: hdrhistogram.NewWindowed(windows, lowest, highest, digits), rotated: now})
	}
	v.(*series).observe(d, now)
}

func (r *series) observe(d time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := 0; now.Sub(r.rotated) >= windowLength; n++ {
		if n == windows {
			r.rotated = now // idle for long: all windows are empty
			break
		}
		r.ring.Rotate()
		r.rotated = r.rotated.Add(windowLength)
	}
	us := min(max(d.Microseconds(), lowest), highest)
	if err := r.ring.Current.RecordValue(us); err != nil {
		return // cannot happen: the value is clamped to the range
	}
	if now.Sub(r.fresh) < refreshEvery && r.median.Load() != 0 {
		return
	}
	r.fresh = now
	merged := r.ring.Merge()
	r.median.Store(int64(time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond))
	r.high.Store(int64(time.Duration(merged.ValueAtQuantile(90)) * time.Microsecond))
}

// Get returns the estimate of a series, zero without data.
func (s *Set) Get(k Key) Estimate {
	v, ok := s.series.Load(k)
	if !ok {
		return Estimate{}
	}
	r := v.(*series)
	return Estimate{Median: time.Duration(r.median.Load()), High: time.Duration(r.high.Load())}
}

// All returns every series' estimate.
func (s *Set) All() map[Key]Estimate {
	all := map[Key]Estimate{}
	s.series.Range(func(k, _ any) bool {
		all[k.(Key)] = s.Get(k.(Key))
		return true
	})
	return all
}
