// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/state/intake"
)

const tick = 50 * time.Millisecond

// clear and delayed return the Delay of an interval whose last round trip began at the given time.
func clear(began time.Time) intake.Delay {
	return intake.Delay{Completed: 3, Latest: time.Millisecond, LatestBegan: began}
}

func delayed(began time.Time) intake.Delay {
	return intake.Delay{Trips: 100 * time.Millisecond, Completed: 3, Latest: 100 * time.Millisecond, LatestBegan: began}
}

// limiter is a Limiter with a time that its test advances.
type limiter struct {
	*testing.T
	intake.Limiter
	now time.Time
}

// newLimiter returns a Limiter with requests in progress.
func newLimiter(t *testing.T, inProgress int) *limiter {
	l := &limiter{T: t, now: time.Now()}
	for range inProgress {
		l.Begin()
	}
	return l
}

// adjust passes n intervals with a delay.
func (l *limiter) adjust(n int, d func(began time.Time) intake.Delay) (window time.Duration, change intake.Change) {
	for range n {
		l.now = l.now.Add(tick)
		window, change = l.Adjust(d(l.now.Add(-time.Millisecond)), tick, l.now)
	}
	return window, change
}

// expectLimit checks the limit, 0 for none.
func (l *limiter) expectLimit(what string, want int) {
	l.Helper()
	if got := int(l.Status().Limit); got != want {
		l.Errorf("%s: limit %d, want %d", what, got, want)
	}
}

// TestLimit checks when a limit begins, how it follows the delay, and when it ends.
func TestLimit(t *testing.T) {
	t.Run("none without a delay", func(t *testing.T) {
		l := newLimiter(t, 1000)
		if window, _ := l.adjust(100, clear); window != tick {
			t.Errorf("connections are accepted for %v", window)
		}
		l.expectLimit("without a delay", 0)
	})
	t.Run("none for few requests", func(t *testing.T) {
		l := newLimiter(t, 3)
		l.adjust(10, delayed)
		l.expectLimit("few requests", 0)
	})
	t.Run("half of the requests at first", func(t *testing.T) {
		l := newLimiter(t, 100)
		if window, change := l.adjust(1, delayed); change != intake.Began || window != 0 {
			t.Errorf("change %d, window %v", change, window)
		}
		l.expectLimit("at first", 50)
		l.adjust(20, delayed)
		l.expectLimit("while more are in progress", 50)
	})
	t.Run("decreases and increases", func(t *testing.T) {
		l := newLimiter(t, 100)
		l.adjust(1, delayed)
		for range 60 {
			l.End()
		}
		l.adjust(6, delayed)
		l.expectLimit("after one decrease", 42)
		l.adjust(5, delayed)
		l.expectLimit("while the decrease shows no effect yet", 42)
		l.adjust(10, clear)
		if got := l.Status().Limit; got <= 42.5 {
			t.Errorf("limit %f after intervals without a delay", got)
		}
	})
	t.Run("ends", func(t *testing.T) {
		l := newLimiter(t, 100)
		l.adjust(1, delayed)
		for range 100 {
			l.End()
		}
		_, change := l.adjust(1, clear)
		intervals := 1
		for ; change != intake.Ended && intervals < 200; intervals++ {
			_, change = l.adjust(1, clear)
		}
		if took := time.Duration(intervals) * tick; took > 2*time.Second {
			t.Errorf("the limit ended after %v without a delay", took)
		}
		l.expectLimit("after the end", 0)
	})
}

// queued returns the Delay of an interval with a queue that is short of urgent.
func queued(began time.Time) intake.Delay {
	const queue = 30 * time.Millisecond
	return intake.Delay{Trips: queue, Completed: 3, Latest: queue, LatestBegan: began}
}

