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

func targets(n int) []hookhall.Target {
	var list []hookhall.Target
	for i := range n {
		list = append(list, hookhall.Target{ID: fmt.Sprint("t", i), Hall: fmt.Sprint("h", i%3), Slots: 4})
	}
	return list
}

func prompt(shared string, tokens, own int) Wish {
	return Wish{Engine: true, Shared: shared, SharedTokens: tokens, OwnTokens: own, Parts: []string{shared}, Slack: time.Second}
}

func TestEngines(t *testing.T) {
	now := time.Now()
	Convey("Given six engines", t, func() {
		b, list := NewTracker(), targets(6)
		choose := func(w Wish) string {
			c, ok := b.Choose(list, w, now)
			So(ok, ShouldBeTrue)
			return c.ID
		}
		Convey("a shared part goes to its first engine, whoever asks", func() {
			So(choose(prompt("p", 10000, 100)), ShouldEqual, First("p", list))
			So(First("p", list), ShouldEqual, First("p", list[:6]))
		})
		Convey("an engine that holds it keeps it when a new one would be the first", func() {
			held := First("p", list[:3])
			for _, c := range list[:3] {
				if c.ID == held {
					b.Begin(c, prompt("p", 10000, 100), now).End()
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldEqual, held)
		})
		Convey("a busy holder is left when waiting would miss the aim", func() {
			first := First("p", list)
			for _, c := range list {
				if c.ID == first {
					b.Begin(c, prompt("p", 10000, 100), now)
					b.Begin(c, prompt("q", 0, 60000), now)
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldNotEqual, first)
		})
		Convey("and not when there is time", func() {
			first := First("p", list)
			for _, c := range list {
				if c.ID == first {
					b.Begin(c, prompt("p", 10000, 100), now)
					b.Begin(c, prompt("q", 0, 10000), now)
				}
			}
			So(choose(prompt("p", 10000, 100)), ShouldEqual, first)
		})
		Convey("one whose places or memory run out is avoided", func() {
			first := First("p", list)
			small := prompt("p", 10000, 100)
			for _, spec := range []hookhall.EngineSpec{{Slots: 2, Memory: 1 << 30}, {Slots: 64, Memory: 1000}} {
				b := NewTracker()
				for _, c := range list {
					if c.ID == first {
						for range 2 {
							full := prompt("p", 10000, 100)
							full.OutTokens = 300
							b.Begin(c, full, now).Read()
						}
					}
				}
				small.Spec = &spec
				c, _ := b.Choose(list, small, now)
				So(c.ID, ShouldNotEqual, first)
			}
		})
		Convey("prompts that share nothing go where the results lie", func() {
			w := prompt("", 0, 500)
			w.Near = map[string]float64{"h1": 6e6}
			for range 10 {
				c, _ := b.Choose(list, w, now)
				So(c.Hall, ShouldEqual, "h1")
			}
		})
	})
}

func TestFailures(t *testing.T) {
	now := time.Now()
	Convey("Given two targets", t, func() {
		b, list := NewTracker(), targets(2)
		hard := func(i int, at time.Time) { b.Begin(list[i], Wish{}, at).Failed(true, at) }
		Convey("a silent one is left out, and back after the pause", func() {
			hard(0, now)
			for range 10 {
				c, _ := b.Choose(list, Wish{}, now)
				So(c.ID, ShouldEqual, "t1")
			}
			So(b.Status(hookhall.Life{ID: "t0"}, now).Ejected, ShouldBeTrue)
			So(b.Status(hookhall.Life{ID: "t0"}, now.Add(2*ejectFirst)).Ejected, ShouldBeFalse)
		})
		Convey("the last ones are never given up: the one whose pause ends first is tried", func() {
			hard(0, now)
			hard(1, now.Add(time.Millisecond))
			c, ok := b.Choose(list, Wish{}, now.Add(2*time.Millisecond))
			So(ok, ShouldBeTrue)
			So(c.ID, ShouldEqual, "t0")
		})
		Convey("excluded and leaving ones are not chosen", func() {
			list[0].Leaving = true
			_, ok := b.Choose(list, Wish{Exclude: map[string]bool{"t1": true}}, now)
			So(ok, ShouldBeFalse)
		})
		Convey("a slow one gets less", func() {
			for i, took := range []time.Duration{400 * time.Millisecond, 20 * time.Millisecond} {
				for range 20 {
					u := b.Begin(list[i], Wish{}, now)
					u.Succeeded(took)
					u.End()
				}
			}
			c, _ := b.Choose(list, Wish{}, now)
			So(c.ID, ShouldEqual, "t1")
		})
		Convey("calls are counted once, whatever is told twice", func() {
			u := b.Begin(list[0], prompt("p", 100, 10), now)
			So(b.Status(hookhall.Life{ID: "t0"}, now).Unread, ShouldEqual, 110)
			u.Read()
			u.Read()
			u.End()
			u.End()
			So(b.Status(hookhall.Life{ID: "t0"}, now), ShouldResemble, Status{})
		})
	})
}

// TestRefusals: a target that goes on refusing while others take calls gets few of
// them, and when all refuse, none is left out.
func TestRefusals(t *testing.T) {
	now := time.Now()
	list := targets(3)
	refusing := func(b *Tracker, ids ...string) (offers int) {
		// Without this a target that never answered is held to be slow, and may
		// never get a call: the choice among equals has chance in it.
		for _, c := range list {
			b.Begin(c, Wish{}, now).Succeeded(time.Millisecond)
		}
		for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(20 * time.Millisecond) {
			c, ok := b.Choose(list, Wish{}, at)
			if !ok {
				t.Fatal("no target was chosen")
			}
			u := b.Begin(c, Wish{}, at)
			if slices.Contains(ids, c.ID) {
				offers++
				u.Refused(at)
			} else {
				u.Succeeded(time.Millisecond)
			}
			u.End()
		}
		return offers
	}
	t.Run("one", func(t *testing.T) {
		if n := refusing(NewTracker(), "t1"); n == 0 || n > 12 {
			t.Errorf("%d of 250 calls were offered to it", n)
		}
	})
	t.Run("all", func(t *testing.T) {
		if n := refusing(NewTracker(), "t0", "t1", "t2"); n != 250 {
			t.Errorf("%d of 250 calls were offered", n)
		}
	})
	t.Run("a call that is taken ends the pause", func(t *testing.T) {
		b := NewTracker()
		refusing(b, "t0", "t1", "t2")
		u := b.Begin(list[0], Wish{}, now)
		u.Succeeded(time.Millisecond)
		u.End()
		if b.Status(hookhall.Life{ID: "t0"}, now).Full || !b.Status(hookhall.Life{ID: "t1"}, now).Full {
			t.Error("t0 should be open, t1 not")
		}
	})
}
