// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// departedTTL is how long a life is remembered that is leaving and not known here.
	departedTTL = 10 * time.Minute
	// maxDeparted bounds those lives.
	maxDeparted = 4096
)

// Leave marks a life of a target as leaving, whatever its key in the store says. The target
// gets no new requests in that life.
func (c *Catalog) Leave(l hookhall.Life, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	e := c.livesAs(l)
	if e == nil {
		c.depart(l, now)
		return
	}
	if e.left {
		return
	}
	e.left = true
	c.touch(e)
	c.log.Info("A target is leaving.", "target", l.ID, "service", e.target.Pool, "from", from)
	if p := c.picture.Load(); p != nil {
		c.publish(p.Revision, p.Began, now)
	}
}

// livesAs returns the entry whose present life is l, or nil. c.mu must be held.
func (c *Catalog) livesAs(l hookhall.Life) *entry {
	for _, e := range c.known {
		if e.target.Life() == l {
			return e
		}
	}
	return nil
}

// depart remembers a life that is leaving and not known here. c.mu must be held.
func (c *Catalog) depart(l hookhall.Life, now time.Time) {
	for o, at := range c.departed {
		if now.Sub(at) > departedTTL || len(c.departed) >= maxDeparted {
			delete(c.departed, o)
		}
	}
	c.departed[l] = now
}

// hasDeparted reports whether a life has said that it is leaving while it was not listed
// here, or before it was forgotten. c.mu must be held.
func (c *Catalog) hasDeparted(l hookhall.Life, now time.Time) bool {
	at, ok := c.departed[l]
	return ok && now.Sub(at) <= departedTTL
}