// TestLimitBegins checks how soon a limit begins.
func TestLimitBegins(t *testing.T) {
	const requests = 100
	begin := func(t *testing.T) *limiter {
		l := newLimiter(t, requests)
		l.adjust(200, clear)
		return l
	}
	arrive := func(l *limiter, n int) {
		for range n {
			l.Expect()
			l.BeginExpected()
			l.End()
		}
	}
	t.Run("a short queue that lasts", func(t *testing.T) {
		l := begin(t)
		l.adjust(9, queued)
		l.expectLimit("after less than half a second", 0)
		l.adjust(1, queued)
		l.expectLimit("after half a second", requests/2)
	})
	t.Run("a short queue that comes and goes", func(t *testing.T) {
		l := begin(t)
		for range 10 {
			l.adjust(9, queued)
			l.adjust(1, clear)
		}
		l.expectLimit("with a pause each half second", 0)
	})
	t.Run("a short queue in a surge", func(t *testing.T) {
		l := begin(t)
		for range 100 {
			arrive(l, 2)
			l.adjust(1, clear)
		}
		arrive(l, 3)
		l.adjust(1, queued)
		l.expectLimit("a few more arrivals than usual", 0)
		for range 3 {
			arrive(l, 8)
			l.adjust(1, queued)
		}
		l.expectLimit("four times as many as usual", requests/2)
	})
	t.Run("a surge after an interval without a length", func(t *testing.T) {
		l := begin(t)
		arrive(l, 8)
		l.Adjust(clear(l.now), 0, l.now)
		for range 3 {
			arrive(l, 8)
			l.adjust(1, queued)
		}
		l.expectLimit("a surge", requests/2)
	})
	t.Run("a surge without a queue", func(t *testing.T) {
		l := begin(t)
		arrive(l, 500)
		l.adjust(1, clear)
		l.expectLimit("a surge", 0)
	})
	t.Run("one long round trip", func(t *testing.T) {
		l := begin(t)
		l.adjust(20, func(began time.Time) intake.Delay {
			return intake.Delay{Trips: time.Second, Completed: 1, Latest: time.Second, LatestBegan: began}
		})
		l.expectLimit("no more than two samples", 0)
	})
}

// TestSlowProcess guards against a process whose timers are late anyway, such as one with a quota of its
// processor, that refuses callers whom it can serve.
func TestSlowProcess(t *testing.T) {
	late := func(timers time.Duration) func(time.Time) intake.Delay {
		return func(began time.Time) intake.Delay {
			return intake.Delay{Timers: timers, Completed: 3, Latest: timers, LatestBegan: began}
		}
	}
	t.Run("usual delay", func(t *testing.T) {
		l := newLimiter(t, 3)
		l.adjust(200, late(30*time.Millisecond))
		for range 20 {
			l.Begin()
		}
		l.adjust(20, late(40*time.Millisecond))
		l.expectLimit("a delay little above the usual one", 0)
		l.adjust(1, late(90*time.Millisecond))
		l.expectLimit("three times the usual delay", 11)
	})
	t.Run("few requests", func(t *testing.T) {
		l := newLimiter(t, 20)
		l.adjust(1, delayed)
		l.expectLimit("many requests", 10)
		for range 17 {
			l.End()
		}
		l.adjust(60, delayed)
		l.expectLimit("few requests, three seconds later", 0)
	})
}

// TestFullLimit checks which requests are begun under a limit.
func TestFullLimit(t *testing.T) {
	l := newLimiter(t, 10)
	l.adjust(1, delayed)
	if l.TryBegin(l.now) {
		t.Error("a request was begun beyond the limit")
	}
	for range 6 {
		l.End()
	}
	l.Expect()
	if l.TryBegin(l.now) {
		t.Error("a request was begun in place of one that is expected")
	}
	l.Forget()
	if !l.TryBegin(l.now) {
		t.Error("no request was begun below the limit")
	}
}

