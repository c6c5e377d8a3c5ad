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
	// lapseTimeout is how long targets that went missing together stay usable: the platform
	// guarantees that those which run and reach the store are listed again about two seconds
	// after its return.
	lapseTimeout = 2 * time.Second
	// massLossShare is the share of all listed targets, and minMassLoss the number, that must go
	// missing in one reading for the loss to count as leases that expired during an outage of
	// the store rather than as targets that left.
	massLossShare = 0.4
	minMassLoss   = 3
	// missingTTL is how long the entry of a missing target is kept, so that an older reading
	// cannot list it again.
	missingTTL = 30 * time.Second
	// maxChangeLines is the number of lines per second about changes of single targets, and of those
	// that may follow each other at once.
	maxChangeLines = 100
	// sweepInterval is the minimum interval between checks of all entries for expiry: a check at
	// each change would be too frequent with thousands of targets.
	sweepInterval = time.Second
	// maxRejected bounds the rejected keys that are recorded so that each is logged once. It is
	// as large as the number of targets may be.
	maxRejected = 4096
)

// entry is the known state of one target.
type entry struct {
	key    string
	target hookhall.Target
	// digest is the targetDigest of target.
	digest uint64
	// missingSince is when a reading first lacked the target; zero while it is listed.
	missingSince time.Time
	// lapsesAt is the time until which a missing target stays usable; zero if it does not.
	lapsesAt time.Time
	// value is the key's value as last read. changedAt is when this process last received a
	// change of targetDigest, or of whether the target is listed; zero if there was none since
	// the first reading.
	value     []byte
	changedAt time.Time
	// sends is the number of updates to all peers that had that change.
	sends int
	// revision is the store's revision at the key's last known change, 0 if the sender of the
	// change did not give it.
	revision hookhall.Revision
	// changedRevision is that of the last known change of digest, or of whether the target is
	// listed: unlike revision it does not grow with each heartbeat.
	changedRevision hookhall.Revision
	// isLeaving is set once the present incarnation has announced that it is leaving.
	isLeaving bool
	// departedAfter is a time at which the present incarnation was listed and not leaving, and after which it
	// began to leave or its key was removed. It is zero if it has not, or if no such time is known.
	departedAfter time.Time
	// coldUntil is the end of the cold time that the target reported, counted from when this
	// process received the report, which is later than when the target wrote it.
	coldUntil time.Time
}

// markRemoved records that a missing target was removed at a revision, or before it.
func (e *entry) markRemoved(revision hookhall.Revision) {
	e.revision = max(e.revision, revision)
	e.changedRevision = e.revision
}

// usable reports whether the target may get requests, its hall aside.
func (e *entry) usable(now time.Time) bool {
	if e.isLeaving || e.target.Leaving {
		return false
	}
	return e.missingSince.IsZero() || now.Before(e.lapsesAt)
}

// targetDigest returns a hash of the fields of a target whose changes are sent to peers. It leaves
// out the heartbeat count and the remaining cold time, which change with each heartbeat.
func targetDigest(t *hookhall.Target) uint64 {
	var b [512]byte
	text := b[:0]
	for _, s := range []string{t.ID, t.Pool, t.Hall, t.Address, t.Version} {
		text = append(append(text, s...), 0)
	}
	text = binary.AppendVarint(text, int64(t.Slots))
	text = binary.AppendVarint(text, t.Start)
	for _, on := range []bool{t.Streams, t.Leaving, t.ColdLeft > 0} {
		if on {
			text = append(text, 1)
		} else {
			text = append(text, 0)
		}
	}
	return xxhash.Sum64(text)
}

// rejectItem handles a key that holds no valid target: another writer has left it, or has
// overwritten a target's own key. That target gets no new requests until its own value is
// back. Each rejected value is logged once. c.mu must be held.
func (c *Catalog) rejectItem(i hookhall.Item, e *entry, cause error, from string, now time.Time) {
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
	c.log.Warn("key holds no valid target", "key", i.Key, "bytes", len(i.Value), "from", from, "error", cause.Error())
}

// applyItem applies a key that is listed. Most values are already known and return early.
// c.mu must be held.
func (c *Catalog) applyItem(i hookhall.Item, from string, now time.Time) {
	e := c.entriesByKey[i.Key]
	if e != nil && i.Revision > 0 && i.Revision < e.revision {
		return // a delayed report of an earlier incarnation or an earlier value
	}
	if e != nil && e.missingSince.IsZero() && bytes.Equal(e.value, i.Value) {
		e.revision = max(e.revision, i.Revision)
		return
	}
	t, err := c.schema.ReadTarget(i.Key, i.Value)
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
		c.logChange(now, "target listed again", "target", t.ID, "service", t.Pool, "after", now.Sub(e.missingSince))
		e.changedAt, e.sends = now, 0
	}
	if wasListed, digest := e.missingSince.IsZero(), e.digest; !wasListed || digest != targetDigest(&t) {
		e.changedRevision = i.Revision
	}
	c.updateEntry(e, t, i.Value, from, now)
	e.revision = max(e.revision, i.Revision)
}

// addEntry adds an entry for a target, as missing until updateEntry. c.mu must be held.
func (c *Catalog) addEntry(key string, t hookhall.Target, from string, now time.Time) *entry {
	e := &entry{key: key, target: t, missingSince: now}
	c.entriesByKey[key] = e
	c.index(e)
	if c.snapshot.Load() != nil {
		// The first reading is no change to peers, and is logged as one line.
		e.changedAt, e.sends = now, 0
		c.logChange(now, "target listed", "target", t.ID, "service", t.Pool, "address", t.Address, "hall", t.Hall, "leaving", t.Leaving, "from", from)
	}
	return e
}

