// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// departedTTL is how long a leaving incarnation without an entry is recorded, so that it
	// gets no requests if it is listed later.
	departedTTL = 10 * time.Minute
	// maxDeparted bounds the number of those incarnations.
	maxDeparted = 4096
)

// MarkLeaving marks an incarnation of a target as leaving, whatever its key in the store holds.
// The target gets no new requests in that incarnation. from names the source, for the log.
func (c *Catalog) MarkLeaving(incarnation hookhall.Incarnation, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	e := c.findIncarnation(incarnation)
	if e == nil {
		c.recordDeparted(incarnation, now)
		return
	}
	if e.isLeaving {
		return
	}
	if e.missingSince.IsZero() {
		c.recordDeparture(e)
	}
	e.isLeaving = true
	c.markDirty(e)
	c.logChange(now, "target leaving", "target", incarnation.ID, "service", e.target.Pool, "from", from)
	if snapshot := c.snapshot.Load(); snapshot != nil {
		c.publish(snapshot.Revision, snapshot.Began, now)
	}
}

// findIncarnation returns the entry whose present incarnation is the given one, or nil. c.mu must
// be held.
func (c *Catalog) findIncarnation(incarnation hookhall.Incarnation) *entry {
	for _, e := range c.entriesByKey {
		if e.target.Incarnation() == incarnation {
			return e
		}
	}
	return nil
}

// recordDeparted records an incarnation that is leaving and has no entry. Expired records are
// dropped, and any others at maxDeparted. c.mu must be held.
func (c *Catalog) recordDeparted(incarnation hookhall.Incarnation, now time.Time) {
	for other, at := range c.departedAt {
		if now.Sub(at) > departedTTL || len(c.departedAt) >= maxDeparted {
			delete(c.departedAt, other)
		}
	}
	c.departedAt[incarnation] = now
}

// hasDeparted reports whether an incarnation has announced that it is leaving while it had no
// entry, or before its entry was removed. c.mu must be held.
func (c *Catalog) hasDeparted(incarnation hookhall.Incarnation, now time.Time) bool {
	at, ok := c.departedAt[incarnation]
	return ok && now.Sub(at) <= departedTTL
}
