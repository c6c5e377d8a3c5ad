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

// changeResendTime is for how long a change is told again with each piece of news: twice or
// three times. A process that has missed all of them repairs the buckets that differ.
const changeResendTime = time.Second

// Buckets is how many buckets the targets are divided into, by their keys. With 3,000
// targets, a bucket has some 50, and is repaired in some 2 KB.
const Buckets = 64

// bucketOf is the bucket of a key.
func bucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// Digests sum up the listed targets of each bucket. Equal ones mean equal lists.
type Digests [Buckets]uint64

// whole sums up all targets.
func (d *Digests) combined() uint64 {
	sum := uint64(0)
	for _, s := range d {
		sum ^= s
	}
	return sum
}

// News is what a reading of the targets changed lately. A process that has all
// earlier changes gets to the same list, which the digest proves.
type News struct {
	Revision hookhall.Revision
	Began    time.Time // when the reading began, by this process's steady clock
	Digest   uint64
	Changed  []hookhall.Item
	Gone     []string // keys
}

// News is what this process last learned.
func (c *Catalog) News(now time.Time) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.snapshot.Load()
	if p == nil {
		return News{}
	}
	n := News{Revision: p.Revision, Began: p.Began, Digest: p.Digest}
	for key, e := range c.entriesByKey {
		switch {
		case now.Sub(e.changedAt) > changeResendTime:
		case e.missingSince.IsZero():
			n.Changed = append(n.Changed, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		default:
			n.Gone = append(n.Gone, key)
		}
	}
	sort.Slice(n.Changed, func(i, j int) bool { return n.Changed[i].Key < n.Changed[j].Key })
	sort.Strings(n.Gone)
	return n
}

// LearnNews takes in what a peer has learned. It tells whether that was newer, and
// whether this process lacks earlier changes: then its digest differs, and the changes
// count, but its picture stays as old as it was until the gap is repaired.
func (c *Catalog) LearnNews(n News, from string) (fresh, gap bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.snapshot.Load()
	if p == nil || c.isOlder(n.Revision, n.Began) {
		return false, false
	}
	now := clock.Now()
	for _, i := range n.Changed {
		c.applyItem(i, from, now)
	}
	var lost []*entry
	for _, key := range n.Gone {
		if e := c.entriesByKey[key]; e != nil && e.missingSince.IsZero() && e.revision <= n.Revision {
			lost = append(lost, e)
		}
	}
	c.markMissing(lost, n.Revision, c.isLaterEra(n.Revision), from, now)
	if c.bucketDigests.combined() == n.Digest {
		c.syncedRevision = n.Revision
		c.publish(n.Revision, n.Began, now)
		return true, false
	}
	c.publish(p.Revision, p.Began, now)
	c.log.Info("News leaves a gap; it is to be repaired.", "from", from, "revision", n.Revision, "have", p.Revision)
	return true, true
}

// Digests are those of all buckets.
func (c *Catalog) Digests() Digests {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bucketDigests
}

// Repair is what a process believes of the buckets in which another one differs.
type Repair struct {
	Reading
	Buckets []int
	// Digest sums up all buckets, also those that don't differ.
	Digest uint64
}

// Differing is what this process believes of the buckets in which a peer's digests
// differ from its own.
func (c *Catalog) Differing(theirs Digests) Repair {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.snapshot.Load()
	if p == nil {
		return Repair{}
	}
	r := Repair{Reading: Reading{Revision: p.Revision, Began: p.Began}, Digest: c.bucketDigests.combined()}
	differs := [Buckets]bool{}
	for b := range Buckets {
		if c.bucketDigests[b] != theirs[b] {
			differs[b] = true
			r.Buckets = append(r.Buckets, b)
		}
	}
	for key, e := range c.entriesByKey {
		if e.missingSince.IsZero() && differs[bucketOf(key)] {
			r.Items = append(r.Items, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		}
	}
	return r
}

// Reading is all that this process believes to be listed, as of its last reading.
func (c *Catalog) Reading() Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.snapshot.Load()
	if p == nil {
		return Reading{}
	}
	r := Reading{Revision: p.Revision, Began: p.Began}
	for key, e := range c.entriesByKey {
		if e.missingSince.IsZero() {
			r.Items = append(r.Items, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		}
	}
	return r
}

// LearnRepair takes in what a peer believes of some buckets. The picture is as new as
// the peer's only if all buckets agree then.
func (c *Catalog) LearnRepair(r Repair, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.snapshot.Load()
	if p == nil || c.isOlder(r.Revision, r.Began) {
		return false
	}
	now := clock.Now()
	told := [Buckets]bool{}
	for _, b := range r.Buckets {
		if b < 0 || b >= Buckets {
			return false
		}
		told[b] = true
	}
	listed := map[string]bool{}
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
	}
	c.markMissing(c.unlisted(listed, r.Revision, func(key string) bool { return told[bucketOf(key)] }), r.Revision, c.isLaterEra(r.Revision), from, now)
	if c.bucketDigests.combined() != r.Digest {
		c.publish(p.Revision, p.Began, now)
		return false
	}
	c.log.Info("A gap is repaired.", "from", from, "buckets", len(r.Buckets), "targets", len(r.Items), "revision", r.Revision)
	c.syncedRevision = r.Revision
	c.publish(r.Revision, r.Began, now)
	return true
}

// unlisted are the targets with certain keys that are listed here, and were already at a
// revision, but not in a reading of that. The caller holds c.mu.
func (c *Catalog) unlisted(listed map[string]bool, revision hookhall.Revision, which func(key string) bool) []*entry {
	var lost []*entry
	for key, e := range c.entriesByKey {
		if !listed[key] && e.missingSince.IsZero() && e.revision <= revision && which(key) {
			lost = append(lost, e)
		}
	}
	return lost
}

// lapsing tells whether a target's time to come back was running at a time.
func (c *Catalog) hasLapsed(at time.Time) bool { return c.lastLapseEnd.After(at) }
