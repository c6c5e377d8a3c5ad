// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// maxScannedTargets is the largest number of targets of a service that are all
	// compared. Scanning more would make each choice slower the larger the fleet is,
	// at the placement owner, which chooses targets for all other processes.
	maxScannedTargets = 256
	// sampleSize is how many targets of a larger service are drawn for a choice. A
	// sample of this size contains idle targets in each hall unless nearly all
	// targets are busy.
	sampleSize = 64
	// secondSampleSize is how many further targets are considered when all engines of the
	// sample are full. If all of these are full, too, hardly one in a hundred is free.
	secondSampleSize = 512
)

// sample appends to indices those of a subset of a large service's targets that contains
// the best one with near certainty: the presumed holders of the shared prompt part, those that
// may become its holders, and sampleSize targets at random, possibly repeated. The targets must
// be sorted by ID.
func (b *Tracker) sample(v *view, criteria *Criteria, draws *rand.PCG, indices []int32) []int32 {
	add := func(id string) {
		if i, ok := find(v.targets, id); ok {
			indices = append(indices, int32(i))
		}
	}
	if criteria.IsEngineCall && criteria.SharedPart != "" {
		for _, id := range b.holders.targets(criteria.SharedPart) {
			add(id)
		}
		indices = v.ring().window(criteria.SharedPart, indices)
	}
	for range sampleSize {
		indices = append(indices, int32(drawBelow(draws, len(v.targets))))
	}
	return indices
}

// drawBelow returns a random number from 0 to n-1.
func drawBelow(draws *rand.PCG, n int) int {
	high, _ := bits.Mul64(draws.Uint64(), uint64(n))
	return int(high)
}

// drawUnit returns a random number in [0, 1).
func drawUnit(draws *rand.PCG) float64 { return float64(draws.Uint64()>>11) / (1 << 53) }

// find returns the index of a target in a list that is sorted by ID, and whether the
// list contains it.
func find(targets []hookhall.Target, id string) (int, bool) {
	return slices.BinarySearchFunc(targets, id, func(t hookhall.Target, id string) int { return strings.Compare(t.ID, id) })
}

// holderIndex records which targets were recently sent which shared prompt part.
type holderIndex struct {
	mu       sync.Mutex
	lastUsed map[string]map[string]time.Time // by part and target ID
}

// add records that a target was sent a part. It ignores the empty part.
func (x *holderIndex) add(part, target string, now time.Time) {
	if part == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.lastUsed == nil {
		x.lastUsed = map[string]map[string]time.Time{}
	}
	if x.lastUsed[part] == nil {
		x.lastUsed[part] = map[string]time.Time{}
	}
	x.lastUsed[part][target] = now
}

// targets returns the IDs of the targets that presumably cache a part, in their order.
func (x *holderIndex) targets(part string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	ids := make([]string, 0, len(x.lastUsed[part]))
	for id := range x.lastUsed[part] {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// sweep removes uses that are at least partRetention old.
func (x *holderIndex) sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for part, lastUsedByTarget := range x.lastUsed {
		for id, lastUsed := range lastUsedByTarget {
			if now.Sub(lastUsed) >= partRetention {
				delete(lastUsedByTarget, id)
			}
		}
		if len(lastUsedByTarget) == 0 {
			delete(x.lastUsed, part)
		}
	}
}
