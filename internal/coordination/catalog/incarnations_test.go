// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// targetItem is the key of the target t/a at a revision, with its start time and state as value.
func targetItem(revision hookhall.Revision, value string) hookhall.Item {
	return hookhall.Item{Key: "t/a", Value: []byte(value), Revision: revision}
}

// targetStatus reports whether the catalog offers the target a, and whether it counts as cold.
func targetStatus(c *Catalog) (listed, cold bool) {
	for _, t := range c.Targets("pool") {
		if t.ID == "a" {
			return true, t.Cold(time.Now())
		}
	}
	return false, false
}

// TestTargetRestart checks that the state of a target holds for one incarnation only. After a
// restart its clock may be set back, and its heartbeat count starts over.
func TestTargetRestart(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		listed bool
		cold   bool
	}{
		"ready":   {[]string{"born 5 ready"}, true, false},
		"leaving": {[]string{"born 5 ready", "born 5 leaving"}, false, false},
		"leaving, then ready in the same incarnation":   {[]string{"born 5 leaving", "born 5 ready"}, false, false},
		"leaving, then restarted":                       {[]string{"born 5 leaving", "born 9 ready"}, true, false},
		"leaving, then restarted with an earlier clock": {[]string{"born 5 leaving", "born 2 ready"}, true, false},
		"restarted, then leaving":                       {[]string{"born 5 ready", "born 9 ready", "born 9 leaving"}, false, false},
		"restarted twice, with the first clock again":   {[]string{"born 5 leaving", "born 9 ready", "born 5 ready"}, true, false},
		"restarted cold":                                {[]string{"born 5 ready", "born 9 cold"}, true, true},
		"cold, then restarted warm":                     {[]string{"born 5 cold", "born 9 ready"}, true, false},
		"without a start time":                          {[]string{"leaving", "born 9 ready"}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			for way, learn := range map[string]func(c *Catalog, i hookhall.Item){
				"by readings": func(c *Catalog, i hookhall.Item) {
					c.ApplyReading(Reading{Revision: i.Revision, Items: []hookhall.Item{i}, Began: time.Now()}, "store")
				},
				"by a watch": func(c *Catalog, i hookhall.Item) {
					c.ApplyEvents([]hookhall.Item{i}, i.Revision, time.Now())
				},
				"by updates": func(c *Catalog, i hookhall.Item) {
					c.ApplyUpdate(Update{Revision: i.Revision, Began: time.Now(), Changed: []hookhall.Item{i}}, "peer")
				},
			} {
				t.Run(way, func(t *testing.T) {
					catalog := newCatalog(newFakeStore())
					catalog.ApplyReading(Reading{Revision: 1, Began: time.Now()}, "store")
					for n, value := range c.values {
						learn(catalog, targetItem(hookhall.Revision(n+2), value))
					}
					if listed, cold := targetStatus(catalog); listed != c.listed || cold != c.cold {
						t.Errorf("listed %v, cold %v; want %v, %v", listed, cold, c.listed, c.cold)
					}
				})
			}
		})
	}
}

// TestUpdatesOfIncarnationsInAnyOrder checks that the last state of the last incarnation holds
// in the end, in whatever order updates arrive.
func TestUpdatesOfIncarnationsInAnyOrder(t *testing.T) {
	values := []string{"born 5 ready", "born 5 leaving", "", "born 2 ready", "born 2 cold", "born 2 leaving", "", "born 9 ready"}
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 0))
		last := 1 + r.IntN(len(values))
		c := newCatalog(newFakeStore())
		c.ApplyReading(Reading{Revision: 1, Began: time.Now()}, "store")
		var list []Update
		for n, value := range values[:last] {
			update := Update{Revision: hookhall.Revision(n + 2), Began: time.Now(), Digest: 1} // always leaves a gap
			if value == "" {
				update.Gone = []string{"t/a"}
			} else {
				update.Changed = []hookhall.Item{targetItem(update.Revision, value)}
			}
			list = append(list, update)
		}
		list = append(list, list[r.IntN(len(list))]) // one update arrives twice
		r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, update := range list {
			c.ApplyUpdate(update, "peer")
		}
		want := strings.HasSuffix(values[last-1], "ready") || strings.HasSuffix(values[last-1], "cold")
		if listed, cold := targetStatus(c); listed != want || cold != strings.HasSuffix(values[last-1], "cold") {
			t.Fatalf("seed %d: after %q, listed %v, cold %v", seed, values[:last], listed, cold)
		}
	}
}
