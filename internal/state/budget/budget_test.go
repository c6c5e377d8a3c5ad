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

// firstOf returns a function that reports count processes, of which this one is the first.
func firstOf(count int) func(time.Time) quota.Position {
	return func(time.Time) quota.Position { return quota.Position{Count: count} }
}

// TestBudget guards against buckets that start full, fill too fast or hold too much, and
// against a grant that is used after its token was added again.
func TestBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	const window = 10 * time.Second
	Convey("Given a ratio of 0.2 and a slack of 24 for 3 processes, so that a bucket holds 6.4", t, func() {
		limits := Limits{Ratio: 0.2, Window: window, Slack: 24}
		b := New(limits, firstOf(3), start)
		spend := func(n int, now time.Time) int {
			granted := 0
			for range n {
				if b.Spend("s", now).Granted {
					granted++
				}
			}
			return granted
		}
		Convey("a process starts with empty buckets", func() {
			So(spend(10, start), ShouldEqual, 0)
		})
		Convey("time fills the bucket, and in a window adds the rest of the slack", func() {
			So(spend(10, start.Add(6500*time.Millisecond)), ShouldEqual, 1)
			So(spend(10, start.Add(time.Hour)), ShouldEqual, 6)
			So(spend(10, start.Add(time.Hour+window)), ShouldEqual, 2)
		})
		Convey("each request adds the ratio, up to the capacity of the bucket", func() {
			for range 5 {
				b.RecordRequest("s", start)
			}
			So(spend(10, start), ShouldEqual, 1)
			for range 50 {
				b.RecordRequest("s", start)
			}
			So(spend(100, start), ShouldEqual, 6)
		})
		Convey("another service has its own bucket", func() {
			now := start.Add(time.Hour)
			So(spend(10, now), ShouldEqual, 6)
			So(b.Spend("other", now).Granted, ShouldBeTrue)
		})
		Convey("time adds no tokens while the number of processes is not known", func() {
			b = New(limits, firstOf(0), start)
			now := start.Add(time.Minute)
			So(spend(10, now), ShouldEqual, 0)
			for range 10 {
				b.RecordRequest("s", now)
			}
			So(spend(10, now), ShouldEqual, 1)
		})
		Convey("a grant remains valid while the bucket has not been full", func() {
			now := start.Add(time.Hour)
			d := b.Spend("s", now)
			So(b.Revalidate("s", d, now.Add(time.Second)), ShouldBeTrue)
			So(b.Spend("s", now.Add(time.Second)).Available, ShouldAlmostEqual, 5.56)
		})
		Convey("a grant from before the bucket was full costs another token", func() {
			now := start.Add(time.Hour)
			d := b.Spend("s", now)
			now = now.Add(window)
			So(b.Revalidate("s", d, now), ShouldBeTrue)
			So(b.Spend("s", now).Available, ShouldAlmostEqual, 5.4)
			spend(10, now)
			So(b.Revalidate("s", d, now), ShouldBeFalse)
		})
	})
	Convey("Given more processes than the slack has whole retries, only the first ones have one", t, func() {
		for index := range 5 {
			b := New(Limits{Ratio: 0.2, Window: window, Slack: 3.5}, func(time.Time) quota.Position { return quota.Position{Count: 5, Index: index} }, start)
			for range 100 {
				b.RecordRequest("s", start)
			}
			So(b.Spend("s", start).Granted, ShouldEqual, index < 3)
			So(b.Spend("s", start).Granted, ShouldBeFalse)
		}
	})
}

// TestSlidingWindow guards against a window with more retries than the bound allows, for one
// process and random requests and retries.
func TestSlidingWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		b := New(Limits{Ratio: 0.2, Window: window, Slack: 4}, firstOf(1), time.Unix(0, 0))
		now := time.Unix(1000, 0)
		var retries, requests []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			} else if b.Spend("s", now).Granted {
				retries = append(retries, now)
			}
			inWindow := func(times []time.Time) (n int) {
				for _, at := range times {
					if now.Sub(at) < window {
						n++
					}
				}
				return n
			}
			if float64(inWindow(retries)) > 0.2*float64(inWindow(requests))+4 {
				t.Fatalf("%d retries of %d requests", inWindow(retries), inWindow(requests))
			}
		}
	})
}

