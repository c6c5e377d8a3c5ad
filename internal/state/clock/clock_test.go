// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package clock

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// withSuspend runs f in a synctest bubble with a simulated CLOCK_BOOTTIME. suspend advances
// it by d while the monotonic clock stands.
func withSuspend(t *testing.T, f func(t *testing.T, suspend func(d time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var suspended atomic.Int64
		suspended.Store(int64(time.Hour)) // suspended before the start of the process
		defer Simulate(func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) })()
		f(t, func(d time.Duration) { suspended.Add(int64(d)) })
	})
}

// TestSuspension guards against ages and deadlines that miss the time of a suspension,
// because the monotonic clock stands meanwhile.
func TestSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		suspensions []time.Duration // a second apart
		want        time.Duration
	}{
		"none":               {nil, 0},
		"one":                {[]time.Duration{5 * time.Second}, 5 * time.Second},
		"several":            {[]time.Duration{5 * time.Second, 30 * time.Millisecond, time.Hour}, time.Hour + 5*time.Second + 30*time.Millisecond},
		"too short to count": {[]time.Duration{10 * time.Millisecond}, 0},
		"short ones add up":  {[]time.Duration{10 * time.Millisecond, 15 * time.Millisecond}, 25 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withSuspend(t, func(t *testing.T, suspend func(time.Duration)) {
				began := Now()
				for _, d := range c.suspensions {
					time.Sleep(time.Second)
					suspend(d)
					DetectSuspension()
				}
				awake := time.Duration(len(c.suspensions)) * time.Second
				if got := Since(began) - awake; got != c.want {
					t.Errorf("suspended for %v, want %v", got, c.want)
				}
				if got := Until(began.Add(time.Minute)); got != time.Minute-awake-c.want {
					t.Errorf("got %v until a minute after the start", got)
				}
			})
		})
	}
}

// TestNeverBackwards guards against a clock that goes backwards when CLOCK_BOOTTIME is read
// late, because the process was descheduled, or is unavailable.
func TestNeverBackwards(t *testing.T) {
	withSuspend(t, func(t *testing.T, suspend func(time.Duration)) {
		before := Now()
		suspend(-time.Second)
		if DetectSuspension() != 0 || Now().Before(before) {
			t.Error("clock went backwards")
		}
		unavailable := func() time.Duration { return 0 }
		bootClock.Store(&unavailable)
		if DetectSuspension() != 0 || Now().Before(before) {
			t.Error("clock went backwards")
		}
	})
}

// TestDeadline guards against a context that outlives its deadline after a suspension,
// because its timer stood meanwhile, and against callbacks left by ended contexts.
func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		suspended time.Duration // a second after the start of a deadline of five
		after     time.Duration // from then on until the context ends
		err       error
	}{
		"without a suspension":  {0, 4 * time.Second, context.DeadlineExceeded},
		"shorter than the rest": {2 * time.Second, 2 * time.Second, context.Canceled},
		"past the deadline":     {time.Minute, 0, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			withSuspend(t, func(t *testing.T, suspend func(time.Duration)) {
				ctx, cancel := WithDeadline(t.Context(), Now().Add(5*time.Second))
				defer cancel()
				time.Sleep(time.Second)
				suspend(c.suspended)
				DetectSuspension()
				resumed := time.Now()
				<-ctx.Done()
				if took := time.Since(resumed); took != c.after || !errors.Is(ctx.Err(), c.err) {
					t.Errorf("ended after %v with %v", took, ctx.Err())
				}
			})
		})
	}
	state.resumeCallbacks.Range(func(_, _ any) bool {
		t.Error("callback of an ended context is still registered")
		return false
	})
}

// TestWatchSuspensions guards against a suspension that is reported more than once, or
// after which the channel of Resumed stays open.
func TestWatchSuspensions(t *testing.T) {
	withSuspend(t, func(t *testing.T, suspend func(time.Duration)) {
		if Resumed() != nil {
			t.Error("channel without a running WatchSuspensions")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var reported []time.Duration
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			WatchSuspensions(ctx, func(d time.Duration) { reported = append(reported, d) })
		}()
		synctest.Wait()
		resumed := Resumed()
		suspend(3 * time.Second)
		time.Sleep(watchInterval)
		synctest.Wait()
		select {
		case <-resumed:
		default:
			t.Error("channel not closed after a suspension")
		}
		time.Sleep(time.Second)
		cancel()
		<-ended
		if len(reported) != 1 || reported[0] != 3*time.Second {
			t.Errorf("reported suspensions %v, want one of 3s", reported)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkDetectSuspension(b *testing.B) {
	for b.Loop() {
		DetectSuspension()
	}
}

func BenchmarkWithDeadline(b *testing.B) {
	t := Now().Add(time.Hour)
	for b.Loop() {
		_, cancel := WithDeadline(context.Background(), t)
		cancel()
	}
}
