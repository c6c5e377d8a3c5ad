// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
)

// Copy stores an owner's record at its standby, unless the epochs differ. A
// record that another grant's newer or unexpired one stands against is not
// stored: it came late, or the owner dropped its own copy a moment earlier.
func (s *Store) Copy(epoch uint64, n hookhall.Record, now time.Time) hookhall.CopyReply {
	l := &s.slots[view.SlotOf(n.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch != epoch || l.pair.Standby == nil || l.pair.Standby.ID != s.self {
		return hookhall.CopyReply{Epoch: l.epoch}
	}
	old := l.records[n.Key]
	switch {
	case old == nil, n.Sequence > old.Sequence, now.After(old.Expires),
		n.Sequence == old.Sequence && supersedes(n, old.Record):
		l.put(n)
	case n.Token != old.Token:
		return hookhall.CopyReply{Epoch: l.epoch}
	}
	return hookhall.CopyReply{Stored: true, Epoch: l.epoch}
}

// Records returns what this process holds of slots, for a Fetch. It must have
// moved on to the asker's epoch, or what it holds may still grow.
func (s *Store) Records(epoch uint64, slots []uint32) hookhall.FetchReply {
	reply := hookhall.FetchReply{Epoch: s.Placement().View.Epoch}
	if reply.Epoch < epoch {
		return reply
	}
	for _, n := range slots {
		if n < view.SlotCount {
			reply.Slots = append(reply.Slots, s.slots[n].read(n))
		}
	}
	return reply
}

func (l *slot) read(number uint32) hookhall.SlotRecords {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := hookhall.SlotRecords{Slot: number, Through: l.through}
	for k := range l.layers {
		r.Layers = append(r.Layers, k)
	}
	for _, x := range l.records {
		n := x.Record
		if x.copying {
			// It may be granted after this read, at the epoch that still runs.
			n.State = hookhall.StateGranted
		}
		r.Records = append(r.Records, n)
	}
	return r
}

// Merge takes in what another member holds of a slot.
func (s *Store) Merge(r hookhall.SlotRecords) {
	if r.Slot >= view.SlotCount {
		return
	}
	l := &s.slots[r.Slot]
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range r.Records {
		old := l.records[n.Key]
		if old == nil || n.Sequence > old.Sequence || n.Sequence == old.Sequence && supersedes(n, old.Record) {
			l.put(n)
		}
	}
	if r.Through > l.through {
		l.through = r.Through
	}
	for _, k := range r.Layers {
		l.layers[k] = true
	}
	l.normalize()
}

// supersedes decides between two records of one sequence: the standby's
// "granted" goes before the owner's "pending", as it may have been granted.
func supersedes(n, old hookhall.Record) bool {
	return n.State != old.State && old.State == hookhall.StatePending
}

// Need is a layer of a slot that this process has yet to hold.
type Need struct {
	Slot  uint32
	Epoch uint64
}

// Missing lists the newest missing layer of each slot that this process is of
// the pair of. Newest first: whoever served it usually holds all before it.
func (s *Store) Missing() []Need {
	var needs []Need
	for i := range s.slots {
		l := &s.slots[i]
		l.mu.Lock()
		if l.pair.Has(s.self) && !l.whole() {
			needs = append(needs, Need{Slot: uint32(i), Epoch: l.newestMissing()})
		}
		l.mu.Unlock()
	}
	return needs
}

// newestMissing: since the slot is not whole, there is one above through.
func (l *slot) newestMissing() uint64 {
	for k := l.epoch - 1; k > l.through; k-- {
		if !l.layers[k] {
			return k
		}
	}
	return l.through
}

// lostMargin is the part of the retention that is waited on top of it: a member
// that leaves may grant for a moment after it was seen gone.
const lostMargin = 10

// Lost notes that both of the pair that served a layer are gone for certain.
// Once the retention has passed since, the layer has nothing left to hold, and
// Lost returns true.
func (s *Store) Lost(n Need, now time.Time) bool {
	l := &s.slots[n.Slot]
	l.mu.Lock()
	defer l.mu.Unlock()
	since, seen := l.lost[n.Epoch]
	if !seen {
		l.lost[n.Epoch] = now
		return false
	}
	if now.Sub(since) < s.retention+s.retention/lostMargin {
		return false
	}
	l.layers[n.Epoch] = true
	l.normalize()
	return true
}

// Forget declares every epoch before the view's history settled, for a slot.
// It may be called only after the retention has passed with no unfenced
// member in the view.
func (s *Store) Forget(slotNumber uint32, before uint64) {
	l := &s.slots[slotNumber]
	l.mu.Lock()
	defer l.mu.Unlock()
	if before > 0 && l.through < before-1 {
		l.through = before - 1
		l.normalize()
	}
}

// Whole tells whether the process, at epoch or later, is whole in all slots
// that it is of the pair of.
func (s *Store) Whole(epoch uint64) bool {
	return s.Placement().View.Epoch >= epoch && len(s.Missing()) == 0
}

// Summary is the store's part of a state dump.
type Summary struct {
	Epoch   uint64 `json:"epoch"`
	Owned   int    `json:"owned_slots"`
	Standby int    `json:"standby_slots"`
	Missing int    `json:"missing_slots"`
	Records int    `json:"records"`
	Lost    int    `json:"lost_layers"`
}

// Summary counts slots and records.
func (s *Store) Summary() Summary {
	sum := Summary{Epoch: s.Placement().View.Epoch, Missing: len(s.Missing())}
	for i := range s.slots {
		l := &s.slots[i]
		l.mu.Lock()
		if l.pair.Owner != nil && l.pair.Owner.ID == s.self {
			sum.Owned++
		}
		if l.pair.Standby != nil && l.pair.Standby.ID == s.self {
			sum.Standby++
		}
		sum.Records += len(l.records)
		sum.Lost += len(l.lost)
		l.mu.Unlock()
	}
	return sum
}
