// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// TestSnapshotByChanges checks, over any series of changes, that a snapshot made by merging
// changes equals one made from all targets, and that earlier snapshots stay unchanged.
func TestSnapshotByChanges(t *testing.T) {
	values := []string{"ready", "leaving", "born 3", "bad"}
	rapid.Check(t, func(t *rapid.T) {
		c := newCatalog(newFakeStore())
		c.ApplyReading(Reading{Revision: 1, Began: time.Now()}, "store")
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			var events []hookhall.Item
			for range rapid.IntRange(1, 4).Draw(t, "events") {
				i := hookhall.Item{Key: fmt.Sprint("t/target-", rapid.IntRange(0, 9).Draw(t, "target")), Revision: hookhall.Revision(step + 2)}
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					i.Deleted = true
				} else {
					i.Value = []byte(rapid.SampledFrom(values).Draw(t, "value"))
				}
				events = append(events, i)
			}
			before := c.Snapshot()
			previous := map[string][]hookhall.Target{}
			for pool, list := range before.ByPool {
				previous[pool] = slices.Clone(list)
			}
			c.ApplyEvents(events, hookhall.Revision(step+2), time.Now())
			for pool, list := range c.Snapshot().ByPool {
				c.mu.Lock()
				all, _ := c.usableTargets(pool, Halls{}, time.Now())
				c.mu.Unlock()
				if !slices.Equal(list, all) {
					t.Fatalf("%s: %v by merging changes, %v from all targets", pool, list, all)
				}
			}
			for pool, list := range previous {
				if !slices.Equal(before.ByPool[pool], list) {
					t.Fatalf("%s: the previous snapshot has changed", pool)
				}
			}
		}
	})
}

// TestChangeAfterMarkAllDirty guards against a crash when a target changes before the snapshot that
// rebuilds all services is made.
func TestChangeAfterMarkAllDirty(t *testing.T) {
	c := newCatalog(newFakeStore())
	c.ApplyReading(Reading{Revision: 1, Items: []hookhall.Item{targetItem(1, "ready")}, Began: time.Now()}, "store")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markAllDirty()
	for _, e := range c.entriesByKey {
		c.markDirty(e)
	}
}

// TestListedVersions checks which versions of a service count as listed: those of targets that are
// leaving, too, and not those of targets that are gone.
func TestListedVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		entry entry
		want  bool
	}{
		"listed":               {entry{}, true},
		"leaving":              {entry{isLeaving: true}, true},
		"missing":              {entry{missingSince: now.Add(-time.Second)}, false},
		"lapsed for a moment":  {entry{missingSince: now.Add(-time.Second), lapsesAt: now.Add(time.Second)}, true},
		"lapsed, and over now": {entry{missingSince: now.Add(-time.Second), lapsesAt: now.Add(-time.Millisecond)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.entry.target.Version = "v2"
			catalog := &Catalog{entriesByPool: map[string]map[string]*entry{"llm": {
				"a": {target: hookhall.Target{Version: "v1"}}, "b": {target: hookhall.Target{Version: "v1"}}, "c": &c.entry,
			}}}
			got := catalog.listedVersions("llm", now)
			if !got["v1"] || got["v2"] != c.want {
				t.Errorf("listed: %v", got)
			}
		})
	}
}
