// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// ringWindow is the number of consecutive ring entries among which the target of a
// key is selected. With one entry, a target would get keys in proportion to its
// distance to its neighbour, for some targets several times the mean.
const ringWindow = 8

// ring orders the targets of a large service by the hashes of their IDs, so that the
// preferred target of a key is found without scanning all targets. It is immutable.
type ring struct {
	targets []hookhall.Target
	entries []ringEntry // sorted by hash, without targets that are leaving
}

// ringEntry is the position of a target on the ring.
type ringEntry struct {
	hash  uint64 // of the target's ID
	index int32  // in ring.targets
}

// newRing returns the ring of a list of targets, which it retains.
func newRing(targets []hookhall.Target) *ring {
	r := &ring{targets: targets, entries: make([]ringEntry, 0, len(targets))}
	for i := range targets {
		if !targets[i].Leaving {
			r.entries = append(r.entries, ringEntry{xxhash.Sum64String(targets[i].ID), int32(i)})
		}
	}
	slices.SortFunc(r.entries, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
	return r
}

// window appends to indices those of the targets among which that of a key is selected: the
// ringWindow entries that follow the hash of the key. When the targets change, few keys move.
func (r *ring) window(key string, indices []int32) []int32 {
	hash := xxhash.Sum64String(key)
	from := sort.Search(len(r.entries), func(i int) bool { return r.entries[i].hash >= hash })
	for i := range min(ringWindow, len(r.entries)) {
		indices = append(indices, r.entries[(from+i)%len(r.entries)].index)
	}
	return indices
}
