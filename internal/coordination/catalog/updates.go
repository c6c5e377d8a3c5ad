// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// A change is repeated in updates for changeResendTime, but not more than maxChangeSends times: while
// changes come quickly, updates do, too. A process that has missed all of them asks for a repair.
const (
	changeResendTime = time.Second
	maxChangeSends   = 3
)

// copyTolerance is how much the times of two copies of one update may differ, as each path rounds
// ages. The updates of one reader are further apart.
const copyTolerance = 50 * time.Millisecond

// BucketCount is the number of buckets into which the targets are divided by the hash of their
// keys. With 3,000 targets, a bucket has some 50, and its repair takes some 2 KB.
const BucketCount = 64

// bucketOf returns the bucket of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % BucketCount) }

// Digests has the digest of the listed targets of each bucket. Equal digests mean equal lists.
type Digests [BucketCount]uint64

// combined returns the digest of all targets.
func (d *Digests) combined() uint64 {
	sum := uint64(0)
	for _, s := range d {
		sum ^= s
	}
	return sum
}

// Update has the recent changes of the targets, for peers. A process that has all earlier changes
// arrives at the same list, as the digest shows.
type Update struct {
	Revision hookhall.Revision
	Began    time.Time       // when the reading that confirmed Revision began, by this process's monotonic clock
	Digest   uint64          // of all targets
	Changed  []hookhall.Item // targets that were listed or changed
	Gone     []string        // keys that are no longer listed
}

// NextUpdate returns the update to send to all peers, with the changes that are not sent often enough
// yet.
func (c *Catalog) NextUpdate(now time.Time) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	update := c.recentUpdate(now)
	for _, i := range update.Changed {
		c.entriesByKey[i.Key].sends++
	}
	for _, key := range update.Gone {
		c.entriesByKey[key].sends++
	}
	return update
}

// RecentUpdate returns the same update for a single peer.
func (c *Catalog) RecentUpdate(now time.Time) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recentUpdate(now)
}

// recentUpdate returns the update with the recent changes. c.mu must be held.
func (c *Catalog) recentUpdate(now time.Time) Update {
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return Update{}
	}
	update := Update{Revision: snapshot.Revision, Began: snapshot.Began, Digest: snapshot.Digest}
	for key, e := range c.entriesByKey {
		switch {
		case now.Sub(e.changedAt) > changeResendTime || e.sends >= maxChangeSends:
		case e.missingSince.IsZero():
			update.Changed = append(update.Changed, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		default:
			update.Gone = append(update.Gone, key)
		}
	}
	sort.Slice(update.Changed, func(i, j int) bool { return update.Changed[i].Key < update.Changed[j].Key })
	sort.Strings(update.Gone)
	return update
}

// ApplyUpdate applies an update of a peer. It reports whether the update was newer, and whether
// this process lacks earlier changes, as a different digest shows. With such a gap the changes are
// applied, but the snapshot keeps its revision and age until the gap is repaired.
func (c *Catalog) ApplyUpdate(update Update, from string) (fresh, gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil || c.isOlder(update.Revision, update.Began) || c.isRepeated(update) {
		return false, false
	}
	c.lastUpdate = update.Revision
	c.lastUpdateBegan = update.Began
	now := clock.Now()
	for _, i := range update.Changed {
		c.applyItem(i, from, now)
	}
	c.markMissing(c.removedEntries(update.Gone, update.Revision), update.Revision, c.isLaterEra(update.Revision), from, now)
	if c.bucketDigests.combined() == update.Digest {
		c.syncedRevision, c.needsBuckets = update.Revision, false
		c.publish(update.Revision, update.Began, now)
		return true, false
	}
	c.publish(snapshot.Revision, snapshot.Began, now)
	c.log.Info("update leaves a gap; repair required", "from", from, "revision", update.Revision, "have", snapshot.Revision)
	return true, true
}

// isRepeated reports whether an update is a copy of the last one that was applied, on another path. A
// process with a gap, whose snapshot does not advance, would otherwise pass on every copy. c.mu must
// be held.
func (c *Catalog) isRepeated(update Update) bool {
	return update.Revision < c.lastUpdate || (update.Revision == c.lastUpdate && update.Began.Sub(c.lastUpdateBegan) < copyTolerance)
}

// Reading returns all listed targets, as of the last reading or update.
func (c *Catalog) Reading() Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return Reading{}
	}
	r := Reading{Revision: snapshot.Revision, Began: snapshot.Began}
	for key, e := range c.entriesByKey {
		if e.missingSince.IsZero() {
			r.Items = append(r.Items, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		}
	}
	return r
}

// unlisted returns the entries with matching keys that are listed here and were at a revision, but
// are not in a reading of that revision. c.mu must be held.
func (c *Catalog) unlisted(listed map[string]bool, revision hookhall.Revision, matches func(key string) bool) []*entry {
	var lost []*entry
	for key, e := range c.entriesByKey {
		if !listed[key] && e.missingSince.IsZero() && e.revision <= revision && matches(key) {
			lost = append(lost, e)
		}
	}
	return lost
}

// hasLapsed reports whether targets were still usable as lapsed at a given time. c.mu must be held.
func (c *Catalog) hasLapsed(at time.Time) bool { return c.lastLapseEnd.After(at) }
