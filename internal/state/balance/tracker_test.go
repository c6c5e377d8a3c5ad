// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

// targets returns n warm targets in three halls.
func targets(n int) []hookhall.Target {
	var list []hookhall.Target
	for i := range n {
		list = append(list, hookhall.Target{ID: fmt.Sprint("t", i), Hall: fmt.Sprint("h", i%3), Slots: 4})
	}
	return list
}

// prompt returns the criteria of a call to an engine with a prompt whose first tokens are
// shared, followed by own ones.
func prompt(shared string, tokens, own int) Criteria {
	return Criteria{IsEngineCall: true, SharedPart: shared, SharedTokens: tokens, OwnTokens: own, Parts: []string{shared}, LatencyBudget: time.Second}
}

// TestEngines guards against wasted engine time: prompts go where their shared part is
// cached, unless that engine is overloaded, and otherwise near their inputs.
func TestEngines(t *testing.T) {
	now := time.Now()
	Convey("Given six engines", t, func() {
		b, list := NewTracker(), targets(6)
		choose := func(criteria Criteria) string {
			c, ok := b.Choose(list, criteria, now)
			So(ok, ShouldBeTrue)
			return c.ID
		}
		Convey("a shared part goes to its preferred engine", func() {
			So(choose(prompt("p", 10000, 100)), ShouldEqual, PreferredTarget("p", list))
			reversed := slices.Clone(list)
			slices.Reverse(reversed)
			So(PreferredTarget("p", reversed), ShouldEqual, PreferredTarget("p", list))
			others := slices.DeleteFunc(slices.Clone(list), func(c hookhall.Target) bool { return c.ID == PreferredTarget("p", list) })
			So(PreferredTarget("p", others), ShouldNotEqual, PreferredTarget("p", list))
			So(PreferredTarget("p", slices.DeleteFunc(reversed, func(c hookhall.Target) bool { return c.ID == others[0].ID })), ShouldEqual, PreferredTarget("p", list))
		})
		Convey("an engine that holds a part keeps it when a new engine becomes the preferred one", func() {
			holder := PreferredTarget("p", list[:3])
			for _, c := range list[:3] {
				if c.ID == holder {
					b.Begin(c, prompt("p", 10000, 100), now).End()
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldEqual, holder)
		})
		Convey("a busy holder is not chosen when waiting would miss the latency target", func() {
			preferred := PreferredTarget("p", list)
			for _, c := range list {
				if c.ID == preferred {
					b.Begin(c, prompt("p", 10000, 100), now)
					b.Begin(c, prompt("q", 0, 60000), now)
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldNotEqual, preferred)
		})
		Convey("a busy holder is chosen when there is time to wait", func() {
			preferred := PreferredTarget("p", list)
			for _, c := range list {
				if c.ID == preferred {
					b.Begin(c, prompt("p", 10000, 100), now)
					b.Begin(c, prompt("q", 0, 10000), now)
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldEqual, preferred)
		})
		Convey("an engine whose slots or memory are exhausted is avoided", func() {
			preferred := PreferredTarget("p", list)
			small := prompt("p", 10000, 100)
			for _, spec := range []hookhall.EngineSpec{{Slots: 2, MemoryTokens: 1 << 30}, {Slots: 64, MemoryTokens: 1000}} {
				b := NewTracker()
				for _, c := range list {
					if c.ID == preferred {
						for range 2 {
							full := prompt("p", 10000, 100)
							full.MaxOutputTokens = 300
							b.Begin(c, full, now).Read()
						}
					}
				}
				small.EngineSpec = &spec
				c, _ := b.Choose(list, small, now)
				So(c.ID, ShouldNotEqual, preferred)
			}
		})
		Convey("prompts without a shared part go to the hall that has the results", func() {
			criteria := prompt("", 0, 500)
			criteria.BytesByHall = map[string]float64{"h1": 6e6}
			for range 10 {
				c, _ := b.Choose(list, criteria, now)
				So(c.Hall, ShouldEqual, "h1")
			}
		})
	})
}

// TestFailures guards against sending calls to failing targets, against services that
// run out of targets because all have failed, and against calls that are counted twice.
func TestFailures(t *testing.T) {
	now := time.Now()
	Convey("Given two targets", t, func() {
		b, list := NewTracker(), targets(2)
		fail := func(i int, at time.Time) { b.Begin(list[i], Criteria{}, at).Failed(true, at) }
		Convey("a silent target is ejected until the pause ends", func() {
			fail(0, now)
			for range 10 {
				c, _ := b.Choose(list, Criteria{}, now)
				So(c.ID, ShouldEqual, "t1")
			}
			So(b.Status(hookhall.Incarnation{ID: "t0"}, now).Ejected, ShouldBeTrue)
			So(b.Status(hookhall.Incarnation{ID: "t0"}, now.Add(2*minEjectionPause)).Ejected, ShouldBeFalse)
		})
		Convey("if all targets are ejected, the one whose pause ends first is tried", func() {
			fail(0, now)
			fail(1, now.Add(time.Millisecond))
			c, ok := b.Choose(list, Criteria{}, now.Add(2*time.Millisecond))
			So(ok, ShouldBeTrue)
			So(c.ID, ShouldEqual, "t0")
		})
		Convey("excluded and leaving targets are not chosen", func() {
			list[0].Leaving = true
			_, ok := b.Choose(list, Criteria{ExcludedTargets: map[string]bool{"t1": true}}, now)
			So(ok, ShouldBeFalse)
		})
		Convey("a slow target is avoided", func() {
			for i, latency := range []time.Duration{400 * time.Millisecond, 20 * time.Millisecond} {
				for range 20 {
					call := b.Begin(list[i], Criteria{}, now)
					call.Succeeded(latency, now)
					call.End()
				}
			}
			c, _ := b.Choose(list, Criteria{}, now)
			So(c.ID, ShouldEqual, "t1")
		})
		Convey("repeated reports of a call are counted once", func() {
			call := b.Begin(list[0], prompt("p", 100, 10), now)
			So(b.Status(hookhall.Incarnation{ID: "t0"}, now).Unread, ShouldEqual, 110)
			call.Read()
			call.Read()
			call.End()
			call.End()
			So(b.Status(hookhall.Incarnation{ID: "t0"}, now), ShouldResemble, Status{})
		})
	})
}

// TestRefusals guards against calls that are wasted on a target that keeps refusing while
// others accept calls: it gets few of them. When all targets refuse, none is left out.
func TestRefusals(t *testing.T) {
	now := time.Now()
	list := targets(3)
	callsToRefusing := func(b *Tracker, ids ...string) (calls int) {
		// Without these answers a target has the default latency, which is higher than
		// that of the others, and may never be chosen, as expectedCost is partly random.
		for _, c := range list {
			b.Begin(c, Criteria{}, now).Succeeded(time.Millisecond, now)
		}
		for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(20 * time.Millisecond) {
			c, ok := b.Choose(list, Criteria{}, at)
			if !ok {
				t.Fatal("no target was chosen")
			}
			call := b.Begin(c, Criteria{}, at)
			if slices.Contains(ids, c.ID) {
				calls++
				call.Refused(at)
			} else {
				call.Succeeded(time.Millisecond, now)
			}
			call.End()
		}
		return calls
	}
	t.Run("one", func(t *testing.T) {
		if n := callsToRefusing(NewTracker(), "t1"); n == 0 || n > 12 {
			t.Errorf("%d of 250 calls were sent to it, want 1 to 12", n)
		}
	})
	t.Run("all", func(t *testing.T) {
		if n := callsToRefusing(NewTracker(), "t0", "t1", "t2"); n != 250 {
			t.Errorf("%d of 250 calls were sent, want all", n)
		}
	})
	t.Run("an accepted call ends the pause", func(t *testing.T) {
		b := NewTracker()
		callsToRefusing(b, "t0", "t1", "t2")
		call := b.Begin(list[0], Criteria{}, now)
		call.Succeeded(time.Millisecond, now)
		call.End()
		if b.Status(hookhall.Incarnation{ID: "t0"}, now).Full || !b.Status(hookhall.Incarnation{ID: "t1"}, now).Full {
			t.Error("t0 is in a pause, or t1 is not")
		}
	})
}
