// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/hookhall/hookhall"
)

// view is a list of targets with what a choice would otherwise look up for each of them.
// The list is immutable.
type view struct {
	targets []hookhall.Target
	tracker *Tracker
	// pruneCount is Tracker.pruneCount at the creation of the view.
	pruneCount uint64
	// records has the records of the targets, by index. An entry is nil until it is used.
	records []atomic.Pointer[record]
	ring    func() *ring // built at the first use
}

// newView returns the view of a list of targets, which it retains.
func (b *Tracker) newView(targets []hookhall.Target) *view {
	return &view{
		targets: targets, tracker: b, pruneCount: b.pruneCount.Load(), records: make([]atomic.Pointer[record], len(targets)),
		ring: sync.OnceValue(func() *ring { return newRing(targets) }),
	}
}

// viewOf returns the view of a list of targets of one service. It is built anew unless the
// list is the same slice as in the previous call for the service.
func (b *Tracker) viewOf(targets []hookhall.Target) *view {
	if len(targets) == 0 {
		return b.newView(nil)
	}
	if cached, ok := b.views.Load(targets[0].Pool); ok {
		latest := cached.(*view)
		if len(latest.targets) == len(targets) && &latest.targets[0] == &targets[0] && latest.pruneCount == b.pruneCount.Load() {
			return latest
		}
	}
	built := b.newView(targets)
	b.views.Store(targets[0].Pool, built)
	return built
}

// record returns the record of the target with an index.
func (v *view) record(index int) *record {
	incarnation := v.targets[index].Incarnation()
	if r := v.records[index].Load(); r != nil && r.incarnation == incarnation {
		return r
	}
	r := v.tracker.record(incarnation)
	v.records[index].Store(r)
	return r
}

// preferred returns the index of the preferred target of a key among those that are not
// leaving, -1 if there is none. It is selected by weighted rendezvous hashing among all targets,
// or among a section of the hash ring if there are more than 256.
func (v *view) preferred(key string) int32 {
	s := v.newSelection(key)
	if len(v.targets) > maxScannedTargets {
		var window [ringWindow]int32
		for _, i := range v.ring().window(key, window[:0]) {
			s.add(i)
		}
		return s.best
	}
	for i := range v.targets {
		if !v.targets[i].Leaving {
			s.add(int32(i))
		}
	}
	return s.best
}

// selection selects one of several targets for a key by rendezvous hashing, weighted if the
// paces of the service's engines are uneven: a target with twice the weight gets twice as many
// keys. If a weight changes, only keys of that target or to it move.
type selection struct {
	v          *view
	key        string
	isWeighted bool
	best       int32 // index, -1 before the first target
	bestHash   uint64
	bestScore  float64 // the smallest one is selected
}

// newSelection returns a selection without targets.
func (v *view) newSelection(key string) selection {
	s := selection{v: v, key: key, best: -1}
	if len(v.targets) > 0 {
		s.isWeighted = v.tracker.poolPace(v.targets[0].Pool).IsUneven
	}
	return s
}

// add adds the target with an index.
func (s *selection) add(index int32) {
	hash := rendezvousWeight(s.key, s.v.targets[index].ID)
	if !s.isWeighted {
		if s.best < 0 || hash > s.bestHash {
			s.best, s.bestHash = index, hash
		}
		return
	}
	// An exponential variable whose rate is the weight: the order is that of the hashes if the
	// weights are equal.
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := float64(s.v.record(int(index)).currentWeight())
	if s.best >= 0 && (1-unit)/weight >= s.bestScore {
		return // the logarithm takes a fifth of a choice: 1-unit is a lower bound of the score
	}
	score := -math.Log(unit) / weight
	if s.best < 0 || score < s.bestScore {
		s.best, s.bestScore = index, score
	}
}

// PreferredTarget returns the ID of the preferred target of a key among those that are
// not leaving, "" if there is none: by weighted rendezvous hashing over all targets, or over a
// section of the hash ring if the service has more than 256 targets. The weights are the
// learned paces of engines.
func (b *Tracker) PreferredTarget(key string, targets []hookhall.Target) string {
	if i := b.viewOf(targets).preferred(key); i >= 0 {
		return targets[i].ID
	}
	return ""
}

// PreferredTarget returns the ID of the target selected by rendezvous hashing of a key
// among those that are not leaving, "" if there is none. All targets have the same weight.
func PreferredTarget(key string, targets []hookhall.Target) string {
	best, maxWeight := "", uint64(0)
	for i := range targets {
		if targets[i].Leaving {
			continue
		}
		weight := rendezvousWeight(key, targets[i].ID)
		if best == "" || weight > maxWeight {
			best, maxWeight = targets[i].ID, weight
		}
	}
	return best
}
