// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Given a budget of a fifth and a slack of 13 for 3 processes, of which this one has 3", t, func() {
		b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 13}, start.Add(-time.Minute))
		spend := func(n int, now time.Time) int {
			got := 0
			for range n {
				if b.Spend("s", 3, now).Granted {
					got++
				}
			}
			return got
		}
		Convey("without requests only the part of the slack is spent", func() {
			So(spend(10, start), ShouldEqual, 3)
		})
		Convey("requests earn their share", func() {
			for range 50 {
				b.Request("s", start)
			}
			So(spend(100, start), ShouldEqual, 13)
		})
		Convey("a process that does not know the others has no part of the slack", func() {
			So(b.Spend("s", 0, start).Granted, ShouldBeFalse)
			for range 10 {
				b.Request("s", start)
			}
			So(b.Spend("s", 0, start).Granted, ShouldBeTrue)
			So(b.Spend("s", 0, start).Granted, ShouldBeTrue)
			So(b.Spend("s", 0, start).Granted, ShouldBeFalse)
		})
		Convey("another service has its own", func() {
			So(spend(10, start), ShouldEqual, 3)
			So(b.Spend("other", 3, start).Granted, ShouldBeTrue)
		})
		Convey("what was spent comes back after the window", func() {
			So(spend(10, start), ShouldEqual, 3)
			So(spend(10, start.Add(9*time.Second)), ShouldEqual, 0)
			So(spend(10, start.Add(12*time.Second)), ShouldEqual, 3)
		})
	})
}

// TestSlidingWindow tries random arrivals against every window.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := New(Limits{Ratio: 0.2, Window: window, Slack: 4}, time.Unix(0, 0))
		now := time.Unix(1000, 0)
		var spent, asked []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request("s", now)
				asked = append(asked, now)
			} else if b.Spend("s", 1, now).Granted {
				spent = append(spent, now)
			}
			in := func(list []time.Time) (n int) {
				for _, at := range list {
					if now.Sub(at) < window {
						n++
					}
				}
				return n
			}
			// Requests may lie up to a part beyond the window that was counted.
			if float64(in(spent)) > 0.2*float64(in(asked))+4+0.2*float64(len(asked)-in(asked)) {
				t.Fatalf("%d spent of %d asked", in(spent), in(asked))
			}
		}
	})
}

// TestFleetWithRestarts: processes that spend all they may, and are killed and
// started again, keep the fleet's bound in every window.
func TestFleetWithRestarts(t *testing.T) {
	const (
		window = 10 * time.Second
		fleet  = 6
		slack  = 60.0
		ratio  = 0.2
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		list := make([]*Budget, fleet)
		restarts := make([][]time.Time, fleet)
		for i := range list {
			list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, start.Add(-time.Hour))
		}
		var spent, asked []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(200 * time.Millisecond) {
			for i := range list {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 && within(restarts[i], now, window) < 2 {
					list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, now)
					restarts[i] = append(restarts[i], now)
				}
				if rapid.Bool().Draw(t, "request") {
					list[i].Request("s", now)
					asked = append(asked, now)
				}
				for list[i].Spend("s", fleet, now).Granted {
					spent = append(spent, now)
				}
			}
			// A sum of whole parts may hold the requests of one part more.
			allowed := ratio*float64(within(asked, now, window+window/parts)) + slack
			if n := within(spent, now, window); float64(n) > allowed {
				t.Fatalf("%d repeats, %.1f allowed", n, allowed)
			}
		}
	})
}

// within counts the times in the window that ends now.
func within(list []time.Time, now time.Time, window time.Duration) (n int) {
	for _, at := range list {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestFleetOverKills: processes that save up what their requests earn, spend all of it
// once targets refuse, and are killed and started again any number of times, keep the
// operators' bound in every window. Each process killed in its turn had spent what a
// window of requests had earned, and its successor spent what its own had, within one
// window: a fleet of eight granted 168 repeats where 161 are allowed.
func TestFleetOverKills(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		fleet  = 6
		slack  = 30.0
		ratio  = 0.2
		// perStep is how many requests a process gets in a step, by chance.
		perStep = 2
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		list := make([]*Budget, fleet)
		for i := range list {
			list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, start.Add(-time.Hour))
		}
		refusing := false
		var spent, asked []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
			if rapid.IntRange(0, 40).Draw(t, "turns") == 0 {
				refusing = !refusing
			}
			killed := 0
			if rapid.IntRange(0, 30).Draw(t, "kills") == 0 {
				killed = rapid.IntRange(1, fleet).Draw(t, "killed")
			}
			for i := range list {
				if i < killed {
					list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, now)
				}
				for range rapid.IntRange(0, perStep).Draw(t, "requests") {
					list[i].Request("s", now)
					asked = append(asked, now)
				}
				for refusing && list[i].Spend("s", fleet, now).Granted {
					spent = append(spent, now)
				}
			}
			first := now.Add(step - window) // of the window whose last step this is
			n, allowed := between(spent, first, window), ratio*float64(most(asked, first, window))+slack
			if float64(n) > allowed {
				t.Fatalf("%d repeats, %.1f allowed", n, allowed)
			}
		}
	})
}

// most is the number of requests that earn the repeats of a window: those of that
// window, of the one before it or of the one half a window before it.
func most(asked []time.Time, first time.Time, window time.Duration) int {
	return max(between(asked, first, window), between(asked, first.Add(-window/2), window), between(asked, first.Add(-window), window))
}

// between counts the times in a window.
func between(list []time.Time, first time.Time, window time.Duration) (n int) {
	for _, at := range list {
		if !at.Before(first) && at.Before(first.Add(window)) {
			n++
		}
	}
	return n
}
