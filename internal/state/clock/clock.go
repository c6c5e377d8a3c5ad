// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the interval between checks for a suspension, and so the longest time
	// that one stays undetected after its end. It is half of the age that cached state may
	// gain unnoticed, and short against the tenths of a second that updates take to arrive. A
	// check costs 0.4 us.
	watchInterval = 50 * time.Millisecond
	// minSuspension is the shortest suspension that counts; shorter ones add up until they
	// reach it. Smaller differences of the clocks may be errors: they are read one after the
	// other, and the process may be descheduled in between.
	minSuspension = 20 * time.Millisecond
	// calibrationSamples is how many further times the clocks are compared at the start; the
	// largest offset is used, because descheduling between the two readings makes it smaller.
	calibrationSamples = 5
)

// bootClock holds the function that reads the clock that continues while an instance is
// suspended: CLOCK_BOOTTIME, or its replacement by Simulate.
var bootClock atomic.Pointer[func() time.Duration]

// bootTime returns the time since boot by CLOCK_BOOTTIME, or 0 if it is unavailable.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// state records the suspensions of the instance.
var state struct {
	suspended atomic.Int64 // total duration of recorded suspensions since start, in nanoseconds
	// resumed is closed at the end of the next suspension; nil while WatchSuspensions is not
	// running.
	resumed atomic.Pointer[chan struct{}]

	// resumeCallbacks is a set of *func(), called with mu held when a suspension is recorded.
	resumeCallbacks sync.Map

	mu    sync.Mutex // serializes changes of the fields
	start time.Time  // when the clocks were last calibrated
	// baseOffset is CLOCK_BOOTTIME minus the monotonic clock, without suspensions.
	baseOffset time.Duration
}

func init() {
	read := bootTime
	bootClock.Store(&read)
	recalibrate()
}

// Simulate replaces CLOCK_BOOTTIME by another clock, for tests, until restore is called.
func Simulate(other func() time.Duration) (restore func()) {
	previous := bootClock.Swap(&other)
	recalibrate()
	return func() {
		bootClock.Store(previous)
		recalibrate()
	}
}

// recalibrate discards the recorded suspensions and measures the offset of the clocks.
func recalibrate() {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.start = time.Now()
	state.suspended.Store(0)
	state.baseOffset = bootOffset()
	for range calibrationSamples {
		state.baseOffset = max(state.baseOffset, bootOffset())
	}
}

// bootOffset returns CLOCK_BOOTTIME minus the time of the monotonic clock since start, or
// less if the process was descheduled between the two readings.
func bootOffset() time.Duration { return (*bootClock.Load())() - time.Since(state.start) }

// Now returns the current time of this clock. Its time of day is meaningless.
func Now() time.Time { return time.Now().Add(time.Duration(state.suspended.Load())) }

// origin is the zero point of stamps. It is long before any stamped time, so that the
// stamp 0 can mean never.
var origin = time.Now().Add(-100 * 365 * 24 * time.Hour)

// Stamp returns t in nanoseconds since a fixed origin, for atomic variables. It does not
// depend on the time of day, which may jump.
func Stamp(t time.Time) int64 { return int64(t.Sub(origin)) }

// Since returns the time elapsed since t, a time of this clock, including suspensions.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// DetectSuspension detects a suspension that is not yet recorded, adds it to this clock,
// and returns its duration, or 0 if there was none.
func DetectSuspension() time.Duration {
	duration := bootOffset() - state.baseOffset - time.Duration(state.suspended.Load())
	if duration < minSuspension {
		return 0
	}
	return recordSuspension()
}

// recordSuspension adds a suspension to the clock, closes the channel of Resumed and calls
// the callbacks. It returns the duration, or 0 if another goroutine has recorded it.
func recordSuspension() time.Duration {
	state.mu.Lock()
	defer state.mu.Unlock()
	duration := bootOffset() - state.baseOffset - time.Duration(state.suspended.Load())
	if duration < minSuspension {
		return 0 // recorded by another goroutine
	}
	state.suspended.Add(int64(duration))
	if resumed := state.resumed.Load(); resumed != nil {
		next := make(chan struct{})
		state.resumed.Store(&next)
		close(*resumed)
	}
	state.resumeCallbacks.Range(func(callback, _ any) bool {
		(*callback.(*func()))()
		return true
	})
	return duration
}

// WatchSuspensions checks for suspensions every watchInterval until ctx ends, and calls
// suspended with the duration of each that it detects; those that DetectSuspension finds
// first are not reported. The channel of Resumed exists only while it runs. At most one
// call may run at a time.
func WatchSuspensions(ctx context.Context, suspended func(time.Duration)) {
	resumed := make(chan struct{})
	state.resumed.Store(&resumed)
	defer state.resumed.Store(nil)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if duration := DetectSuspension(); duration > 0 {
			suspended(duration)
		}
	}
}

// Resumed returns a channel that is closed once the next suspension is detected, or nil
// while WatchSuspensions is not running.
func Resumed() <-chan struct{} {
	if resumed := state.resumed.Load(); resumed != nil {
		return *resumed
	}
	return nil
}

// WithDeadline is context.WithDeadline for a time of this clock. After a detected
// suspension the context is canceled at t, which its own timer would reach late; its error
// is then context.Canceled.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, Until(t))
	rearm := func() { time.AfterFunc(Until(t), cancel) }
	state.resumeCallbacks.Store(&rearm, struct{}{})
	return ctx, func() {
		state.resumeCallbacks.Delete(&rearm)
		cancel()
	}
}
