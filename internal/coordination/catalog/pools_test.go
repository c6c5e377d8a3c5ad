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

// TestSnapshotByChanges: over any series of changes, a picture that only takes them in has
// the targets that a look through all gives, and pictures before it stay as they were.
func TestSnapshotByChanges(t *testing.T) {
	values := []string{"ready", "leaving", "born 3", "bad"}
	rapid.Check(t, func(t *rapid.T) {
		c := newCatalog(newFakeStore())
		c.Learn(Reading{Revision: 1, Began: time.Now()}, "store")
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			var events []hookhall.Item
			for range rapid.IntRange(1, 4).Draw(t, "events") {
				i := hookhall.Item{Key: fmt.Sprint("t/target-", rapid.IntRange(0, 9).Draw(t, "target")), Revision: hookhall.Revision(step + 2)}
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					i.Gone = true
				} else {
					i.Value = []byte(rapid.SampledFrom(values).Draw(t, "value"))
				}
				events = append(events, i)
			}
			before := c.Picture()
			was := map[string][]hookhall.Target{}
			for pool, list := range before.ByPool {
				was[pool] = slices.Clone(list)
			}
			c.Follow(events, hookhall.Revision(step+2), time.Now())
			for pool, list := range c.Picture().ByPool {
				c.mu.Lock()
				all, _ := c.usableTargets(pool, Halls{}, time.Now())
				c.mu.Unlock()
				if !slices.Equal(list, all) {
					t.Fatalf("%s: %v by changes, %v by a look through all", pool, list, all)
				}
			}
			for pool, list := range was {
				if !slices.Equal(before.ByPool[pool], list) {
					t.Fatalf("%s: the picture before has changed", pool)
				}
			}
		}
	})
}
