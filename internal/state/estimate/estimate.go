// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package estimate predicts the duration of the calls of pipeline stages from measured
// durations.
//
// # Model
//
// A series is kept for each pipeline, stage and size bucket. Durations go into a ring of
// HDR histograms, one per window of a second, so that the estimate follows a change of
// speed within a few windows. Readers load cached quantiles from atomics and never wait
// for a writer. Only a measurement updates the quantiles: an idle series keeps its last
// ones.
//
// # Invariants
//
//   - Without data an estimate is zero, so the first requests are admitted and provide
//     the measurements.
//   - Durations are clamped to the range of the histograms, never dropped.
package estimate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowCount is the number of windows, each windowLength long, that an estimate covers.
	windowCount  = 5
	windowLength = time.Second
	// refreshInterval is the minimum interval between computations of a series' quantiles.
	refreshInterval = 50 * time.Millisecond
	// minMicros and maxMicros bound recorded durations, in microseconds: from 10 microseconds
	// to 10 minutes.
	minMicros = 10
	maxMicros = 600_000_000
	// significantDigits is the decimal precision of the histograms.
	significantDigits = 2
)

// Key identifies a series. Size is a result of Bucket, such as that of the limit on generated
// tokens, and 0 for stages without one.
type Key struct {
	Pipeline string
	Stage    string
	Size     int
}

// Bucket returns the exponent of the largest power of two up to size, 0 for sizes below 2.
// Buckets keep long generations out of the estimate of short ones.
func Bucket(size int) int {
	exponent := 0
	for size > 1 {
		size >>= 1
		exponent++
	}
	return exponent
}

// Set holds all series. Its zero value is ready, and it is safe for concurrent use.
type Set struct {
	series sync.Map // Key to *series
}

// series holds the durations measured for one key.
type series struct {
	mu          sync.Mutex
	ring        *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time    // start of the current window
	refreshedAt time.Time    // when median and p90 were last computed
	median      atomic.Int64 // nanoseconds, 0 without data
	p90         atomic.Int64 // nanoseconds, 0 without data
}

// Estimate is the expected duration of the calls of a series.
type Estimate struct {
	// Median and P90 are the 50th and the 90th percentile of the last windowCount windows,
	// zero without data.
	Median time.Duration
	P90    time.Duration
}

// Observe adds a measured duration to a series, which it creates if necessary. now is the
// current time.
func (s *Set) Observe(k Key, d time.Duration, now time.Time) {
	v, ok := s.series.Load(k)
	if !ok {
		v, _ = s.series.LoadOrStore(k, &series{
			ring: hdrhistogram.NewWindowed(windowCount, minMicros, maxMicros, significantDigits), rotatedAt: now})
	}
	v.(*series).observe(d, now)
}

// observe adds a duration and, at most every refreshInterval, recomputes the quantiles.
func (r *series) observe(d time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := 0; now.Sub(r.rotatedAt) >= windowLength; n++ {
		if n == windowCount {
			r.rotatedAt = now // idle for longer than the ring covers: all windows are empty
			break
		}
		r.ring.Rotate()
		r.rotatedAt = r.rotatedAt.Add(windowLength)
	}
	micros := min(max(d.Microseconds(), minMicros), maxMicros)
	if err := r.ring.Current.RecordValue(micros); err != nil {
		return // unreachable: the value is clamped to the range
	}
	if now.Sub(r.refreshedAt) < refreshInterval && r.median.Load() != 0 {
		return
	}
	r.refreshedAt = now
	merged := r.ring.Merge()
	r.median.Store(int64(time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond))
	r.p90.Store(int64(time.Duration(merged.ValueAtQuantile(90)) * time.Microsecond))
}

// Get returns the estimate of a series, the zero Estimate without data.
func (s *Set) Get(k Key) Estimate {
	v, ok := s.series.Load(k)
	if !ok {
		return Estimate{}
	}
	r := v.(*series)
	return Estimate{Median: time.Duration(r.median.Load()), P90: time.Duration(r.p90.Load())}
}

// All returns the estimates of all series.
func (s *Set) All() map[Key]Estimate {
	all := map[Key]Estimate{}
	s.series.Range(func(k, _ any) bool {
		all[k.(Key)] = s.Get(k.(Key))
		return true
	})
	return all
}
