// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
)

// fetchRetryDelay is the delay after which a refused caller may retry, while the owner
// fetches records or after a copy to the standby has failed.
const fetchRetryDelay = 200 * time.Millisecond

// sweepInterval is the shortest time between two removals of expired records of a slot,
// so that a busy slot doesn't scan its records for each request.
const sweepInterval = time.Second

// Store holds the claim records of all slots of one process. Its methods may be called
// concurrently.
type Store struct {
	self      string
	retention time.Duration
	// placement is the view in force with its pairs; it is read without a lock.
	placement atomic.Pointer[Placement]
	// advanceMu serializes Advance; the request path never locks it.
	advanceMu sync.Mutex
	slots     [view.SlotCount]slot
}

// Placement is a view with the pairs of all slots, computed once for each view. It is
// immutable.
type Placement struct {
	View      *hookhall.View
	Pairs     [view.SlotCount]view.Pair
	memberIDs map[string]bool
}

// IsMember reports whether the member with this ID is in the view.
func (p *Placement) IsMember(id string) bool { return p.memberIDs[id] }

// slot holds the records of the keys that hash to one slot.
type slot struct {
	mu sync.Mutex
	// epoch is this process's epoch for the slot; it only grows.
	epoch uint64
	pair  view.Pair
	// completeThrough is the last epoch up to which, included, the process holds every
	// grant of the slot.
	completeThrough uint64
	// completeEpochs has the later epochs of which it holds every grant.
	completeEpochs map[uint64]bool
	// lostSince has, for epochs whose pair has ended, the time of the first MarkPairLost.
	lostSince map[uint64]time.Time
	// records is keyed by claim key.
	records   map[string]*record
	lastSweep time.Time
}

// record is a claim record in the store.
type record struct {
	hookhall.Record
	// awaitingStandby is set until the standby has replied to the copy.
	awaitingStandby bool
}

// New returns an empty store for the member with the ID self. Records are kept for
// retention after their last change.
func New(self string, retention time.Duration) *Store {
	s := &Store{self: self, retention: retention}
	for i := range s.slots {
		s.slots[i].records = map[string]*record{}
		s.slots[i].completeEpochs = map[uint64]bool{}
		s.slots[i].lostSince = map[uint64]time.Time{}
	}
	s.placement.Store(newPlacement(&hookhall.View{}))
	return s
}

// newPlacement computes the pairs of all slots for a view.
func newPlacement(v *hookhall.View) *Placement {
	p := &Placement{View: v, memberIDs: make(map[string]bool, len(v.Members))}
	for _, m := range v.Members {
		p.memberIDs[m.ID] = true
	}
	for i := range p.Pairs {
		p.Pairs[i] = view.PairOf(v.Members, uint32(i))
	}
	return p
}

// Placement returns the view in force with its pairs, without a lock.
func (s *Store) Placement() *Placement { return s.placement.Load() }

// Retention returns how long a record is kept after its last change.
func (s *Store) Retention() time.Duration { return s.retention }

// Advance puts a view in force and reports whether its epoch is newer. A view of the same
// epoch with a newer revision replaces the one in force, and false is returned. Older
// views are ignored.
func (s *Store) Advance(v *hookhall.View) bool {
	s.advanceMu.Lock()
	defer s.advanceMu.Unlock()
	current := s.placement.Load()
	old := current.View
	if v.Epoch <= old.Epoch {
		if v.Epoch == old.Epoch && v.Revision > old.Revision {
			s.placement.Store(newPlacement(v))
		}
		return false
	}
	next := newPlacement(v)
	served := s.servedEpochs(old, v)
	for i := range s.slots {
		s.slots[i].advance(s.self, uint32(i), current, next, served)
	}
	s.placement.Store(next)
	return true
}

// servedEpochs returns the members of each epoch between old's and v's, both excluded, in
// which this process was a member.
func (s *Store) servedEpochs(old, v *hookhall.View) map[uint64][]hookhall.Member {
	served := map[uint64][]hookhall.Member{}
	for epoch := v.Epoch - 1; epoch > old.Epoch; epoch-- {
		members, ok := view.MembersAt(v, epoch)
		if !ok {
			continue
		}
		for _, m := range members {
			if m.ID == s.self {
				served[epoch] = members
			}
		}
	}
	return served
}

// advance moves the slot from one placement to a later one; served is from servedEpochs.
// The process holds every grant of the epoch that it leaves and of those that it skipped,
// if it was of their pair: an owner grants nothing while its standby is at another epoch.
// It locks sl.mu.
func (sl *slot) advance(self string, number uint32, from, to *Placement, served map[uint64][]hookhall.Member) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if epoch := from.View.Epoch; epoch > sl.completeThrough && from.Pairs[number].Has(self) {
		sl.completeEpochs[epoch] = true
	}
	for epoch, members := range served {
		if epoch > sl.completeThrough && view.PairOf(members, number).Has(self) {
			sl.completeEpochs[epoch] = true
		}
	}
	sl.epoch, sl.pair = to.View.Epoch, to.Pairs[number]
	sl.compact()
}

// compact moves completeThrough past the complete epochs that follow it, and drops the
// entries of completeEpochs and lostSince that are no longer needed. sl.mu must be held.
func (sl *slot) compact() {
	for sl.completeEpochs[sl.completeThrough+1] {
		sl.completeThrough++
		delete(sl.completeEpochs, sl.completeThrough)
	}
	for epoch := range sl.completeEpochs {
		if epoch <= sl.completeThrough {
			delete(sl.completeEpochs, epoch)
		}
	}
	for epoch := range sl.lostSince {
		if epoch <= sl.completeThrough || sl.completeEpochs[epoch] {
			delete(sl.lostSince, epoch)
		}
	}
}

// isComplete reports whether the process holds all grants of the epochs before its own.
// sl.mu must be held.
func (sl *slot) isComplete() bool { return sl.epoch > 0 && sl.completeThrough+1 >= sl.epoch }

// put replaces the record of a key. A pending copy of the replaced record doesn't affect
// the new one, whose awaitingStandby is unset. sl.mu must be held.
func (sl *slot) put(replacement hookhall.Record) *record {
	r := &record{Record: replacement}
	sl.records[replacement.Key] = r
	return r
}

// sweep drops expired records, at most once per sweepInterval. sl.mu must be held.
func (sl *slot) sweep(now time.Time) {
	if now.Sub(sl.lastSweep) < sweepInterval {
		return
	}
	sl.lastSweep = now
	for key, r := range sl.records {
		if now.After(r.Expires) && !r.awaitingStandby {
			delete(sl.records, key)
		}
	}
}

// Sweep drops expired records of all slots; each slot is scanned at most once per
// sweepInterval.
func (s *Store) Sweep(now time.Time) {
	for i := range s.slots {
		sl := &s.slots[i]
		sl.mu.Lock()
		sl.sweep(now)
		sl.mu.Unlock()
	}
}
