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
	// watchEvery is how often it is looked whether the instance was suspended: half of
	// what a belief may age unnoticed beside the tenths of a second that news takes. A look
	// costs 0.4 us.
	watchEvery = 50 * time.Millisecond
	// least is the shortest suspension that counts: the two clocks are read one after the
	// other, and a process may lose its processor in between.
	least = 20 * time.Millisecond
	// samples is how often the clocks are compared at the start.
	samples = 5
)

// boot reads the clock that goes on while an instance is suspended.
var boot atomic.Pointer[func() time.Duration]

// bootTime reads CLOCK_BOOTTIME, 0 where it is not to be had.
func bootTime() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// state is what is known of suspensions.
var state struct {
	asleep atomic.Int64 // how long the instance was suspended since the start
	woken  atomic.Pointer[chan struct{}]

	wakes sync.Map // *func(), called at the end of each suspension, to nothing

	mu    sync.Mutex
	start time.Time
	base  time.Duration // CLOCK_BOOTTIME less the steady clock, without suspensions
}

func init() {
	own := bootTime
	boot.Store(&own)
	restart()
}

// Simulate has another clock take CLOCK_BOOTTIME's place, for tests, until restore is
// called.
func Simulate(other func() time.Duration) (restore func()) {
	before := boot.Swap(&other)
	restart()
	return func() {
		boot.Store(before)
		restart()
	}
}

// restart begins to count anew.
func restart() {
	state.mu.Lock()
	defer state.mu.Unlock()
	state.start = time.Now()
	state.asleep.Store(0)
	state.base = ahead()
	for range samples {
		state.base = max(state.base, ahead())
	}
}

// ahead is by how much CLOCK_BOOTTIME is ahead of the steady clock, or less when the
// process lost its processor between the two.
func ahead() time.Duration { return (*boot.Load())() - time.Since(state.start) }

// Now is the present time. Its time of day means nothing.
func Now() time.Time { return time.Now().Add(time.Duration(state.asleep.Load())) }

// origin is where stamps count from: long before any time that is stamped, so that 0 may
// stand for never.
var origin = time.Now().Add(-100 * 365 * 24 * time.Hour)

// Stamp is t as a number of nanoseconds, for atomic variables. The time of day, which may
// jump, is no part of it.
func Stamp(t time.Time) int64 { return int64(t.Sub(origin)) }

// Since is the time since t, suspensions included.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Check looks whether the instance was suspended, and returns for how long, 0 if it was
// not.
func Check() time.Duration {
	slept := ahead() - state.base - time.Duration(state.asleep.Load())
	if slept < least {
		return 0
	}
	return wake()
}

// wake takes in a suspension.
func wake() time.Duration {
	state.mu.Lock()
	defer state.mu.Unlock()
	slept := ahead() - state.base - time.Duration(state.asleep.Load())
	if slept < least {
		return 0 // another one took it in
	}
	state.asleep.Add(int64(slept))
	if woken := state.woken.Load(); woken != nil {
		next := make(chan struct{})
		state.woken.Store(&next)
		close(*woken)
	}
	state.wakes.Range(func(f, _ any) bool {
		(*f.(*func()))()
		return true
	})
	return slept
}

// Watch looks for suspensions until ctx ends, and tells of each. Only while it runs are
// pauses ended by one.
func Watch(ctx context.Context, suspended func(time.Duration)) {
	woken := make(chan struct{})
	state.woken.Store(&woken)
	defer state.woken.Store(nil)
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if slept := Check(); slept > 0 {
			suspended(slept)
		}
	}
}

// Woken is closed at the end of the next suspension; nil while nobody watches.
func Woken() <-chan struct{} {
	if woken := state.woken.Load(); woken != nil {
		return *woken
	}
	return nil
}

// WithDeadline is context.WithDeadline by this clock. A context whose deadline comes
// nearer by a suspension is canceled at it.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, Until(t))
	nearer := func() { time.AfterFunc(Until(t), cancel) }
	state.wakes.Store(&nearer, struct{}{})
	return ctx, func() {
		state.wakes.Delete(&nearer)
		cancel()
	}
}