// updateEntry sets an entry to what the key of a listed target holds. c.mu must be held.
func (c *Catalog) updateEntry(e *entry, t hookhall.Target, value []byte, from string, now time.Time) {
	sum := targetDigest(&t)
	if t.Incarnation() != e.target.Incarnation() {
		c.startIncarnation(e, t, from)
	}
	if !e.missingSince.IsZero() {
		c.listedCount++
		c.toggleDigest(e, sum)
		c.markDirty(e)
	} else if sum != e.digest {
		c.toggleDigest(e, e.digest^sum)
		c.markDirty(e)
		e.changedAt, e.sends = now, 0
	}
	wasListed := e.missingSince.IsZero()
	e.missingSince, e.lapsesAt = time.Time{}, time.Time{}
	if !e.isLeaving {
		e.departedAfter = time.Time{}
	}
	if !e.isLeaving && (t.Leaving || c.hasDeparted(t.Incarnation(), now)) {
		if wasListed {
			c.recordDeparture(e)
		}
		e.isLeaving = true
		c.markDirty(e)
		c.logChange(now, "target leaving", "target", t.ID, "service", t.Pool, "from", from)
	}
	if t.Pool != e.target.Pool || t.Address != e.target.Address {
		c.listingsByAddress.CompareAndDelete(e.target.Address, listingOf(e)) // another target may have taken the address
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

// startIncarnation handles a target that is listed in another incarnation: the state of the
// previous one does not apply, so a target that was leaving gets requests again. c.mu must be held.
func (c *Catalog) startIncarnation(e *entry, t hookhall.Target, from string) {
	c.log.Info("target restarted", "target", t.ID, "service", t.Pool, "born", t.Start, "before", e.target.Start, "left", e.isLeaving, "from", from)
	e.isLeaving, e.departedAfter = false, time.Time{}
	c.OnRestart(e.target, t)
}

// toggleDigest adds sum to the digest of a target's bucket, or removes it. c.mu must be held.
func (c *Catalog) toggleDigest(e *entry, sum uint64) { c.bucketDigests[bucketOf(e.key)] ^= sum }

// index makes an entry accessible by its service and its address. c.mu must be held.
func (c *Catalog) index(e *entry) {
	if c.entriesByPool[e.target.Pool] == nil {
		c.entriesByPool[e.target.Pool] = map[string]*entry{}
	}
	c.entriesByPool[e.target.Pool][e.key] = e
	c.markDirty(e)
	c.listingsByAddress.Store(e.target.Address, listingOf(e))
}

// listing is the hall, the service and the key of the target last listed at an address.
type listing struct{ hall, pool, key string }

func listingOf(e *entry) listing { return listing{e.target.Hall, e.target.Pool, e.key} }

// unindex removes an entry from the index by service. c.mu must be held.
func (c *Catalog) unindex(e *entry) {
	delete(c.entriesByPool[e.target.Pool], e.key)
	c.markDirty(e)
}

// coldUntil returns the end of a target's cold time, counted from now, when its value arrived.
func coldUntil(t hookhall.Target, now time.Time) time.Time {
	if t.ColdLeft <= 0 {
		return time.Time{}
	}
	return now.Add(t.ColdLeft)
}

// markMissing marks entries as missing, as of a revision. restored is true if the store was
// restored from an older copy, which lacks the targets that started later: they stay usable for
// lapseTimeout. c.mu must be held.
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
		c.recordDeparture(e)
		c.unlist(e, revision, from, now)
	}
}

// removeExpired removes entries that have been missing for longer than missingTTL. c.mu must be
// held.
func (c *Catalog) removeExpired(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for key, e := range c.entriesByKey {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingTTL {
			c.unindex(e)
			if e.isLeaving {
				c.recordDeparted(e.target.Incarnation(), now)
			}
			delete(c.entriesByKey, key)
			c.forgetRemoval(e.changedRevision)
			c.listingsByAddress.CompareAndDelete(e.target.Address, listingOf(e))
		}
	}
}

// unlist marks one entry as missing, as of a revision. c.mu must be held.
func (c *Catalog) unlist(e *entry, revision hookhall.Revision, from string, now time.Time) {
	c.listedCount--
	e.missingSince, e.changedAt, e.sends = now, now, 0
	e.markRemoved(revision)
	c.toggleDigest(e, e.digest)
	c.markDirty(e)
	c.logChange(now, "target missing", "target", e.target.ID, "service", e.target.Pool, "from", from, "lapse", !e.lapsesAt.IsZero(), "left", e.isLeaving)
}

// logChange logs a change of one target, up to maxChangeLines a second: when a fleet starts, each
// gateway learns of thousands of targets within seconds. The next line that is logged has the
// number of those that were not. c.mu must be held.
func (c *Catalog) logChange(now time.Time, message string, fields ...any) {
	if !c.changeLines.AllowN(now, 1) {
		c.unloggedChanges++
		return
	}
	if c.unloggedChanges > 0 {
		fields = append(fields, "not_logged_before", c.unloggedChanges)
		c.unloggedChanges = 0
	}
	c.log.Info(message, fields...)
}

// forgetRemoval records that a key was removed at a revision, or before it, and that this process
// does not know which one. c.mu must be held.
func (c *Catalog) forgetRemoval(revision hookhall.Revision) {
	c.forgottenRevision = max(c.forgottenRevision, revision)
}
