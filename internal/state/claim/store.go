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

// fetchSoon is when to come back while records are being fetched.
const fetchSoon = 200 * time.Millisecond

// sweepEvery is how often a slot drops its expired records.
const sweepEvery = time.Second

// Store holds the records of all slots of one process.
type Store struct {
	self      string
	retention time.Duration
	// placed is the view in force with its pairs, for readers without locks.
	placed atomic.Pointer[Placement]
	// advance serializes Advance; the request path never takes it.
	advance sync.Mutex
	slots   [view.SlotCount]slot
}

// Placement is a view with the pairs of all slots.
type Placement struct {
	View  *hookhall.View
	Pairs [view.SlotCount]view.Pair
	alive map[string]bool
}

// Alive tells whether the member is in the view.
func (p *Placement) Alive(id string) bool { return p.alive[id] }

type slot struct {
	mu sync.Mutex
	// epoch is this process's epoch for the slot; it only grows.
	epoch   uint64
	pair    view.Pair
	through uint64
	layers  map[uint64]bool
	// lost has, for layers whose pair is gone, when that was first seen.
	lost    map[uint64]time.Time
	records map[string]*record
	swept   time.Time
}

type record struct {
	hookhall.Record
	// copying is set while the standby's word is awaited.
	copying bool
}

// New makes an empty store for the member self.
func New(self string, retention time.Duration) *Store {
	s := &Store{self: self, retention: retention}
	for i := range s.slots {
		s.slots[i].records = map[string]*record{}
		s.slots[i].layers = map[uint64]bool{}
		s.slots[i].lost = map[uint64]time.Time{}
	}
	s.placed.Store(place(&hookhall.View{}))
	return s
}

func place(v *hookhall.View) *Placement {
	p := &Placement{View: v, alive: make(map[string]bool, len(v.Members))}
	for _, m := range v.Members {
		p.alive[m.ID] = true
	}
	for i := range p.Pairs {
		p.Pairs[i] = view.PairOf(v.Members, uint32(i))
	}
	return p
}

// Placement returns the view in force with its pairs.
func (s *Store) Placement() *Placement { return s.placed.Load() }

// Retention is how long a record is kept.
func (s *Store) Retention() time.Duration { return s.retention }

// Advance moves on to a newer view; an older or equal one is ignored.
func (s *Store) Advance(v *hookhall.View) bool {
	s.advance.Lock()
	defer s.advance.Unlock()
	before := s.placed.Load()
	old := before.View
	if v.Epoch <= old.Epoch {
		if v.Epoch == old.Epoch && v.Revision > old.Revision {
			s.placed.Store(place(v))
		}
		return false
	}
	next := place(v)
	served := s.servedEpochs(old, v)
	for i := range s.slots {
		s.slots[i].moveOn(s.self, uint32(i), before, next, served)
	}
	s.placed.Store(next)
	return true
}

// servedEpochs returns the members of the epochs between old's and v's that this
// process was a member of.
func (s *Store) servedEpochs(old, v *hookhall.View) map[uint64][]hookhall.Member {
	served := map[uint64][]hookhall.Member{}
	for k := v.Epoch - 1; k > old.Epoch; k-- {
		members, ok := view.At(v, k)
		if !ok {
			continue
		}
		for _, m := range members {
			if m.ID == s.self {
				served[k] = members
			}
		}
	}
	return served
}

// moveOn takes a slot from one placement to a later one. It holds every grant
// of the epoch that it leaves, if it was of the pair, and of those it skipped.
func (l *slot) moveOn(self string, number uint32, from, to *Placement, served map[uint64][]hookhall.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := from.View.Epoch; k > l.through && from.Pairs[number].Has(self) {
		l.layers[k] = true
	}
	for k, members := range served {
		if k > l.through && view.PairOf(members, number).Has(self) {
			l.layers[k] = true
		}
	}
	l.epoch, l.pair = to.View.Epoch, to.Pairs[number]
	l.normalize()
}

// normalize folds layers into through.
func (l *slot) normalize() {
	for l.layers[l.through+1] {
		l.through++
		delete(l.layers, l.through)
	}
	for k := range l.layers {
		if k <= l.through {
			delete(l.layers, k)
		}
	}
	for k := range l.lost {
		if k <= l.through || l.layers[k] {
			delete(l.lost, k)
		}
	}
}

func (l *slot) whole() bool { return l.epoch > 0 && l.through+1 >= l.epoch }

// put replaces the record of a key. A copy of the old one that is still under
// way no longer concerns it.
func (l *slot) put(n hookhall.Record) *record {
	r := &record{Record: n}
	l.records[n.Key] = r
	return r
}

// sweep drops expired records, at most once in sweepEvery.
func (l *slot) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for k, r := range l.records {
		if now.After(r.Expires) && !r.copying {
			delete(l.records, k)
		}
	}
}

// Sweep drops expired records of all slots.
func (s *Store) Sweep(now time.Time) {
	for i := range s.slots {
		l := &s.slots[i]
		l.mu.Lock()
		l.sweep(now)
		l.mu.Unlock()
	}
}
