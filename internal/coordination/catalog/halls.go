// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// defaultColdTime is how long targets of a readmitted hall count as cold when the table does not
// give the duration of a cold start. Tables that do give it have 3 seconds.
const defaultColdTime = 3 * time.Second

// Halls is the set of halls that operators have evacuated, as of a revision of the store.
type Halls struct {
	// Revision is the store's revision at the reading, not that of a key: the end of an
	// evacuation removes the key.
	Revision hookhall.Revision `json:"revision"`
	// Evacuated has the names of the evacuated halls, sorted. Their targets get no new requests.
	Evacuated []string `json:"evacuated"`
}

// contains reports whether a hall is evacuated.
func (h Halls) contains(hall string) bool {
	_, found := slices.BinarySearch(h.Evacuated, hall)
	return found
}

// Halls returns the evacuated halls that are in force; Revision is 0 before the first reading.
func (c *Catalog) Halls() Halls {
	if h := c.halls.Load(); h != nil {
		return *h
	}
	return Halls{}
}

// evacuatedHalls returns the evacuated halls among all keys of the operators, sorted.
func (c *Catalog) evacuatedHalls(items []hookhall.Item) []string {
	var list []string
	for _, i := range items {
		if hall, ok := c.schema.EvacuatedHall(i.Key); ok {
			list = append(list, hall)
		}
	}
	slices.Sort(list)
	return list
}

// applyHallEvents applies events of the operators' keys up to a revision of the store, and
// reports whether the evacuated halls changed.
func (c *Catalog) applyHallEvents(events []hookhall.Item, revision hookhall.Revision) bool {
	evacuated := map[string]bool{}
	c.mu.Lock()
	for _, hall := range c.storedHalls {
		evacuated[hall] = true
	}
	for _, i := range events {
		if hall, ok := c.schema.EvacuatedHall(i.Key); ok {
			evacuated[hall] = !i.Deleted
			delete(c.heldUntil, hall)
		}
	}
	c.mu.Unlock()
	maps.DeleteFunc(evacuated, func(_ string, on bool) bool { return !on })
	return c.ApplyHalls(Halls{revision, slices.Sorted(maps.Keys(evacuated))}, "store")
}

// ApplyHalls applies the evacuated halls as read from the store or received from a peer, and
// reports whether anything changed. Halls of an earlier revision than the known one change
// nothing, so that an old update cannot readmit a hall.
func (c *Catalog) ApplyHalls(h Halls, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.halls.Load()
	if old != nil && h.Revision < old.Revision {
		return false
	}
	now := clock.Now()
	if old != nil && h.Revision.Era() > old.Revision.Era() {
		c.holdHalls(*old, now)
	}
	c.storedHalls = h.Evacuated
	h.Evacuated = c.withHeldHalls(h.Evacuated, now)
	c.halls.Store(&h)
	if old != nil && slices.Equal(old.Evacuated, h.Evacuated) {
		return false
	}
	c.recordHallChanges(old, h, from)
	if snapshot := c.snapshot.Load(); snapshot != nil {
		c.markAllDirty()
		c.publish(snapshot.Revision, snapshot.Began, clock.Now())
	}
	return true
}

// recordHallChanges logs evacuations and their ends, and records when halls were readmitted:
// their targets may have become cold in the meantime, and report that only with their next
// heartbeat. c.mu must be held.
func (c *Catalog) recordHallChanges(old *Halls, h Halls, from string) {
	for _, hall := range h.Evacuated {
		if old == nil || !old.contains(hall) {
			delete(c.readmittedAt, hall)
			c.log.Warn("hall evacuated; its targets receive no new requests", "hall", hall, "revision", h.Revision, "from", from)
		}
	}
	if old == nil {
		return
	}
	for _, hall := range old.Evacuated {
		if !h.contains(hall) {
			c.readmittedAt[hall] = clock.Now()
			c.log.Info("hall readmitted; its targets are treated as cold at first", "hall", hall, "revision", h.Revision, "from", from)
		}
	}
}

// coldDeadline returns the time until which a target counts as cold, by its own report or
// because its hall was readmitted. c.mu must be held.
func (c *Catalog) coldDeadline(e *entry) time.Time {
	until := e.coldUntil
	if readmitted, ok := c.readmittedAt[e.target.Hall]; ok {
		if t := c.Table(); t != nil {
			if s := t.Service(e.target.Pool); s != nil && s.ColdRate > 0 {
				coldTime := s.ColdTime
				if coldTime <= 0 {
					coldTime = defaultColdTime
				}
				until = latest(until, readmitted.Add(coldTime))
			}
		}
	}
	return until
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
