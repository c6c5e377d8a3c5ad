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
	// lapseTimeout is how long targets that went missing together have to come back:
	// the platform promises that those which live and reach the store are listed
	// again about two seconds after its return.
	lapseTimeout = 2 * time.Second
	// massLossShare is the share of all targets that must go missing in one reading, and
	// minMassLoss their least number, to be put down to leases that expired while the
	// store was away rather than to targets that left.
	massLossShare = 0.4
	minMassLoss   = 3
	// missingTTL is for how long a target that is gone is remembered, so that an
	// older reading can't bring it back.
	missingTTL = 30 * time.Second
	// sweepInterval is how often all targets are looked through for those: each change
	// would be too often among thousands.
	sweepInterval = time.Second
	// maxRejected bounds the keys that are remembered as naming no target, so that each
	// is logged once: as many as targets.
	maxRejected = 4096
)

// entry is what is known of one target.
type entry struct {
	key    string
	target hookhall.Target
	// sum is the digest of target.
	digest uint64
	// missing is when a reading first lacked it, zero while it is listed.
	missingSince time.Time
	// lapsed is until when a missing target is used all the same.
	lapsesAt time.Time
	// value is the key's value as last read, and changed when it, or its absence,
	// last became known; heartbeats don't count.
	value     []byte
	changedAt time.Time
	// revision is the store's at the key's last change that is known, 0 when whoever told
	// of it did not say.
	revision hookhall.Revision
	// left is set once its present life said that it leaves.
	isLeaving bool
	// coldDeadline is until when it is cold by its own word, counted from when this
	// process heard it, which is later than when it was said.
	coldUntil time.Time
}

func (e *entry) usable(now time.Time) bool {
	if e.isLeaving || e.target.Leaving {
		return false
	}
	return e.missingSince.IsZero() || now.Before(e.lapsesAt)
}

