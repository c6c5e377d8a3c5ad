// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// expectCold checks which of the usable targets count as cold now.
func expectCold(t *testing.T, c *Catalog, want ...string) {
	t.Helper()
	var got []string
	for _, o := range c.Targets("pool") {
		if o.Cold(time.Now()) {
			got = append(got, o.ID)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("%v are cold, not %v", got, want)
	}
}

// setColdTable writes a table whose targets take three seconds to warm up.
func (s *fakeStore) setColdTable() {
	s.setTable(1)
	s.update(func() {
		s.table.Value = []byte(`{"Version":1,"Services":[{"Name":"pool","ColdRate":9.1,"ColdTime":3000000000}]}`)
		s.events[len(s.events)-1] = s.table
	})
}

func newStoreWithThreeHalls() *fakeStore {
	s := newFakeStore()
	s.setColdTable()
	s.targets = map[string]string{"a@north": "", "b@south": "", "c@west": ""}
	s.staleTargets = s.targets
	return s
}

// TestEvacuation guards against requests into a hall that operators have evacuated, in whatever
// way the evacuation becomes known.
func TestEvacuation(t *testing.T) {
	t.Run("an evacuated hall gets no new requests, and is cold once readmitted", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			expectUsable(t, c, "a@north", "b@south", "c@west")
			s.setEvacuated("south", true)
			time.Sleep(time.Millisecond)
			expectUsable(t, c, "a@north", "c@west")
			if len(c.KnownTargets()) != 3 || c.Evacuated("pool") {
				t.Error("the hall's targets are unknown, or the service counts as evacuated")
			}
			s.setEvacuated("south", false)
			time.Sleep(time.Millisecond)
			expectUsable(t, c, "a@north", "b@south", "c@west")
			expectCold(t, c, "b@south")
			time.Sleep(3100 * time.Millisecond)
			expectCold(t, c)
		})
	})
	t.Run("with all halls evacuated, the service has no target and counts as evacuated", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			for _, h := range []string{"north", "south", "west"} {
				s.setEvacuated(h, true)
			}
			time.Sleep(time.Millisecond)
			expectUsable(t, c)
			if !c.Evacuated("pool") || c.Evacuated("another") {
				t.Error("Evacuated does not distinguish an evacuated service from one without targets")
			}
		})
	})
	t.Run("an evacuation before the start is known when the process is ready", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		s.setEvacuated("south", true)
		runCatalog(t, s, func(c *Catalog) {
			for !c.Ready() {
				time.Sleep(time.Millisecond)
			}
			expectUsable(t, c, "a@north", "c@west")
		})
	})
	t.Run("an evacuation during an outage is known after it", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.update(func() { s.down = true })
			time.Sleep(3 * time.Second)
			s.setEvacuated("south", true)
			s.update(func() { s.down = false })
			time.Sleep(time.Second)
			expectUsable(t, c, "a@north", "c@west")
		})
	})
	t.Run("an evacuation is known though the store lost its history", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.setEvacuated("north", true)
			time.Sleep(time.Second)
			s.mu.Lock()
			s.revision++ // changes that no watch returns
			s.hallRevisions = map[string]hookhall.Revision{"south": s.revision}
			s.oldestRevision, s.events = s.revision, nil
			s.mu.Unlock()
			time.Sleep(time.Second)
			expectUsable(t, c, "a@north", "c@west")
		})
	})
	t.Run("evacuations in quick succession", func(t *testing.T) {
		s := newStoreWithThreeHalls()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			for range 2 {
				s.setEvacuated("south", true)
				s.setEvacuated("south", false)
			}
			s.setEvacuated("south", true)
			time.Sleep(time.Millisecond)
			expectUsable(t, c, "a@north", "c@west")
		})
	})
}

// TestOlderHallsChangeNothing checks that halls of an older revision, whoever sends them, do not
// replace newer ones, and that a new snapshot of the targets keeps evacuated halls out.
func TestOlderHallsChangeNothing(t *testing.T) {
	c := newCatalog(newFakeStore())
	c.ApplyReading(Reading{Revision: 1, Items: []hookhall.Item{{Key: "t/a@north"}, {Key: "t/b@south"}}, Began: time.Now()}, "store")
	steps := []struct {
		name    string
		halls   Halls
		changed bool
		usable  []string
	}{
		{"evacuated", Halls{10, []string{"south"}}, true, []string{"a@north"}},
		{"the same halls again", Halls{12, []string{"south"}}, false, []string{"a@north"}},
		{"an older update without it", Halls{11, nil}, false, []string{"a@north"}},
		{"readmitted", Halls{13, nil}, true, []string{"a@north", "b@south"}},
		{"an older update with it", Halls{12, []string{"south"}}, false, []string{"a@north", "b@south"}},
		{"another hall", Halls{14, []string{"north"}}, true, []string{"b@south"}},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			if changed := c.ApplyHalls(s.halls, "peer"); changed != s.changed {
				t.Errorf("changed: %v", changed)
			}
			expectUsable(t, c, s.usable...)
			c.ApplyReading(Reading{Revision: s.halls.Revision + 100, Items: []hookhall.Item{{Key: "t/a@north"}, {Key: "t/b@south"}}, Began: time.Now()}, "store")
			expectUsable(t, c, s.usable...)
		})
	}
}

// TestColdTargets checks that a target counts as cold for as long as its newest heartbeat
// reports, and that reading the same heartbeat again does not extend that time.
func TestColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCatalog(newFakeStore())
		revision := hookhall.Revision(0)
		learn := func(values map[string]string) {
			revision++
			r := Reading{Revision: revision, Began: time.Now()}
			for id, v := range values {
				r.Items = append(r.Items, hookhall.Item{Key: "t/" + id, Value: []byte(v)})
			}
			c.ApplyReading(r, "store")
		}
		learn(map[string]string{"a": "cold 1 3000", "b": "cold 1 0"})
		expectCold(t, c, "a")
		time.Sleep(2 * time.Second)
		learn(map[string]string{"a": "cold 1 3000", "b": "cold 1 0"})
		expectCold(t, c, "a")
		time.Sleep(1100 * time.Millisecond)
		learn(map[string]string{"a": "cold 1 3000", "b": "cold 2 2000"})
		expectCold(t, c, "b")
		learn(map[string]string{"a": "cold 2 0", "b": "cold 3 0"})
		expectCold(t, c)
	})
}