// TestWindows checks for how long connections are accepted under a limit.
func TestWindows(t *testing.T) {
	begin := func(t *testing.T) *limiter {
		l := newLimiter(t, 100)
		l.adjust(1, delayed)
		for range 90 {
			l.End()
		}
		return l
	}
	t.Run("once the last one shows no delay", func(t *testing.T) {
		l := begin(t)
		if window, _ := l.adjust(1, clear); window == 0 || window >= tick {
			t.Errorf("window %v", window)
		}
		before := l.now
		if window, _ := l.adjust(1, func(time.Time) intake.Delay { return clear(before) }); window != 0 {
			t.Errorf("window %v after a round trip that began before the last window", window)
		}
	})
	t.Run("for a moment in a long delay", func(t *testing.T) {
		l := begin(t)
		windows := 0
		for range 40 {
			if window, _ := l.adjust(1, delayed); window > 0 {
				windows++
			}
		}
		if windows < 3 || windows > 4 {
			t.Errorf("%d windows in two seconds", windows)
		}
	})
	t.Run("all the time once nothing is delayed", func(t *testing.T) {
		l := begin(t)
		if window, _ := l.adjust(40, clear); window != tick {
			t.Errorf("window %v", window)
		}
	})
}

// TestCrowdOnNarrowLink plays a crowd whose requests need four times as much as a link carries. Once
// the limit has begun, the link must serve a good part of what it could, and must not stay full.
func TestCrowdOnNarrowLink(t *testing.T) {
	const (
		perSecond, requestBytes = 800, 7 << 10
		bytesPerMS              = 1250
		roundTrip               = 2 * time.Millisecond
		length                  = 10 * time.Second
	)
	l := newLimiter(t, 50)
	var meter intake.DelayMeter
	queue, arrivals := 200_000.0, 0.0 // bytes in the link, and connections that come
	openUntil := l.now
	start := l.now
	delay := func() time.Duration { return time.Duration(queue / bytesPerMS * float64(time.Millisecond)) }
	meter.Completed(meter.Begin("peer", true, start), start.Add(roundTrip))
	served, slow, ticks := 0, 0, 0
	for l.now.Sub(start) < length {
		trips := []*intake.Trip{}
		for range int(tick / time.Millisecond) {
			l.now = l.now.Add(time.Millisecond)
			queue = max(queue-bytesPerMS, 0)
			arrivals += perSecond / 1000.0
			for ; arrivals >= 1; arrivals-- {
				if l.now.After(openUntil) {
					continue // refused
				}
				opened := l.now.Add(roundTrip + delay())
				queue += requestBytes
				if opened.Before(openUntil) {
					served++
				}
			}
			if len(trips) < 3 {
				began := l.now.Add(-roundTrip - delay())
				trips = append(trips, meter.Begin("peer", true, began))
				meter.Completed(trips[len(trips)-1], l.now)
			}
		}
		meter.TimerFired(0)
		window, _ := l.Adjust(meter.Next(l.now), tick, l.now)
		openUntil = l.now.Add(window)
		for range l.Status().InProgress - 10 {
			l.End()
		}
		ticks++
		if l.now.Sub(start) > time.Second && delay() > 250*time.Millisecond {
			slow++
		}
	}
	t.Logf("%d served in %v; the link was full in %d of %d intervals", served, length, slow, ticks)
	if served < 10*int(length.Seconds()) {
		t.Errorf("%d requests in %v", served, length)
	}
	if slow > ticks/20 {
		t.Errorf("the link was full in %d of %d intervals", slow, ticks)
	}
}

// TestDiversion checks when callers are diverted to other halls, and for how long.
func TestDiversion(t *testing.T) {
	now := time.Now()
	var d intake.Diversion
	update := func(n int, window time.Duration, limited, alone bool) {
		for range n {
			now = now.Add(tick)
			d.Update(window, tick, limited, alone, now)
		}
	}
	expect := func(what string, want bool) {
		t.Helper()
		if d.Active() != want {
			t.Errorf("%s: diverted %v", what, d.Active())
		}
	}
	update(20, 0, true, false)
	expect("beside another instance of the hall", false)
	update(20, tick, false, true)
	expect("not limited", false)
	update(20, tick*9/10, true, true)
	expect("hardly limited", false)
	update(20, 0, true, true)
	expect("refusing most connections", true)
	update(60, tick, false, true)
	expect("shortly after the limit", true)
	update(60, tick, false, true)
	expect("later", false)
	update(20, 0, true, true)
	update(120, tick, false, true)
	expect("six seconds after the second diversion began", true)
	update(1, 0, true, false)
	expect("once another instance serves the hall", false)
}