// digest sums up what matters of a target; its heartbeats don't, nor does a countdown
// that each of them moves.
func targetDigest(t *hookhall.Target) uint64 {
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
func (c *Catalog) rejectItem(i hookhall.Item, e *entry, why error, from string, now time.Time) {
	if e != nil {
		e.lapsesAt = time.Time{}
		c.markDirty(e)
	}
	if e != nil && e.missingSince.IsZero() {
		c.unlist(e, i.Revision, from, now)
	}
	sum := xxhash.Sum64(i.Value)
	if known, ok := c.rejectedHashes[i.Key]; ok && known == sum {
		return
	}
	if len(c.rejectedHashes) >= maxRejected {
		clear(c.rejectedHashes)
	}
	c.rejectedHashes[i.Key] = sum
	c.log.Warn("A key names no target.", "key", i.Key, "bytes", len(i.Value), "from", from, "error", why.Error())
}

// take takes in a key that is listed. The value of most is the one that is known, and
// costs nothing to take in again. The caller holds c.mu.
func (c *Catalog) applyItem(i hookhall.Item, from string, now time.Time) {
	e := c.entriesByKey[i.Key]
	if e != nil && i.Revision > 0 && i.Revision < e.revision {
		return // news of an earlier life, or of an earlier word, that took a longer way
	}
	if e != nil && e.missingSince.IsZero() && bytes.Equal(e.value, i.Value) {
		e.revision = max(e.revision, i.Revision)
		return
	}
	t, err := c.platform.ReadTarget(i.Key, i.Value)
	if err != nil {
		c.rejectItem(i, e, err, from, now)
		return
	}
	if c.isFromCopy(e, t, i.Revision, now) {
		return
	}
	delete(c.rejectedHashes, i.Key)
	if e == nil {
		e = c.addEntry(i.Key, t, from, now)
	} else if !e.missingSince.IsZero() {
		c.log.Info("A target is listed again.", "target", t.ID, "service", t.Pool, "after", now.Sub(e.missingSince))
		e.changedAt = now
	}
	c.updateEntry(e, t, i.Value, from, now)
	e.revision = max(e.revision, i.Revision)
}

// add begins to know a target. The caller holds c.mu.
func (c *Catalog) addEntry(key string, t hookhall.Target, from string, now time.Time) *entry {
	e := &entry{key: key, target: t, missingSince: now}
	c.entriesByKey[key] = e
	c.index(e)
	if c.snapshot.Load() != nil {
		// What is news to a newcomer is none to the others, and is told in one line.
		e.changedAt = now
		c.log.Info("A target is listed.", "target", t.ID, "service", t.Pool, "address", t.Address, "hall", t.Hall, "leaving", t.Leaving, "from", from)
	}
	return e
}

// list takes in what a listed target's key says. The caller holds c.mu.
func (c *Catalog) updateEntry(e *entry, t hookhall.Target, value []byte, from string, now time.Time) {
	sum := targetDigest(&t)
	if t.Life() != e.target.Life() {
		c.startIncarnation(e, t, from)
	}
	if !e.missingSince.IsZero() {
		c.listedCount++
		c.toggleDigest(e, sum)
		c.markDirty(e)
	} else if sum != e.digest {
		c.toggleDigest(e, e.digest^sum)
		c.markDirty(e)
		e.changedAt = now
	}
	e.missingSince, e.lapsesAt = time.Time{}, time.Time{}
	if !e.isLeaving && (t.Leaving || c.hasDeparted(t.Life(), now)) {
		e.isLeaving = true
		c.markDirty(e)
		c.log.Info("A target is leaving.", "target", t.ID, "service", t.Pool, "from", from)
	}
	if t.Pool != e.target.Pool || t.Address != e.target.Address {
		c.unindex(e)
		e.target = t
		c.index(e)
	}
	if until := coldUntil(t, now); !until.Equal(e.coldUntil) {
		e.coldUntil = until
		c.markDirty(e)
	}
	e.target, e.digest, e.value = t, sum, value
}

// begin takes in that a target is in another life, of which nothing is known: one that was
// leaving takes work again. The caller holds c.mu.
func (c *Catalog) startIncarnation(e *entry, t hookhall.Target, from string) {
	c.log.Info("A target is in another life.", "target", t.ID, "service", t.Pool, "born", t.Born, "before", e.target.Born, "left", e.isLeaving, "from", from)
	e.isLeaving = false
	c.Reborn(e.target, t)
}

// toggle changes the digest of a target's bucket. The caller holds c.mu.
func (c *Catalog) toggleDigest(e *entry, sum uint64) { c.bucketDigests[bucketOf(e.key)] ^= sum }

// index has a target found by its service and its address from now on. The caller holds
// c.mu.
func (c *Catalog) index(e *entry) {
	if c.entriesByPool[e.target.Pool] == nil {
		c.entriesByPool[e.target.Pool] = map[string]*entry{}
	}
	c.entriesByPool[e.target.Pool][e.key] = e
	c.markDirty(e)
	c.listingsByAddress.Store(e.target.Address, listingOf(e))
}

// resident is the target that was last listed at an address.
type listing struct{ hall, pool, key string }

func listingOf(e *entry) listing { return listing{e.target.Hall, e.target.Pool, e.key} }

// unindex ends that. The caller holds c.mu.
func (c *Catalog) unindex(e *entry) {
	delete(c.entriesByPool[e.target.Pool], e.key)
	c.markDirty(e)
}

// coldUntil is until when a target is cold that has just written its key.
func coldUntil(t hookhall.Target, now time.Time) time.Time {
	if t.ColdLeft <= 0 {
		return time.Time{}
	}
	return now.Add(t.ColdLeft)
}

// miss takes in targets that are not listed any more, as of a revision. restored tells that
// the store has come back from a copy, which lacks those that started later. The caller
// holds c.mu.
func (c *Catalog) markMissing(lost []*entry, revision hookhall.Revision, restored bool, from string, now time.Time) {
	if len(lost) == 0 {
		return
	}
	c.removeExpired(now)
	lapse := restored || (len(lost) >= minMassLoss && float64(len(lost)) > massLossShare*float64(c.listedCount))
	for _, e := range lost {
		if lapse {
			e.lapsesAt = now.Add(lapseTimeout)
			c.lastLapseEnd = e.lapsesAt
		}
		c.unlist(e, revision, from, now)
	}
}

// forget drops targets that have been gone for long. The caller holds c.mu.
func (c *Catalog) removeExpired(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for key, e := range c.entriesByKey {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingTTL {
			c.unindex(e)
			if e.isLeaving {
				c.rememberDeparted(e.target.Life(), now)
			}
			delete(c.entriesByKey, key)
			c.listingsByAddress.CompareAndDelete(e.target.Address, listingOf(e))
		}
	}
}

// drop takes a target off the list, as of a revision. The caller holds c.mu.
func (c *Catalog) unlist(e *entry, revision hookhall.Revision, from string, now time.Time) {
	c.listedCount--
	e.missingSince, e.changedAt = now, now
	e.revision = max(e.revision, revision)
	c.toggleDigest(e, e.digest)
	c.markDirty(e)
	c.log.Info("A target is missing.", "target", e.target.ID, "service", e.target.Pool, "from", from, "lapse", !e.lapsesAt.IsZero(), "left", e.isLeaving)
}
