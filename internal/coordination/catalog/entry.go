// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// lapseBeats is how many heartbeats targets that went missing together have
	// to come back.
	lapseBeats = 3
	// massLoss is the share of all targets whose loss in one reading is held to
	// be the store's doing, and massLeast their least number.
	massLoss  = 0.4
	massLeast = 3
	// forget is for how long a target that is gone is remembered, so that an
	// older reading can't bring it back.
	forget = 30 * time.Second
)

// entry is what is known of one target.
type entry struct {
	target hookhall.Target
	// missing is when a reading first lacked it, zero while it is listed.
	missing time.Time
	// lapsed is until when a missing target is used all the same.
	lapsed time.Time
	// left is set once it said that it leaves.
	left bool
}

func (e *entry) usable(now time.Time) bool {
	if e.left || e.target.Leaving {
		return false
	}
	return e.missing.IsZero() || now.Before(e.lapsed)
}

// Learn takes in a reading of the targets, by this process or by a peer. It
// tells whether the reading was newer.
func (c *Catalog) Learn(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.picture.Load()
	if p != nil && (r.Revision < p.Revision || (r.Revision == p.Revision && !r.Began.After(p.Began))) {
		return false
	}
	now := time.Now()
	listed := map[string]bool{}
	for _, i := range r.Items {
		t, err := c.platform.ReadTarget(i.Key, i.Value)
		if err != nil {
			c.log.Error("A target's key can't be read.", "key", i.Key, "error", err.Error())
			continue
		}
		listed[t.ID] = true
		c.list(t, from, now)
	}
	c.miss(listed, from, now)
	c.publish(r, now)
	return true
}

// list takes in a target that is in a reading.
func (c *Catalog) list(t hookhall.Target, from string, now time.Time) {
	e := c.known[t.ID]
	if e == nil {
		e = &entry{target: t}
		c.known[t.ID] = e
		c.log.Info("A target is listed.", "target", t.ID, "service", t.Pool, "address", t.Address, "hall", t.Hall, "leaving", t.Leaving, "from", from)
	}
	if !e.missing.IsZero() {
		c.log.Info("A target is listed again.", "target", t.ID, "service", t.Pool, "after", now.Sub(e.missing))
		e.missing, e.lapsed = time.Time{}, time.Time{}
	}
	if t.Leaving && !e.left {
		e.left = true
		c.log.Info("A target is leaving.", "target", t.ID, "service", t.Pool, "from", from)
	}
	e.target = t
}

// miss takes in which targets a reading lacks.
func (c *Catalog) miss(listed map[string]bool, from string, now time.Time) {
	var lost []*entry
	current := 0
	for id, e := range c.known {
		switch {
		case listed[id]:
			current++
		case e.missing.IsZero():
			lost = append(lost, e)
		case now.Sub(e.missing) > forget:
			delete(c.known, id)
		}
	}
	lapse := len(lost) >= massLeast && float64(len(lost)) > massLoss*float64(current+len(lost))
	for _, e := range lost {
		e.missing = now
		if lapse {
			e.lapsed = now.Add(time.Duration(lapseBeats * float64(c.timing.Heartbeat)))
		}
		c.log.Info("A target is missing.", "target", e.target.ID, "service", e.target.Pool, "from", from, "lapse", lapse, "left", e.left)
	}
}
