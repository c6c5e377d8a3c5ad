// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// maxUnverified is the number of repairs in a row that may leave another digest than the peer's, as
// updates that arrive during a repair do, before the differing buckets are repaired instead.
const maxUnverified = 3

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
	// Digest combines all buckets, including those that do not differ.
	Digest uint64
}

// RepairRequest returns the request for what this process lacks.
func (c *Catalog) RepairRequest() RepairRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := RepairRequest{Digests: c.bucketDigests}
	if snapshot := c.snapshot.Load(); snapshot != nil && c.unverified < maxUnverified {
		r.Since = snapshot.Revision
	}
	return r
}

// RepairFor returns the repair that a peer asked for. It has whole buckets if this process no
// longer knows all keys that were removed since the peer's revision.
func (c *Catalog) RepairFor(request RepairRequest) Repair {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return Repair{}
	}
	r := Repair{Reading: Reading{Revision: snapshot.Revision, Began: snapshot.Began}, Digest: c.bucketDigests.combined()}
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
		case e.revision <= since && e.revision > 0:
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
// the peer's. After a repair of buckets that requires that all buckets agree. The changes since the
// own revision are complete in any case: their digest may differ because of an update that
// arrived meanwhile, and the next update shows whether it was that.
func (c *Catalog) ApplyRepair(r Repair, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	if snapshot == nil || c.isOlder(r.Revision, r.Began) || r.Since > snapshot.Revision {
		return false
	}
	repaired := [BucketCount]bool{}
	for _, b := range r.Buckets {
		if b < 0 || b >= BucketCount {
			return false
		}
		repaired[b] = true
	}
	now, restored := clock.Now(), c.isLaterEra(r.Revision)
	listed := map[string]bool{}
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
	}
	lost := c.listedEntries(r.Gone, r.Revision)
	if r.Since == 0 {
		lost = c.unlisted(listed, r.Revision, func(key string) bool { return repaired[bucketOf(key)] })
	}
	c.markMissing(lost, r.Revision, restored, from, now)
	verified := c.bucketDigests.combined() == r.Digest
	if !verified && r.Since == 0 {
		c.publish(snapshot.Revision, snapshot.Began, now)
		return false
	}
	c.log.Info("gap repaired", "from", from, "since", r.Since, "buckets", len(r.Buckets), "targets", len(r.Items), "gone", len(r.Gone), "verified", verified, "revision", r.Revision)
	if verified {
		c.syncedRevision, c.unverified = r.Revision, 0
	} else {
		c.unverified++
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// listedEntries returns the entries of keys that are listed here and were at a revision. c.mu must be
// held.
func (c *Catalog) listedEntries(keys []string, revision hookhall.Revision) []*entry {
	var list []*entry
	for _, key := range keys {
		if e := c.entriesByKey[key]; e != nil && e.missingSince.IsZero() && e.revision <= revision {
			list = append(list, e)
		}
	}
	return list
}
