// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// departedTTL is how long a leaving incarnation without an entry is remembered, so that it
	// gets no requests if it is listed later.
	departedTTL = 10 * time.Minute
	// maxDeparted bounds the number of those incarnations.
	maxDeparted = 4096
)

// MarkLeaving marks an incarnation of a target as leaving, whatever its key in the store says. The
// target gets no new requests in that incarnation.
func (c *Catalog) MarkLeaving(l hookhall.Incarnation, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	e := c.findIncarnation(l)
	if e == nil {
		c.rememberDeparted(l, now)
		return
	}
	if e.isLeaving {
		return
	}
	e.isLeaving = true
	c.markDirty(e)
	c.log.Info("target leaving", "target", l.ID, "service", e.target.Pool, "from", from)
	if p := c.snapshot.Load(); p != nil {
		c.publish(p.Revision, p.Began, now)
	}
}

// findIncarnation returns the entry whose present incarnation is l, or nil. c.mu must be held.
func (c *Catalog) findIncarnation(l hookhall.Incarnation) *entry {
	for _, e := range c.entriesByKey {
		if e.target.Incarnation() == l {
			return e
		}
	}
	return nil
}

// rememberDeparted records an incarnation that is leaving and has no entry. c.mu must be held.
func (c *Catalog) rememberDeparted(l hookhall.Incarnation, now time.Time) {
	for o, at := range c.departedAt {
		if now.Sub(at) > departedTTL || len(c.departedAt) >= maxDeparted {
			delete(c.departedAt, o)
		}
	}
	c.departedAt[l] = now
}

// hasDeparted reports whether an incarnation has announced that it is leaving while it had no
// entry, or before its entry was removed. c.mu must be held.
func (c *Catalog) hasDeparted(l hookhall.Incarnation, now time.Time) bool {
	at, ok := c.departedAt[l]
	return ok && now.Sub(at) <= departedTTL
}