// TestFleetWithRestarts guards against a fleet that exceeds its bound because restarted
// processes get tokens again. Processes spend all that they may and are restarted at random;
// the bound of each window counts the requests of that window alone.
func TestFleetWithRestarts(t *testing.T) {
	const (
		window = 10 * time.Second
		fleet  = 6
		slack  = 60.0
		ratio  = 0.2
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		budgets := make([]*Budget, fleet)
		for i := range budgets {
			budgets[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, firstOf(fleet), start.Add(-time.Hour))
		}
		var retries, requests []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(200 * time.Millisecond) {
			for i := range budgets {
				if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
					budgets[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, firstOf(fleet), now)
				}
				if rapid.Bool().Draw(t, "request") {
					budgets[i].RecordRequest("s", now)
					requests = append(requests, now)
				}
				for budgets[i].Spend("s", now).Granted {
					retries = append(retries, now)
				}
			}
			if n, allowed := within(retries, now, window), ratio*float64(within(requests, now, window))+slack; float64(n) > allowed {
				t.Fatalf("%d retries, %.1f allowed", n, allowed)
			}
		}
	})
}

// TestGrantsSentLater guards against too many retries in a window because some were granted
// in an earlier one. Retries are sent up to half a window after their grant, and the process
// may be killed before it has sent them.
func TestGrantsSentLater(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 200 * time.Millisecond
		slack  = 8.0
		ratio  = 0.2
	)
	type pendingRetry struct {
		decision Decision
		due      time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		limits := Limits{Ratio: ratio, Window: window, Slack: slack}
		b := New(limits, firstOf(1), start)
		var sent, requests []time.Time
		var pending []pendingRetry
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
			if rapid.IntRange(0, 50).Draw(t, "restart") == 0 {
				b, pending = New(limits, firstOf(1), now), nil
			}
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				b.RecordRequest("s", now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 4).Draw(t, "failures") {
				if d := b.Spend("s", now); d.Granted {
					delay := time.Duration(rapid.IntRange(0, int(window/2/step)).Draw(t, "wait")) * step
					pending = append(pending, pendingRetry{d, now.Add(delay)})
				}
			}
			remaining := pending[:0]
			for _, p := range pending {
				if p.due.After(now) {
					remaining = append(remaining, p)
				} else if b.Revalidate("s", p.decision, now) {
					sent = append(sent, now)
				}
			}
			pending = remaining
			if n, allowed := within(sent, now, window), ratio*float64(within(requests, now, window))+slack; float64(n) > allowed {
				t.Fatalf("%d retries, %.1f allowed", n, allowed)
			}
		}
	})
}

// within returns the number of times in the window that ends at now.
func within(times []time.Time, now time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// TestFleetOverKills guards against a fleet that exceeds its bound when processes are killed
// one after the other while targets refuse requests. Each killed process had spent the
// tokens of a window of requests and its successor spent those of its own requests within
// the same window: a fleet of eight granted 168 retries where 161 are allowed.
func TestFleetOverKills(t *testing.T) {
	const (
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		fleet  = 6
		slack  = 30.0
		ratio  = 0.2
		// maxRequestsPerStep is the maximum number of requests of a process in a step.
		maxRequestsPerStep = 2
	)
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		budgets := make([]*Budget, fleet)
		for i := range budgets {
			budgets[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, firstOf(fleet), start.Add(-time.Hour))
		}
		refusing := false
		var retries, requests []time.Time
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
			if rapid.IntRange(0, 40).Draw(t, "turns") == 0 {
				refusing = !refusing
			}
			killed := 0
			if rapid.IntRange(0, 30).Draw(t, "kills") == 0 {
				killed = rapid.IntRange(1, fleet).Draw(t, "killed")
			}
			for i := range budgets {
				if i < killed {
					budgets[i] = New(Limits{Ratio: ratio, Window: window, Slack: slack}, firstOf(fleet), now)
				}
				for range rapid.IntRange(0, maxRequestsPerStep).Draw(t, "requests") {
					budgets[i].RecordRequest("s", now)
					requests = append(requests, now)
				}
				for refusing && budgets[i].Spend("s", now).Granted {
					retries = append(retries, now)
				}
			}
			first := now.Add(step - window) // start of the window that ends with this step
			n, allowed := between(retries, first, window), ratio*float64(maxRequests(requests, first, window))+slack
			if float64(n) > allowed {
				t.Fatalf("%d retries, %.1f allowed", n, allowed)
			}
		}
	})
}

// maxRequests returns the number of requests that bounds the retries of the window from
// first: the maximum of those of that window, of the one half a window before it and of the
// one before it.
func maxRequests(requests []time.Time, first time.Time, window time.Duration) int {
	return max(between(requests, first, window), between(requests, first.Add(-window/2), window), between(requests, first.Add(-window), window))
}

// between returns the number of times in the window that starts at first.
func between(times []time.Time, first time.Time, window time.Duration) (n int) {
	for _, at := range times {
		if !at.Before(first) && at.Before(first.Add(window)) {
			n++
		}
	}
	return n
}
