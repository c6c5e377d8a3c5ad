// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

const (
	// lapseFor is how long targets that went missing together have to come back:
	// the platform promises that those which live and reach the store are listed
	// again about two seconds after its return.
	lapseFor = 2 * time.Second
	// massLoss is the share of all targets that must go missing in one reading, and
	// massLeast their least number, to be put down to leases that expired while the
	// store was away rather than to targets that left.
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
	// value is the key's value as last read, and changed when it, or its absence,
	// last became known; heartbeats don't count.
	value   []byte
	changed time.Time
	// left is set once it said that it leaves.
	left bool
	// coldUntil is until when it is cold by its own word, counted from when this
	// process heard it, which is later than when it was said.
	coldUntil time.Time
}

func (e *entry) usable(now time.Time) bool {
	if e.left || e.target.Leaving {
		return false
	}
	return e.missing.IsZero() || now.Before(e.lapsed)
}

// Learn takes in a reading of the targets. It tells whether the reading was newer.
func (c *Catalog) Learn(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.older(r.Revision, r.Began) {
		return false
	}
	now := time.Now()
	listed := map[string]bool{}
	for _, i := range r.Items {
		if t, ok := c.read(i); ok {
			listed[t.ID] = true
			c.list(t, i.Value, from, now)
		}
	}
	var lost []*entry
	for id, e := range c.known {
		if !listed[id] && e.missing.IsZero() {
			lost = append(lost, e)
		}
	}
	c.miss(lost, from, now)
	if c.picture.Load() == nil {
		c.log.Info("The targets are known.", "count", len(c.known), "revision", r.Revision, "from", from)
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// logChange logs a change. The first reading of all is told in one line.
func (c *Catalog) logChange(msg string, fields ...any) {
	if c.picture.Load() != nil {
		c.log.Info(msg, fields...)
	}
}

// older tells whether what was read at a revision is no news.
func (c *Catalog) older(revision uint64, began time.Time) bool {
	p := c.picture.Load()
	return p != nil && (revision < p.Revision || (revision == p.Revision && !began.After(p.Began)))
}

func (c *Catalog) read(i hookhall.Item) (hookhall.Target, bool) {
	t, err := c.platform.ReadTarget(i.Key, i.Value)
	if err != nil {
		c.log.Error("A target's key can't be read.", "key", i.Key, "error", err.Error())
	}
	return t, err == nil
}

// digest sums up what matters of a target; its heartbeats don't, nor does a countdown
// that each of them moves.
func digest(t hookhall.Target) uint64 {
	t.Beat = 0
	t.ColdLeft = min(t.ColdLeft, 1)
	return xxhash.Sum64String(fmt.Sprintf("%+v", t))
}

// list takes in a target that is listed.
func (c *Catalog) list(t hookhall.Target, value []byte, from string, now time.Time) {
	e := c.known[t.ID]
	if e == nil {
		e = &entry{target: t}
		if c.picture.Load() != nil {
			e.changed = now // what is news to a newcomer is none to the others
		}
		c.known[t.ID] = e
		c.logChange("A target is listed.", "target", t.ID, "service", t.Pool, "address", t.Address, "hall", t.Hall, "leaving", t.Leaving, "from", from)
	}
	if !e.missing.IsZero() {
		c.log.Info("A target is listed again.", "target", t.ID, "service", t.Pool, "after", now.Sub(e.missing))
		e.missing, e.lapsed, e.changed = time.Time{}, time.Time{}, now
	}
	if t.Leaving && !e.left {
		e.left = true
		c.log.Info("A target is leaving.", "target", t.ID, "service", t.Pool, "from", from)
	}
	if digest(t) != digest(e.target) {
		e.changed = now
	}
	if !bytes.Equal(value, e.value) || e.value == nil {
		// A key that was read before says nothing new of how long it is cold.
		e.coldUntil = chill(t, now)
	}
	e.target, e.value = t, value
}

// chill is until when a target is cold that has just written its key.
func chill(t hookhall.Target, now time.Time) time.Time {
	if t.ColdLeft <= 0 {
		return time.Time{}
	}
	return now.Add(t.ColdLeft)
}

// miss takes in targets that are not listed any more.
func (c *Catalog) miss(lost []*entry, from string, now time.Time) {
	listed := 0
	for id, e := range c.known {
		if e.missing.IsZero() {
			listed++
		} else if now.Sub(e.missing) > forget {
			delete(c.known, id)
		}
	}
	lapse := len(lost) >= massLeast && float64(len(lost)) > massLoss*float64(listed)
	for _, e := range lost {
		e.missing, e.changed = now, now
		if lapse {
			e.lapsed = now.Add(lapseFor)
		}
		c.log.Info("A target is missing.", "target", e.target.ID, "service", e.target.Pool, "from", from, "lapse", lapse, "left", e.left)
	}
}
