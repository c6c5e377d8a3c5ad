// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// coldTargets are n targets that stay cold for an hour.
func coldTargets(n int, now time.Time) []hookhall.Target {
	list := targets(n)
	for i := range list {
		list[i].ColdUntil = now.Add(time.Hour)
	}
	return list
}

func TestColdTargets(t *testing.T) {
	now := time.Now()
	allow := func(n int) func(string) int { return func(string) int { return n } }
	t.Run("one that is cold gets its most in a second, and then more", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(1, now)
		got := 0
		for i := range 20 {
			if _, ok := b.Choose(list, Wish{Cold: allow(3)}, now.Add(time.Duration(i)*40*time.Millisecond)); ok {
				got++
			}
		}
		if got != 3 {
			t.Errorf("%d requests in 0.8 s", got)
		}
		if _, ok := b.Choose(list, Wish{Cold: allow(3)}, now.Add(1100*time.Millisecond)); !ok {
			t.Error("it gets nothing in the next second")
		}
	})
	t.Run("a warm one is chosen when the cold holder of a prompt has had its most", func(t *testing.T) {
		b, list := NewTracker(), targets(2)
		w := prompt("p", 10000, 100)
		w.Cold = allow(1)
		holder := First("p", list)
		for i := range list {
			if list[i].ID == holder {
				list[i].ColdUntil = now.Add(time.Hour)
			}
		}
		first, _ := b.Choose(list, w, now)
		second, ok := b.Choose(list, w, now)
		if first.ID != holder || !ok || second.ID == holder {
			t.Errorf("%s, then %s; %s holds the prompt", first.ID, second.ID, holder)
		}
	})
	t.Run("without a share, cold ones are left out, also as the last that failed", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(2, now)
		b.Begin(list[0], Wish{}, now).Failed(true, now)
		if c, ok := b.Choose(list, Wish{}, now); ok {
			t.Errorf("%s was chosen", c.ID)
		}
	})
	t.Run("a target that warms up has no bound", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(1, now)
		for i := range 5 {
			if _, ok := b.Choose(list, Wish{Cold: allow(1)}, now.Add(time.Hour)); !ok {
				t.Errorf("refused at request %d", i)
			}
		}
	})
	t.Run("halls bind", func(t *testing.T) {
		b, list := NewTracker(), targets(6)
		for range 20 {
			if c, ok := b.Choose(list, Wish{Halls: []string{"h1"}}, now); !ok || c.Hall != "h1" {
				t.Fatalf("%v in %s", ok, c.Hall)
			}
		}
		if _, ok := b.Choose(list, Wish{Halls: []string{"elsewhere"}}, now); ok {
			t.Error("a target was chosen where none stands")
		}
	})
}

// TestColdBound: no second has more requests to a cold target than its bound, with
// two placers at once and all gateways choosing by themselves beside them, whatever
// the moments at which they send.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ColdLimits{Over: rapid.Float64Range(1, 3).Draw(t, "over"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack")}
		s := &hookhall.Service{ColdRate: rapid.Float64Range(4, 40).Draw(t, "rate")}
		bound := s.ColdRate*limits.Over + limits.Slack
		now := time.Unix(1000, 0)
		list := coldTargets(2, now)
		var all []string
		for i := range rapid.IntRange(1, 60).Draw(t, "gateways") {
			all = append(all, fmt.Sprint("g", i))
		}
		placers := []*Tracker{NewTracker(), NewTracker()}
		own := make([]*Tracker, len(all))
		for i := range own {
			own[i] = NewTracker()
		}
		sent := map[string][]time.Time{}
		for range rapid.IntRange(1, 400).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			by := rapid.IntRange(-2, len(all)-1).Draw(t, "by")
			w, chooser := Wish{Cold: func(string) int { return limits.Placer(s) }}, placers[0]
			if by == -1 {
				chooser = placers[1]
			} else if by >= 0 {
				chooser = own[by]
				w.Cold = func(id string) int {
					if Owns(id, all[by], all, limits.Owners(s)) {
						return 1
					}
					return 0
				}
			}
			if c, ok := chooser.Choose(list, w, now); ok {
				sent[c.ID] = append(sent[c.ID], now)
			}
		}
		for id, times := range sent {
			for i, from := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(from) < time.Second {
						n++
					}
				}
				if float64(n) > bound {
					t.Fatalf("%s got %d requests in a second; %.1f are its bound", id, n, bound)
				}
			}
		}
	})
}
