// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"encoding/binary"
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
	// forgetAfter is for how long a target that is gone is remembered, so that an
	// older reading can't bring it back.
	forgetAfter = 30 * time.Second
	// sweepEvery is how often all targets are looked through for those: each change
	// would be too often among thousands.
	sweepEvery = time.Second
	// rejectedMost bounds the keys that are remembered as naming no target, so that each
	// is logged once: as many as targets.
	rejectedMost = 4096
)

// entry is what is known of one target.
type entry struct {
	key    string
	target hookhall.Target
	// sum is the digest of target.
	sum uint64
	// missing is when a reading first lacked it, zero while it is listed.
	missing time.Time
	// lapsed is until when a missing target is used all the same.
	lapsed time.Time
	// value is the key's value as last read, and changed when it, or its absence,
	// last became known; heartbeats don't count.
	value   []byte
	changed time.Time
	// revision is the store's at the key's last change that is known, 0 when whoever told
	// of it did not say.
	revision hookhall.Revision
	// left is set once its present life said that it leaves.
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

// digest sums up what matters of a target; its heartbeats don't, nor does a countdown
// that each of them moves.
func digest(t *hookhall.Target) uint64 {
	var b [512]byte
	text := b[:0]
	for _, s := range []string{t.ID, t.Pool, t.Hall, t.Address, t.Version} {
		text = append(append(text, s...), 0)
	}
	text = binary.AppendVarint(text, int64(t.Slots))
	text = binary.AppendVarint(text, t.Born)
	for _, on := range []bool{t.Streams, t.Leaving, t.ColdLeft > 0} {
		if on {
			text = append(text, 1)
		} else {
			text = append(text, 0)
		}
	}
	return xxhash.Sum64(text)
}

// reject takes in a key that names no target: another writer left it, or wrote over a
// target's own. That target gets nothing until its own is back. What is rejected is logged
// once. The caller holds c.mu.
func (c *Catalog) reject(i hookhall.Item, e *entry, why error, from string, now time.Time) {
	if e != nil {
		e.lapsed = time.Time{}
		c.touch(e)
	}
	if e != nil && e.missing.IsZero() {
		c.drop(e, i.Revision, from, now)
	}
	sum := xxhash.Sum64(i.Value)
	if known, ok := c.rejected[i.Key]; ok && known == sum {
		return
	}
	if len(c.rejected) >= rejectedMost {
		clear(c.rejected)
	}
	c.rejected[i.Key] = sum
	c.log.Warn("A key names no target.", "key", i.Key, "bytes", len(i.Value), "from", from, "error", why.Error())
}

// take takes in a key that is listed. The value of most is the one that is known, and
// costs nothing to take in again. The caller holds c.mu.
func (c *Catalog) take(i hookhall.Item, from string, now time.Time) {
	e := c.known[i.Key]
	if e != nil && i.Revision > 0 && i.Revision < e.revision {
		return // news of an earlier life, or of an earlier word, that took a longer way
	}
	if e != nil && e.missing.IsZero() && bytes.Equal(e.value, i.Value) {
		e.revision = max(e.revision, i.Revision)
		return
	}
	t, err := c.platform.ReadTarget(i.Key, i.Value)
	if err != nil {
		c.reject(i, e, err, from, now)
		return
	}
	if c.copied(e, t, i.Revision, now) {
		return
	}
	delete(c.rejected, i.Key)
	if e == nil {
		e = c.add(i.Key, t, from, now)
	} else if !e.missing.IsZero() {
		c.log.Info("A target is listed again.", "target", t.ID, "service", t.Pool, "after", now.Sub(e.missing))
		e.changed = now
	}
	c.list(e, t, i.Value, from, now)
	e.revision = max(e.revision, i.Revision)
}

// add begins to know a target. The caller holds c.mu.
func (c *Catalog) add(key string, t hookhall.Target, from string, now time.Time) *entry {
	e := &entry{key: key, target: t, missing: now}
	c.known[key] = e
	c.index(e)
	if c.picture.Load() != nil {
		// What is news to a newcomer is none to the others, and is told in one line.
		e.changed = now
		c.log.Info("A target is listed.", "target", t.ID, "service", t.Pool, "address", t.Address, "hall", t.Hall, "leaving", t.Leaving, "from", from)
	}
	return e
}

// list takes in what a listed target's key says. The caller holds c.mu.
func (c *Catalog) list(e *entry, t hookhall.Target, value []byte, from string, now time.Time) {
	sum := digest(&t)
	if t.Life() != e.target.Life() {
		c.begin(e, t, from)
	}
	if !e.missing.IsZero() {
		c.listed++
		c.toggle(e, sum)
		c.touch(e)
	} else if sum != e.sum {
		c.toggle(e, e.sum^sum)
		c.touch(e)
		e.changed = now
	}
	e.missing, e.lapsed = time.Time{}, time.Time{}
	if !e.left && (t.Leaving || c.hasDeparted(t.Life(), now)) {
		e.left = true
		c.touch(e)
		c.log.Info("A target is leaving.", "target", t.ID, "service", t.Pool, "from", from)
	}
	if t.Pool != e.target.Pool || t.Address != e.target.Address {
		c.unindex(e)
		e.target = t
		c.index(e)
	}
	if until := coldBy(t, now); !until.Equal(e.coldUntil) {
		e.coldUntil = until
		c.touch(e)
	}
	e.target, e.sum, e.value = t, sum, value
}

// begin takes in that a target is in another life, of which nothing is known: one that was
// leaving takes work again. The caller holds c.mu.
func (c *Catalog) begin(e *entry, t hookhall.Target, from string) {
	c.log.Info("A target is in another life.", "target", t.ID, "service", t.Pool, "born", t.Born, "before", e.target.Born, "left", e.left, "from", from)
	e.left = false
	c.Reborn(e.target, t)
}

// toggle changes the digest of a target's bucket. The caller holds c.mu.
func (c *Catalog) toggle(e *entry, sum uint64) { c.buckets[bucketOf(e.key)] ^= sum }

// index has a target found by its service and its address from now on. The caller holds
// c.mu.
func (c *Catalog) index(e *entry) {
	if c.pools[e.target.Pool] == nil {
		c.pools[e.target.Pool] = map[string]*entry{}
	}
	c.pools[e.target.Pool][e.key] = e
	c.touch(e)
	c.hallAt.Store(e.target.Address, residentOf(e))
}

// resident is the target that was last listed at an address.
type resident struct{ hall, pool, key string }

func residentOf(e *entry) resident { return resident{e.target.Hall, e.target.Pool, e.key} }

// unindex ends that. The caller holds c.mu.
func (c *Catalog) unindex(e *entry) {
	delete(c.pools[e.target.Pool], e.key)
	c.touch(e)
}

// coldBy is until when a target is cold that has just written its key.
func coldBy(t hookhall.Target, now time.Time) time.Time {
	if t.ColdLeft <= 0 {
		return time.Time{}
	}
	return now.Add(t.ColdLeft)
}

// miss takes in targets that are not listed any more, as of a revision. restored tells that
// the store has come back from a copy, which lacks those that started later. The caller
// holds c.mu.
func (c *Catalog) miss(lost []*entry, revision hookhall.Revision, restored bool, from string, now time.Time) {
	if len(lost) == 0 {
		return
	}
	c.forget(now)
	lapse := restored || (len(lost) >= massLeast && float64(len(lost)) > massLoss*float64(c.listed))
	for _, e := range lost {
		if lapse {
			e.lapsed = now.Add(lapseFor)
			c.lapseEnds = e.lapsed
		}
		c.drop(e, revision, from, now)
	}
}

// forget drops targets that have been gone for long. The caller holds c.mu.
func (c *Catalog) forget(now time.Time) {
	if now.Sub(c.swept) < sweepEvery {
		return
	}
	c.swept = now
	for key, e := range c.known {
		if !e.missing.IsZero() && now.Sub(e.missing) > forgetAfter {
			c.unindex(e)
			if e.left {
				c.depart(e.target.Life(), now)
			}
			delete(c.known, key)
			c.hallAt.CompareAndDelete(e.target.Address, residentOf(e))
		}
	}
}

// drop takes a target off the list, as of a revision. The caller holds c.mu.
func (c *Catalog) drop(e *entry, revision hookhall.Revision, from string, now time.Time) {
	c.listed--
	e.missing, e.changed = now, now
	e.revision = max(e.revision, revision)
	c.toggle(e, e.sum)
	c.touch(e)
	c.log.Info("A target is missing.", "target", e.target.ID, "service", e.target.Pool, "from", from, "lapse", !e.lapsed.IsZero(), "left", e.left)
}
