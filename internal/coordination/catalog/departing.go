// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// departureMargin is how long before the end of DrainTime a departing target gets its last requests: they
// take a while to reach it.
const departureMargin = 500 * time.Millisecond

// recordDeparture records that a target that was usable begins to leave, or is no longer listed. The snapshot
// before shows since when at most. c.mu must be held.
func (c *Catalog) recordDeparture(e *entry) {
	snapshot := c.snapshot.Load()
	if e.isLeaving || snapshot == nil || !e.departedAfter.IsZero() {
		return
	}
	e.departedAfter = snapshot.Began
}

// Departing returns the targets of a service that are leaving or no longer listed, and that still serve what
// can go nowhere else, sorted by id.
func (c *Catalog) Departing(pool string, now time.Time) []hookhall.Target {
	if c.DrainTime <= departureMargin {
		return nil
	}
	halls := c.Halls()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []hookhall.Target
	for _, e := range c.entriesByPool[pool] {
		if e.isDeparting(c.DrainTime-departureMargin, now) && !halls.contains(e.target.Hall) {
			t := c.publishedTarget(e)
			t.Leaving = false // otherwise it would not be chosen
			list = append(list, t)
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// isDeparting reports whether the target began to leave within a time.
func (e *entry) isDeparting(within time.Duration, now time.Time) bool {
	return !e.departedAfter.IsZero() && now.Before(e.departedAfter.Add(within)) && !e.usable(now)
}
