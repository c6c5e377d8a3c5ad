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

// changes are what the next picture has to take in of one service.
type poolChanges struct {
	needsRebuild bool // the service has to be looked through
	entries      map[*entry]bool
}

// touch has the next picture take in a target of its present service. The caller holds
// c.mu.
func (c *Catalog) markDirty(e *entry) {
	d := c.changesByPool[e.target.Pool]
	if d == nil {
		d = &poolChanges{entries: map[*entry]bool{}}
		c.changesByPool[e.target.Pool] = d
	}
	d.entries[e] = true
}

// markAllDirty has all pools made anew. The caller holds c.mu.
func (c *Catalog) markAllDirty() {
	for pool := range c.entriesByPool {
		c.changesByPool[pool] = &poolChanges{needsRebuild: true}
	}
}

// remake has a picture take in what changed. The caller holds c.mu.
func (c *Catalog) rebuild(p *Picture, now time.Time) {
	p.ByPool, p.Evacuated = maps.Clone(p.ByPool), maps.Clone(p.Evacuated)
	if p.ByPool == nil {
		p.ByPool, p.Evacuated = map[string][]hookhall.Target{}, map[string]bool{}
	}
	halls := c.Halls()
	for pool, d := range c.changesByPool {
		if d.needsRebuild || len(halls.Evacuated) > 0 {
			p.ByPool[pool], p.Evacuated[pool] = c.usableTargets(pool, halls, now)
			continue
		}
		p.ByPool[pool] = c.mergeChanges(pool, p.ByPool[pool], d.entries, now)
	}
	clear(c.changesByPool)
}

// usable lists the usable targets of a pool, sorted by id, and tells whether an
// evacuation keeps others out. The caller holds c.mu.
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

// changed lists the usable targets of a pool after some have changed. A change costs a
// copy of the list, not a look at all targets: thousands of them are replaced at tens a
// second, and every gateway takes each change in. No hall is evacuated. The caller holds
// c.mu.
func (c *Catalog) mergeChanges(pool string, before []hookhall.Target, entries map[*entry]bool, now time.Time) []hookhall.Target {
	touched := make([]string, 0, len(entries))
	var fresh []hookhall.Target
	for e := range entries {
		touched = append(touched, e.target.ID)
		if c.entriesByPool[pool][e.key] == e && e.usable(now) {
			fresh = append(fresh, c.publishedTarget(e))
		}
	}
	slices.Sort(touched)
	slices.SortFunc(fresh, compareIDs)
	list := make([]hookhall.Target, 0, len(before)+len(fresh))
	for _, id := range touched {
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

// published is a target as pictures have it. The caller holds c.mu.
func (c *Catalog) publishedTarget(e *entry) hookhall.Target {
	t := e.target
	t.ColdUntil = c.coldDeadline(e)
	return t
}

func compareIDs(a, b hookhall.Target) int { return strings.Compare(a.ID, b.ID) }
