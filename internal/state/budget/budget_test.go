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
	Convey("Given a budget of a fifth and a slack of 9 for 3 processes", t, func() {
		b := New(Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 9})
		spend := func(n int, now time.Time) int {
			got := 0
			for range n {
				if b.Spend("s", 3, now) {
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
		Convey("another service has its own", func() {
			So(spend(10, start), ShouldEqual, 3)
			So(b.Spend("other", 3, start), ShouldBeTrue)
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
		b := New(Limits{Ratio: 0.2, Window: window, Slack: 4})
		now := time.Unix(1000, 0)
		var spent, asked []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.Request("s", now)
				asked = append(asked, now)
			} else if b.Spend("s", 1, now) {
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
