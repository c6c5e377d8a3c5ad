// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// fleet is the list of a large service, as catalogs publish it: sorted by id.
func fleet(n int) []hookhall.Target {
	list := targets(n)
	for i := range list {
		list[i].Pool = "pool"
	}
	slices.SortFunc(list, func(a, b hookhall.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// TestLargeService: of thousands of targets, a choice finds what a look at all would.
func TestLargeService(t *testing.T) {
	now := time.Now()
	list := fleet(5715)
	choose := func(t *testing.T, b *Tracker, w Wish) string {
		t.Helper()
		c, ok := b.Choose(list, w, now)
		if !ok {
			t.Fatal("no target")
		}
		return c.ID
	}
	t.Run("a shared part goes to its first target, whoever asks", func(t *testing.T) {
		for i := range 50 {
			w := prompt(fmt.Sprint("part ", i), 10000, 100)
			if a, b := choose(t, NewTracker(), w), choose(t, NewTracker(), w); a != b {
				t.Fatalf("%s and %s", a, b)
			}
		}
	})
	t.Run("and stays at the one that holds it", func(t *testing.T) {
		b := NewTracker()
		holder := list[4000]
		b.Begin(holder, prompt("p", 10000, 100), now).End()
		if id := choose(t, b, prompt("p", 10000, 100)); id != holder.ID {
			t.Errorf("%s, not %s", id, holder.ID)
		}
	})
	t.Run("until that is forgotten", func(t *testing.T) {
		b := NewTracker()
		b.Begin(list[4000], prompt("p", 10000, 100), now).End()
		b.Keep(func(hookhall.Life) bool { return true }, now.Add(partKeep))
		if n := len(b.holders.of("p")); n != 0 {
			t.Errorf("%d holders", n)
		}
	})
	t.Run("results are read in their hall", func(t *testing.T) {
		w := Wish{Engine: true, OwnTokens: 100, Slack: time.Second, Near: map[string]float64{"h1": 3e7}}
		id := choose(t, NewTracker(), w)
		if i, _ := find(list, id); list[i].Hall != "h1" {
			t.Errorf("hall %s", list[i].Hall)
		}
	})
	t.Run("the only one that is left is found", func(t *testing.T) {
		w := Wish{Engine: true, Exclude: map[string]bool{}}
		for _, c := range list[1:] {
			w.Exclude[c.ID] = true
		}
		if id := choose(t, NewTracker(), w); id != list[0].ID {
			t.Errorf("%s", id)
		}
	})
	t.Run("idle ones go before busy ones", func(t *testing.T) {
		b := NewTracker()
		busy := map[string]bool{}
		for i, c := range list {
			if i%4 > 0 {
				busy[c.ID] = true
				b.Begin(c, prompt("", 0, 60000), now)
			}
		}
		for range 20 {
			if id := choose(t, b, Wish{Engine: true, OwnTokens: 100, Slack: time.Second}); busy[id] {
				t.Fatalf("%s is busy", id)
			}
		}
	})
}

// TestRing: a ring divides keys about evenly, and few move when targets come and go.
func TestRing(t *testing.T) {
	const keys = 20000
	all := fleet(1000)
	firsts := func(list []hookhall.Target) map[string]string {
		r := newRing(list)
		found := map[string]string{}
		for i := range keys {
			key := fmt.Sprint("key ", i)
			found[key] = r.first(key)
		}
		return found
	}
	before := firsts(all)
	t.Run("even", func(t *testing.T) {
		count := map[string]int{}
		for _, id := range before {
			count[id]++
		}
		for id, n := range count {
			if n > 5*keys/len(all) {
				t.Errorf("%s has %d of %d keys", id, n, keys)
			}
		}
	})
	t.Run("stable", func(t *testing.T) {
		after := firsts(slices.Concat(all[:300], all[310:]))
		moved := 0
		for key, id := range before {
			if after[key] != id {
				moved++
			}
		}
		if moved > 3*keys/100 {
			t.Errorf("%d of %d keys moved when a hundredth of the targets left", moved, keys)
		}
	})
	t.Run("those that leave get none", func(t *testing.T) {
		list := slices.Clone(all)
		for i := range list[:500] {
			list[i].Leaving = true
		}
		for key, id := range firsts(list) {
			if i, _ := find(list, id); list[i].Leaving {
				t.Fatalf("%s goes to %s, which leaves", key, id)
			}
		}
	})
}

// BenchmarkChoose is one choice of a target for a long prompt.
func BenchmarkChoose(b *testing.B) {
	now := time.Now()
	for _, n := range []int{18, 256, 5715} {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			list, tracker := fleet(n), NewTracker()
			w := prompt("p", 10000, 100)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tracker.Choose(list, w, now); !ok {
					b.Fatal("no target")
				}
			}
		})
	}
}
