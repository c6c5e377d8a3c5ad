// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// RepairRequest is what a process that lacks changes asks a peer for.
type RepairRequest struct {
	// Since is the revision up to which the process has all changes; 0 asks for whole buckets.
	Since   hookhall.Revision
	Digests Digests
}

// Repair has the sender's changes since a revision or, if Since is 0, its listed targets of the
// buckets in which the receiver's digests differ.
type Repair struct {
	Reading
	Since   hookhall.Revision
	Gone    []string // keys that were removed since
	Buckets []int
	// Digest combines all buckets, including those that do not differ; 0 if the sender has changes
	// after Revision.
	Digest uint64
}

// RepairRequest returns the request for what this process lacks.
func (c *Catalog) RepairRequest() RepairRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := RepairRequest{Digests: c.bucketDigests}
	if snapshot := c.snapshot.Load(); snapshot != nil && !c.needsBuckets {
		r.Since = snapshot.Revision
	}
	return r
}

// RepairFor returns the repair that a peer asked for. It has whole buckets if this process does not
// know all keys that were removed since the peer's revision.
func (c *Catalog) RepairFor(request RepairRequest) Repair {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return Repair{}
	}
	r := Repair{Reading: Reading{Revision: snapshot.Revision, Began: snapshot.Began}}
	if c.lastUpdate <= snapshot.Revision {
		r.Digest = c.bucketDigests.combined() // else of a later list
	}
	since := request.Since
	if since > 0 && since >= c.forgottenRevision && since.Era() == snapshot.Revision.Era() {
		r.Since = since
		c.addChangesSince(&r, since)
		return r
	}
	c.addBuckets(&r, request.Digests)
	return r
}

// addChangesSince adds the targets that were listed, changed or removed after a revision. c.mu must
// be held.
func (c *Catalog) addChangesSince(r *Repair, since hookhall.Revision) {
	for key, e := range c.entriesByKey {
		switch {
		case e.changedRevision <= since && e.changedRevision > 0:
		case e.missingSince.IsZero():
			r.Items = append(r.Items, hookhall.Item{Key: key, Value: e.value, Revision: e.revision})
		default:
			r.Gone = append(r.Gone, key)
		}
	}
}

// addBuckets adds the listed targets of the buckets in which the peer's digests differ from those of
// this process. c.mu must be held.
func (c *Catalog) addBuckets(r *Repair, theirs Digests) {
	differs := [BucketCount]bool{}
	for b := range BucketCount {
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
}

// ApplyRepair applies a repair from a peer, and reports whether the snapshot is now as recent as
// the peer's. Otherwise the snapshot keeps its revision and age.
func (c *Catalog) ApplyRepair(r Repair, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil || c.isOlder(r.Revision, r.Began) || r.Since > snapshot.Revision {
		return false
	}
	now, complete := clock.Now(), false
	if r.Since > 0 {
		complete = c.applyChanges(r, from, now)
	} else {
		complete = c.applyBuckets(r, from, now)
	}
	if !complete {
		c.publish(snapshot.Revision, snapshot.Began, now)
		return false
	}
	c.log.Info("gap repaired", "from", from, "since", r.Since, "buckets", len(r.Buckets), "targets", len(r.Items), "gone", len(r.Gone), "revision", r.Revision)
	if c.bucketDigests.combined() == r.Digest {
		c.syncedRevision = r.Revision
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// applyChanges applies the changes since this process's revision, and reports whether the list is
// complete up to that of the repair. Its digest shows that, unless either side has changes of a
// later update; the next update then shows it. Whole buckets are asked for if the changes are
// not enough. c.mu must be held.
func (c *Catalog) applyChanges(r Repair, from string, now time.Time) bool {
	for _, i := range r.Items {
		c.applyItem(i, from, now)
	}
	c.markMissing(c.removedEntries(r.Gone, r.Revision), r.Revision, c.isLaterEra(r.Revision), from, now)
	isLater := r.Digest == 0 || c.lastUpdate > r.Revision
	c.needsBuckets = !isLater && c.bucketDigests.combined() != r.Digest
	return !c.needsBuckets
}

// applyBuckets replaces the listed targets of whole buckets, and reports whether all buckets agree
// with the sender's. c.mu must be held.
func (c *Catalog) applyBuckets(r Repair, from string, now time.Time) bool {
	repaired := [BucketCount]bool{}
	for _, b := range r.Buckets {
		if b < 0 || b >= BucketCount {
			return false
		}
		repaired[b] = true
	}
	listed := map[string]bool{}
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
	}
	lost := c.unlisted(listed, r.Revision, func(key string) bool { return repaired[bucketOf(key)] })
	c.markMissing(lost, r.Revision, c.isLaterEra(r.Revision), from, now)
	c.needsBuckets = false // if an update has arrived meanwhile, changes are enough the next time
	return c.bucketDigests.combined() == r.Digest
}

// removedEntries returns the entries of keys that were removed at a revision or before it and are
// still listed here, and records the removal of those that are not. c.mu must be held.
func (c *Catalog) removedEntries(keys []string, revision hookhall.Revision) []*entry {
	var list []*entry
	for _, key := range keys {
		e := c.entriesByKey[key]
		switch {
		case e == nil:
			c.forgetRemoval(revision)
		case e.missingSince.IsZero() && e.revision <= revision:
			list = append(list, e)
		case !e.missingSince.IsZero():
			e.markRemoved(revision)
		}
	}
	return list
}
