// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
)

// Copy stores an owner's record at the standby of the slot. It refuses when the epochs
// differ or this process is not the standby. It also refuses a record whose key has an
// unexpired record of another grant with the same or a higher Sequence: the copy arrived
// late, or that record expired at the owner a moment earlier than here.
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

// Records returns the records that this process holds of the slots, in reply to a Fetch
// from a member at epoch. Before this process has reached that epoch the reply has no
// slots, because grants of earlier epochs may still be added.
func (s *Store) Records(epoch uint64, slots []uint32) hookhall.FetchReply {
	reply := hookhall.FetchReply{Epoch: s.Placement().View.Epoch}
	if reply.Epoch < epoch {
		return reply
	}
	for _, number := range slots {
		if number < view.SlotCount {
			reply.Slots = append(reply.Slots, s.slots[number].snapshot(number))
		}
	}
	return reply
}

// snapshot returns a copy of the slot's records for Merge at another member. It locks
// l.mu.
func (l *slot) snapshot(number uint32) hookhall.SlotRecords {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := hookhall.SlotRecords{Slot: number, CompleteThrough: l.completeThrough}
	for epoch := range l.completeEpochs {
		r.CompleteEpochs = append(r.CompleteEpochs, epoch)
	}
	for _, held := range l.records {
		n := held.Record
		if held.awaitingStandby {
			// The claim may be granted after this copy is made, at the current epoch.
			n.State = hookhall.StateGranted
		}
		r.Records = append(r.Records, n)
	}
	return r
}

// Merge adds the records of a slot that another member returned from Records, and the
// epochs of which these are complete. Slot numbers out of range are ignored.
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
	if r.CompleteThrough > l.completeThrough {
		l.completeThrough = r.CompleteThrough
	}
	for _, epoch := range r.CompleteEpochs {
		l.completeEpochs[epoch] = true
	}
	l.compact()
}

// supersedes reports whether n replaces old, a record of the same Sequence: any other
// state replaces "pending", because the owner may have granted the claim after it copied
// it to the standby.
func supersedes(n, old hookhall.Record) bool {
	return n.State != old.State && old.State == hookhall.StatePending
}

// MissingEpoch is an epoch of a slot of which this process doesn't hold every grant.
type MissingEpoch struct {
	Slot  uint32
	Epoch uint64
}

// MissingEpochs returns, for each slot whose pair includes this process and whose records are
// incomplete, the newest epoch that is missing. The newest comes first because the
// members that served it usually hold all earlier ones too.
func (s *Store) MissingEpochs() []MissingEpoch {
	var needs []MissingEpoch
	for i := range s.slots {
		l := &s.slots[i]
		l.mu.Lock()
		if l.pair.Has(s.self) && !l.isComplete() {
			needs = append(needs, MissingEpoch{Slot: uint32(i), Epoch: l.newestMissingEpoch()})
		}
		l.mu.Unlock()
	}
	return needs
}

// newestMissingEpoch returns the newest epoch of which grants may be missing. The slot
// must be incomplete, so that there is one above completeThrough. l.mu must be held.
func (l *slot) newestMissingEpoch() uint64 {
	for epoch := l.epoch - 1; epoch > l.completeThrough; epoch-- {
		if !l.completeEpochs[epoch] {
			return epoch
		}
	}
	return l.completeThrough
}

// lostMarginDivisor sets the wait for a lost pair to the retention and a tenth of it: a
// member that leaves may still grant for a moment after it was seen to be gone.
const lostMarginDivisor = 10

// MarkPairLost records that both members of the pair that served the slot at n.Epoch are known
// to have ended. Repeated calls return true once the retention and its margin have passed since
// the first call: every claim of that epoch has expired, and the epoch counts as
// complete.
func (s *Store) MarkPairLost(n MissingEpoch, now time.Time) bool {
	l := &s.slots[n.Slot]
	l.mu.Lock()
	defer l.mu.Unlock()
	since, found := l.lostSince[n.Epoch]
	if !found {
		l.lostSince[n.Epoch] = now
		return false
	}
	if now.Sub(since) < s.retention+s.retention/lostMarginDivisor {
		return false
	}
	l.completeEpochs[n.Epoch] = true
	l.compact()
	return true
}

// MarkCompleteBefore marks all epochs of a slot that are lower than before as complete, for epochs
// that the view's history no longer covers. It may be called only after the retention
// has passed without an unfenced member in the view, so that all their claims have
// expired.
func (s *Store) MarkCompleteBefore(slotNumber uint32, before uint64) {
	l := &s.slots[slotNumber]
	l.mu.Lock()
	defer l.mu.Unlock()
	if before > 0 && l.completeThrough < before-1 {
		l.completeThrough = before - 1
		l.compact()
	}
}

// IsComplete reports whether the process has reached epoch and holds complete records of all
// slots whose pair includes it.
func (s *Store) IsComplete(epoch uint64) bool {
	return s.Placement().View.Epoch >= epoch && len(s.MissingEpochs()) == 0
}

// Summary is the store's part of a state dump: the epoch of the view in force, and
// counts of slots, records and lost epochs of this process.
type Summary struct {
	Epoch   uint64 `json:"epoch"`
	Owned   int    `json:"owned_slots"`
	Standby int    `json:"standby_slots"`
	Missing int    `json:"missing_slots"`
	Records int    `json:"records"`
	Lost    int    `json:"lost_layers"`
}

// Summary returns the current counts; it locks one slot at a time, so they are not of
// one instant.
func (s *Store) Summary() Summary {
	sum := Summary{Epoch: s.Placement().View.Epoch, Missing: len(s.MissingEpochs())}
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
		sum.Lost += len(l.lostSince)
		l.mu.Unlock()
	}
	return sum
}
