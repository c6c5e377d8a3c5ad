// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package budget

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/state/quota"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// shared are so many processes, of which this one is the first.
func shared(count int) func(time.Time) quota.Sharers {
	return func(time.Time) quota.Sharers { return quota.Sharers{Count: count} }
}

func TestBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	const window = 10 * time.Second
	Convey("Given a budget of a fifth and a slack of 24 for 3 processes, so that a bucket holds 6.4", t, func() {
		limits := Limits{Ratio: 0.2, Window: window, Slack: 24}
		b := New(limits, shared(3), start)
		spend := func(n int, now time.Time) int {
			got := 0
			for range n {
				if b.Spend("s", now).Granted {
					got++
				}
			}
			return got
		}
		Convey("a process begins with nothing", func() {
			So(spend(10, start), ShouldEqual, 0)
		})
		Convey("time fills the bucket, and a window adds what the bucket holds", func() {
			So(spend(10, start.Add(6500*time.Millisecond)), ShouldEqual, 1)
			So(spend(10, start.Add(time.Hour)), ShouldEqual, 6)
			So(spend(10, start.Add(time.Hour+window)), ShouldEqual, 2)
		})
		Convey("requests earn their share, as far as the bucket holds it", func() {
			for range 5 {
				b.Request("s", start)
			}
			So(spend(10, start), ShouldEqual, 1)
			for range 50 {
				b.Request("s", start)
			}
			So(spend(100, start), ShouldEqual, 6)
		})
		Convey("another service has its own", func() {
			now := start.Add(time.Hour)
			So(spend(10, now), ShouldEqual, 6)
			So(b.Spend("other", now).Granted, ShouldBeTrue)
		})
		Convey("a process that does not know the others has no part of the slack", func() {
			b = New(limits, shared(0), start)
			now := start.Add(time.Minute)
			So(spend(10, now), ShouldEqual, 0)
			for range 10 {
				b.Request("s", now)
			}
			So(spend(10, now), ShouldEqual, 1)
		})
		Convey("what was granted is sent later while the bucket was not full", func() {
			now := start.Add(time.Hour)
			a := b.Spend("s", now)
			So(b.Renew("s", a, now.Add(time.Second)), ShouldBeTrue)
			So(b.Spend("s", now.Add(time.Second)).Held, ShouldAlmostEqual, 5.56)
		})
		Convey("what was granted before the bucket was full is granted anew", func() {
			now := start.Add(time.Hour)
			a := b.Spend("s", now)
			now = now.Add(window)
			So(b.Renew("s", a, now), ShouldBeTrue)
			So(b.Spend("s", now).Held, ShouldAlmostEqual, 5.4)
			spend(10, now)
			So(b.Renew("s", a, now), ShouldBeFalse)
		})
	})
	Convey("Given more processes than the slack has whole repeats, only the first ones have any", t, func() {
		for place := range 5 {
			b := New(Limits{Ratio: 0.2, Window: window, Slack: 3.5}, func(time.Time) quota.Sharers { return quota.Sharers{Count: 5, Place: place} }, start)
			for range 100 {
				b.Request("s", start)
			}
			So(b.Spend("s", start).Granted, ShouldEqual, place < 3)
			So(b.Spend("s", start).Granted, ShouldBeFalse)
		}
	})
}

// TestSlidingWindow tries random arrivals against every window.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := New(Limits{Ratio: 0.2, Window: window, Slack: 4}, shared(1), time.Unix(0, 0))
		now := time.Unix(1000, 0)
		var spent, asked []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request("s", now)
				asked = append(asked, now)
			} else if b.Spend("s", now).Granted {
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
			if float64(in(spent)) > 0.2*float64(in(asked))+4 {
				t.Fatalf("%d spent of %d asked", in(spent), in(asked))
			}
		}
	})
}

// TestFleetWithRestarts: processes that spend all they may, and are killed and
// started again, keep the fleet's bound in every window, by the requests of that
// window alone.
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
		for i := range list {
			list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, shared(fleet), start.Add(-time.Hour))
		}
		var spent, asked []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(200 * time.Millisecond) {
			for i := range list {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, shared(fleet), now)
				}
				if rapid.Bool().Draw(t, "request") {
					list[i].Request("s", now)
					asked = append(asked, now)
				}
				for list[i].Spend("s", now).Granted {
					spent = append(spent, now)
				}
			}
			if n, allowed := within(spent, now, window), ratio*float64(within(asked, now, window))+slack; float64(n) > allowed {
				t.Fatalf("%d repeats, %.1f allowed", n, allowed)
			}
		}
	})
}

// TestGrantsSentLater: what is granted and sent up to half a window later keeps the bound
// in every window of sends, for a process that may be killed with what it has not sent.
func TestGrantsSentLater(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 200 * time.Millisecond
		slack  = 8.0
		ratio  = 0.2
	)
	type pending struct {
		account Account
		due     time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		limits := Limits{Ratio: ratio, Window: window, Slack: slack}
		b := New(limits, shared(1), start)
		var sent, asked []time.Time
		var waiting []pending
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			if rapid.IntRange(0, 50).Draw(t, "restart") == 0 {
				b, waiting = New(limits, shared(1), now), nil
			}
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				b.Request("s", now)
				asked = append(asked, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "failures") {
				if a := b.Spend("s", now); a.Granted {
					wait := time.Duration(rapid.IntRange(0, int(window/2/step)).Draw(t, "wait")) * step
					waiting = append(waiting, pending{a, now.Add(wait)})
				}
			}
			kept := waiting[:0]
			for _, p := range waiting {
				if p.due.After(now) {
					kept = append(kept, p)
				} else if b.Renew("s", p.account, now) {
					sent = append(sent, now)
				}
			}
			waiting = kept
			if n, allowed := within(sent, now, window), ratio*float64(within(asked, now, window))+slack; float64(n) > allowed {
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
			list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, shared(fleet), start.Add(-time.Hour))
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
					list[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, shared(fleet), now)
				}
				for range rapid.IntRange(0, perStep).Draw(t, "requests") {
					list[i].Request("s", now)
					asked = append(asked, now)
				}
				for refusing && list[i].Spend("s", now).Granted {
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
