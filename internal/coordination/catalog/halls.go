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

// defaultColdTime is for how long targets of a hall that operators have taken back into
// service are held to be cold when the table does not say how long a cold start
// takes: the seconds that it takes where it is said.
const defaultColdTime = 3 * time.Second

// Halls is which halls operators have evacuated, as the store had it.
type Halls struct {
	// Revision is the store's at the reading, not that of a key: a hall that is
	// taken back leaves no key behind.
	Revision hookhall.Revision `json:"revision"`
	// Evacuated lists them, sorted. Their targets get nothing new.
	Evacuated []string `json:"evacuated"`
}

// has tells whether a hall is evacuated.
func (h Halls) contains(hall string) bool {
	_, found := slices.BinarySearch(h.Evacuated, hall)
	return found
}

// Halls is what this process believes of the halls; Revision is 0 before it has
// heard of them.
func (c *Catalog) Halls() Halls {
	if h := c.halls.Load(); h != nil {
		return *h
	}
	return Halls{}
}

// evacuatedHalls finds the evacuated halls among all keys of the operators.
func (c *Catalog) evacuatedHalls(items []hookhall.Item) []string {
	var list []string
	for _, i := range items {
		if hall, ok := c.platform.EvacuatedHall(i.Key); ok {
			list = append(list, hall)
		}
	}
	slices.Sort(list)
	return list
}

// applyHallEvents takes in events of the operators' keys up to a revision of the store.
func (c *Catalog) applyHallEvents(events []hookhall.Item, revision hookhall.Revision) bool {
	evacuated := map[string]bool{}
	c.mu.Lock()
	for _, hall := range c.storedHalls {
		evacuated[hall] = true
	}
	for _, i := range events {
		if hall, ok := c.platform.EvacuatedHall(i.Key); ok {
			evacuated[hall] = !i.Gone
			delete(c.heldUntil, hall)
		}
	}
	c.mu.Unlock()
	maps.DeleteFunc(evacuated, func(_ string, on bool) bool { return !on })
	return c.LearnHalls(Halls{revision, slices.Sorted(maps.Keys(evacuated))}, "store")
}

// LearnHalls takes in what the store or a peer told of the halls, and puts it in
// force. It tells whether anything changed. What was read at an earlier revision
// than the one known changes nothing, so that no hall is served again by old news.
func (c *Catalog) LearnHalls(h Halls, from string) bool {
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
	if p := c.snapshot.Load(); p != nil {
		c.markAllDirty()
		c.publish(p.Revision, p.Began, clock.Now())
	}
	return true
}

// recordHallChanges logs what changed, and remembers when halls were taken back: their
// targets may have turned cold meanwhile, and say so only with their next
// heartbeat. The caller holds c.mu.
func (c *Catalog) recordHallChanges(old *Halls, h Halls, from string) {
	for _, hall := range h.Evacuated {
		if old == nil || !old.contains(hall) {
			delete(c.readmittedAt, hall)
			c.log.Warn("A hall is evacuated; its targets get nothing new.", "hall", hall, "revision", h.Revision, "from", from)
		}
	}
	if old == nil {
		return
	}
	for _, hall := range old.Evacuated {
		if !h.contains(hall) {
			c.readmittedAt[hall] = clock.Now()
			c.log.Info("A hall is taken back; its targets are used as cold ones at first.", "hall", hall, "revision", h.Revision, "from", from)
		}
	}
}

// coldDeadline is until when a target is held to be cold. The caller holds c.mu.
func (c *Catalog) coldDeadline(e *entry) time.Time {
	until := e.coldUntil
	if taken, ok := c.readmittedAt[e.target.Hall]; ok {
		if t := c.Table(); t != nil {
			if s := t.Service(e.target.Pool); s != nil && s.ColdRate > 0 {
				stays := s.ColdTime
				if stays <= 0 {
					stays = defaultColdTime
				}
				until = latest(until, taken.Add(stays))
			}
		}
	}
	return until
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
