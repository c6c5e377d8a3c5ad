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

// coldTargets returns n targets that stay cold for an hour.
func coldTargets(n int, now time.Time) []hookhall.Target {
	list := targets(n)
	for i := range list {
		list[i].ColdUntil = now.Add(time.Hour)
	}
	return list
}

// TestColdTargets guards against overloading targets that have just started: a cold
// target gets its limited number of requests a second, and the rest go to warm targets.
func TestColdTargets(t *testing.T) {
	now := time.Now()
	allow := func(n int) func(string) int { return func(string) int { return n } }
	t.Run("a cold target gets its limit in a second, and more in the next", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(1, now)
		got := 0
		for i := range 20 {
			if _, ok := b.Choose(list, Criteria{MaxColdRequests: allow(3)}, now.Add(time.Duration(i)*40*time.Millisecond)); ok {
				got++
			}
		}
		if got != 3 {
			t.Errorf("%d requests in 0.8 s, want 3", got)
		}
		if _, ok := b.Choose(list, Criteria{MaxColdRequests: allow(3)}, now.Add(1100*time.Millisecond)); !ok {
			t.Error("no request in the next second")
		}
	})
	t.Run("a warm target is chosen when the cold holder of a prompt has reached its limit", func(t *testing.T) {
		b, list := NewTracker(), targets(2)
		criteria := prompt("p", 10000, 100)
		criteria.MaxColdRequests = allow(1)
		holder := PreferredTarget("p", list)
		for i := range list {
			if list[i].ID == holder {
				list[i].ColdUntil = now.Add(time.Hour)
			}
		}
		first, _ := b.Choose(list, criteria, now)
		second, ok := b.Choose(list, criteria, now)
		if first.ID != holder || !ok || second.ID == holder {
			t.Errorf("chose %s, then %s; want first %s, which holds the prompt, then the other", first.ID, second.ID, holder)
		}
	})
	t.Run("without a quota for cold targets none is chosen, not even the one whose pause ends first", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(2, now)
		b.Begin(list[0], Criteria{}, now).Failed(true, now)
		if c, ok := b.Choose(list, Criteria{}, now); ok {
			t.Errorf("cold target %s was chosen", c.ID)
		}
	})
	t.Run("a target that has warmed up has no limit", func(t *testing.T) {
		b, list := NewTracker(), coldTargets(1, now)
		for i := range 5 {
			if _, ok := b.Choose(list, Criteria{MaxColdRequests: allow(1)}, now.Add(time.Hour)); !ok {
				t.Errorf("no target for request %d", i)
			}
		}
	})
	t.Run("only targets of the allowed halls are chosen", func(t *testing.T) {
		b, list := NewTracker(), targets(6)
		for range 20 {
			if c, ok := b.Choose(list, Criteria{Halls: []string{"h1"}}, now); !ok || c.Hall != "h1" {
				t.Fatalf("ok = %v, target in hall %s", ok, c.Hall)
			}
		}
		if _, ok := b.Choose(list, Criteria{Halls: []string{"elsewhere"}}, now); ok {
			t.Error("a target was chosen for a hall without targets")
		}
	})
}

// TestColdBound guards against exceeding the fleet-wide limit of a cold target: in no
// second may it get more requests than the limit, even if two placement owners and all
// gateways choose targets independently, at arbitrary times.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ColdLimits{RateFactor: rapid.Float64Range(1, 3).Draw(t, "over"), ExtraRequests: rapid.Float64Range(0, 10).Draw(t, "slack")}
		s := &hookhall.Service{ColdRate: rapid.Float64Range(4, 40).Draw(t, "rate")}
		bound := s.ColdRate*limits.RateFactor + limits.ExtraRequests
		now := time.Unix(1000, 0)
		list := coldTargets(2, now)
		var all []string
		for i := range rapid.IntRange(1, 60).Draw(t, "gateways") {
			all = append(all, fmt.Sprint("g", i))
		}
		placementOwners := []*Tracker{NewTracker(), NewTracker()}
		gateways := make([]*Tracker, len(all))
		for i := range gateways {
			gateways[i] = NewTracker()
		}
		sent := map[string][]time.Time{}
		for range rapid.IntRange(1, 400).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			sender := rapid.IntRange(-2, len(all)-1).Draw(t, "by")
			criteria, chooser := Criteria{MaxColdRequests: func(string) int { return limits.MaxFromPlacementOwner(s) }}, placementOwners[0]
			if sender == -1 {
				chooser = placementOwners[1]
			} else if sender >= 0 {
				chooser = gateways[sender]
				criteria.MaxColdRequests = func(id string) int {
					if IsDirectSender(id, all[sender], all, limits.MaxDirectSenders(s)) {
						return 1
					}
					return 0
				}
			}
			if c, ok := chooser.Choose(list, criteria, now); ok {
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
					t.Fatalf("%s got %d requests in a second, limit %.1f", id, n, bound)
				}
			}
		}
	})
}
