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

// suspendable runs f with a CLOCK_BOOTTIME that suspend moves on alone.
func suspendable(t *testing.T, f func(t *testing.T, suspend func(d time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var slept atomic.Int64
		slept.Store(int64(time.Hour)) // the instance was suspended before
		defer Simulate(func() time.Duration { return time.Since(start) + time.Duration(slept.Load()) })()
		f(t, func(d time.Duration) { slept.Add(int64(d)) })
	})
}

func TestSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		spans []time.Duration // suspensions, a second apart
		want  time.Duration
	}{
		"none":                 {nil, 0},
		"one":                  {[]time.Duration{5 * time.Second}, 5 * time.Second},
		"several":              {[]time.Duration{5 * time.Second, 30 * time.Millisecond, time.Hour}, time.Hour + 5*time.Second + 30*time.Millisecond},
		"too short to be told": {[]time.Duration{10 * time.Millisecond}, 0},
		"short ones add up":    {[]time.Duration{10 * time.Millisecond, 15 * time.Millisecond}, 25 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			suspendable(t, func(t *testing.T, suspend func(time.Duration)) {
				began := Now()
				for _, d := range c.spans {
					time.Sleep(time.Second)
					suspend(d)
					Check()
				}
				awake := time.Duration(len(c.spans)) * time.Second
				if got := Since(began) - awake; got != c.want {
					t.Errorf("suspended for %v, want %v", got, c.want)
				}
				if got := Until(began.Add(time.Minute)); got != time.Minute-awake-c.want {
					t.Errorf("%v until a minute after the start", got)
				}
			})
		})
	}
}

// TestNeverBack: a clock that is read late, or that is not to be had, changes nothing.
func TestNeverBack(t *testing.T) {
	suspendable(t, func(t *testing.T, suspend func(time.Duration)) {
		before := Now()
		suspend(-time.Second)
		if Check() != 0 || Now().Before(before) {
			t.Error("it went back")
		}
		none := func() time.Duration { return 0 }
		boot.Store(&none)
		if Check() != 0 || Now().Before(before) {
			t.Error("it went back")
		}
	})
}

func TestDeadline(t *testing.T) {
	for name, c := range map[string]struct {
		slept time.Duration // after a second of five
		after time.Duration // from then on until the context ends
		err   error
	}{
		"without a suspension": {0, 4 * time.Second, context.DeadlineExceeded},
		"nearer":               {2 * time.Second, 2 * time.Second, context.Canceled},
		"past":                 {time.Minute, 0, context.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			suspendable(t, func(t *testing.T, suspend func(time.Duration)) {
				ctx, cancel := WithDeadline(t.Context(), Now().Add(5*time.Second))
				defer cancel()
				time.Sleep(time.Second)
				suspend(c.slept)
				Check()
				woke := time.Now()
				<-ctx.Done()
				if took := time.Since(woke); took != c.after || !errors.Is(ctx.Err(), c.err) {
					t.Errorf("ended after %v with %v", took, ctx.Err())
				}
			})
		})
	}
	state.wakes.Range(func(_, _ any) bool {
		t.Error("a context is remembered that has ended")
		return false
	})
}

// TestWatch: a suspension is told once, and ends pauses.
func TestWatch(t *testing.T) {
	suspendable(t, func(t *testing.T, suspend func(time.Duration)) {
		if Woken() != nil {
			t.Error("nobody watches")
		}
		ctx, cancel := context.WithCancel(t.Context())
		var told []time.Duration
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			Watch(ctx, func(d time.Duration) { told = append(told, d) })
		}()
		synctest.Wait()
		woken := Woken()
		suspend(3 * time.Second)
		time.Sleep(watchEvery)
		synctest.Wait()
		select {
		case <-woken:
		default:
			t.Error("pauses go on")
		}
		time.Sleep(time.Second)
		cancel()
		<-ended
		if len(told) != 1 || told[0] != 3*time.Second {
			t.Errorf("told of %v", told)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkCheck(b *testing.B) {
	for b.Loop() {
		Check()
	}
}

func BenchmarkWithDeadline(b *testing.B) {
	t := Now().Add(time.Hour)
	for b.Loop() {
		_, cancel := WithDeadline(context.Background(), t)
		cancel()
	}
}
