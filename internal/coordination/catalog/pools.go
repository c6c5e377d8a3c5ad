// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

// poolChanges are the changes of one service since the last snapshot.
type poolChanges struct {
	needsRebuild bool // all targets of the service must be checked, not only entries
	entries      map[*entry]bool
}

// markDirty makes the next snapshot include a change of an entry, in its present service. c.mu
// must be held.
func (c *Catalog) markDirty(e *entry) {
	changes := c.changesByPool[e.target.Pool]
	if changes == nil {
		changes = &poolChanges{entries: map[*entry]bool{}}
		c.changesByPool[e.target.Pool] = changes
	}
	changes.entries[e] = true
}

// markAllDirty makes the next snapshot rebuild all services. c.mu must be held.
func (c *Catalog) markAllDirty() {
	for pool := range c.entriesByPool {
		c.changesByPool[pool] = &poolChanges{needsRebuild: true, entries: map[*entry]bool{}}
	}
}

// rebuild applies changesByPool to a snapshot that is not yet published. c.mu must be held.
func (c *Catalog) rebuild(snapshot *Snapshot, now time.Time) {
	snapshot.ByPool, snapshot.EvacuatedServices = maps.Clone(snapshot.ByPool), maps.Clone(snapshot.EvacuatedServices)
	if snapshot.ByPool == nil {
		snapshot.ByPool, snapshot.EvacuatedServices = map[string][]hookhall.Target{}, map[string]bool{}
	}
	halls := c.Halls()
	for pool, changes := range c.changesByPool {
		if changes.needsRebuild || len(halls.Evacuated) > 0 {
			snapshot.ByPool[pool], snapshot.EvacuatedServices[pool] = c.usableTargets(pool, halls, now)
		} else {
			snapshot.ByPool[pool] = c.mergeChanges(pool, snapshot.ByPool[pool], changes.entries, now)
		}
		c.OnVersions(pool, c.listedVersions(pool, now))
	}
	clear(c.changesByPool)
}

// usableTargets returns the usable targets of a service, sorted by id, and reports whether it
// has others that only an evacuation keeps out. c.mu must be held.
func (c *Catalog) usableTargets(pool string, halls Halls, now time.Time) (list []hookhall.Target, evacuated bool) {
	for _, e := range c.entriesByPool[pool] {
		switch {
		case !e.usable(now):
		case halls.contains(e.target.Hall):
			evacuated = true
		default:
			list = append(list, c.publishedTarget(e))
		}
	}
	slices.SortFunc(list, compareIDs)
	return list, evacuated
}

// listedVersions returns the versions of a service's targets that are listed or still usable. c.mu
// must be held.
func (c *Catalog) listedVersions(pool string, now time.Time) map[string]bool {
	versions, last := map[string]bool{}, ""
	for _, e := range c.entriesByPool[pool] {
		if len(versions) > 0 && e.target.Version == last {
			continue // nearly all have the same: this saves most lookups
		}
		if e.missingSince.IsZero() || e.usable(now) {
			last = e.target.Version
			versions[last] = true
		}
	}
	return versions
}

// mergeChanges returns the usable targets of a service after some entries have changed, sorted by
// id; before is the previous list, and no hall may be evacuated. It copies the list rather than
// check all targets: in a fleet of thousands, tens of targets are replaced per second, and every
// gateway applies each change. c.mu must be held.
func (c *Catalog) mergeChanges(pool string, before []hookhall.Target, entries map[*entry]bool, now time.Time) []hookhall.Target {
	changedIDs := make([]string, 0, len(entries))
	var fresh []hookhall.Target
	for e := range entries {
		changedIDs = append(changedIDs, e.target.ID)
		if c.entriesByPool[pool][e.key] == e && e.usable(now) {
			fresh = append(fresh, c.publishedTarget(e))
		}
	}
	slices.Sort(changedIDs)
	slices.SortFunc(fresh, compareIDs)
	list := make([]hookhall.Target, 0, len(before)+len(fresh))
	for _, id := range changedIDs {
		at, found := slices.BinarySearchFunc(before, id, func(t hookhall.Target, id string) int { return strings.Compare(t.ID, id) })
		list = append(list, before[:at]...)
		before = before[at:]
		if found {
			before = before[1:]
		}
		if len(fresh) > 0 && fresh[0].ID == id {
			list = append(list, fresh[0])
			fresh = fresh[1:]
		}
	}
	return append(list, before...)
}

// publishedTarget returns the target of an entry as snapshots have it. c.mu must be held.
func (c *Catalog) publishedTarget(e *entry) hookhall.Target {
	t := e.target
	t.ColdUntil = c.coldDeadline(e)
	return t
}

func compareIDs(a, b hookhall.Target) int { return strings.Compare(a.ID, b.ID) }
