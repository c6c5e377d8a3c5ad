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
func (s *Store) Copy(epoch uint64, incoming hookhall.Record, now time.Time) hookhall.CopyReply {
	sl := &s.slots[view.SlotOf(incoming.Key)]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.epoch != epoch || sl.pair.Standby == nil || sl.pair.Standby.ID != s.self {
		return hookhall.CopyReply{Epoch: sl.epoch}
	}
	old := sl.records[incoming.Key]
	switch {
	case old == nil, incoming.Sequence > old.Sequence, now.After(old.Expires),
		incoming.Sequence == old.Sequence && supersedes(incoming, old.Record):
		sl.put(incoming)
	case incoming.Token != old.Token:
		return hookhall.CopyReply{Epoch: sl.epoch}
	}
	return hookhall.CopyReply{Stored: true, Epoch: sl.epoch}
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
// sl.mu.
func (sl *slot) snapshot(number uint32) hookhall.SlotRecords {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	copied := hookhall.SlotRecords{Slot: number, CompleteThrough: sl.completeThrough}
	for epoch := range sl.completeEpochs {
		copied.CompleteEpochs = append(copied.CompleteEpochs, epoch)
	}
	for _, held := range sl.records {
		n := held.Record
		if held.awaitingStandby {
			// The claim may be granted after this copy is made, at the current epoch.
			n.State = hookhall.StateGranted
		}
		copied.Records = append(copied.Records, n)
	}
	return copied
}

// Merge adds the records of a slot that another member returned from Records, and the
// epochs of which these are complete. Slot numbers out of range are ignored.
func (s *Store) Merge(fetched hookhall.SlotRecords) {
	if fetched.Slot >= view.SlotCount {
		return
	}
	sl := &s.slots[fetched.Slot]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	for _, n := range fetched.Records {
		old := sl.records[n.Key]
		if old == nil || n.Sequence > old.Sequence || n.Sequence == old.Sequence && supersedes(n, old.Record) {
			sl.put(n)
		}
	}
	if fetched.CompleteThrough > sl.completeThrough {
		sl.completeThrough = fetched.CompleteThrough
	}
	for _, epoch := range fetched.CompleteEpochs {
		sl.completeEpochs[epoch] = true
	}
	sl.compact()
}

// supersedes reports whether incoming replaces old, a record of the same Sequence: any
// other state replaces "pending", because the owner may have granted the claim after it
// copied it to the standby.
func supersedes(incoming, old hookhall.Record) bool {
	return incoming.State != old.State && old.State == hookhall.StatePending
}

// MissingEpoch is an epoch of a slot of which this process doesn't hold every grant.
type MissingEpoch struct {
	Slot  uint32
	Epoch uint64
}

// MissingEpochs returns, for each slot whose pair includes this process and whose records
// are incomplete, the newest epoch that is missing. It is fetched first because the members
// that served it usually hold all earlier ones too. Those whose pair is lost are followed by
// earlier ones, so that the waits for several lost pairs pass at the same time.
func (s *Store) MissingEpochs() []MissingEpoch {
	var missing []MissingEpoch
	for i := range s.slots {
		sl := &s.slots[i]
		sl.mu.Lock()
		if sl.pair.Has(s.self) {
			for _, epoch := range sl.missingEpochs() {
				missing = append(missing, MissingEpoch{Slot: uint32(i), Epoch: epoch})
			}
		}
		sl.mu.Unlock()
	}
	return missing
}

// missingEpochs returns the epochs of which grants may be missing, the newest first, up to the
// first one whose pair is not known to be lost. sl.mu must be held.
func (sl *slot) missingEpochs() []uint64 {
	var epochs []uint64
	for epoch := sl.epoch; epoch > sl.completeThrough+1; {
		epoch--
		if sl.completeEpochs[epoch] {
			continue
		}
		epochs = append(epochs, epoch)
		if _, isLost := sl.lostSince[epoch]; !isLost {
			break
		}
	}
	return epochs
}

// lostMarginDivisor is the divisor of the retention that gives the margin added to the
// wait for a lost pair, a tenth: a member that leaves may still grant for a moment after
// it was seen to be gone.
const lostMarginDivisor = 10

// lostWait returns how long after the loss of a pair all its claims have expired.
func (s *Store) lostWait() time.Duration { return s.retention + s.retention/lostMarginDivisor }

// MarkPairLost records that both members of the pair that served the slot at
// missing.Epoch are known to have ended. Repeated calls return true once lostWait has passed
// since the first call: every claim of that epoch has expired, and the epoch counts as complete. The slot must be below view.SlotCount.
func (s *Store) MarkPairLost(missing MissingEpoch, now time.Time) bool {
	sl := &s.slots[missing.Slot]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	since, found := sl.lostSince[missing.Epoch]
	if !found {
		sl.lostSince[missing.Epoch] = now
		return false
	}
	if now.Sub(since) < s.lostWait() {
		return false
	}
	sl.completeEpochs[missing.Epoch] = true
	sl.compact()
	return true
}

// MarkCompleteBefore marks all epochs of a slot that are lower than before as complete,
// for epochs that the view's history no longer covers. It may be called only after the
// retention has passed without an unfenced member in the view, so that all their claims
// have expired. slotNumber must be below view.SlotCount.
func (s *Store) MarkCompleteBefore(slotNumber uint32, before uint64) {
	sl := &s.slots[slotNumber]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if before > 0 && sl.completeThrough < before-1 {
		sl.completeThrough = before - 1
		sl.compact()
	}
}

// IsComplete reports whether the process has reached epoch and holds complete records of
// all slots whose pair includes it.
func (s *Store) IsComplete(epoch uint64) bool {
	return s.Placement().View.Epoch >= epoch && len(s.MissingEpochs()) == 0
}

// Summary is the store's part of a state dump: the epoch of the view in force, and
// counts for this process. Missing counts the slots whose records are incomplete; Lost
// sums over the slots the epochs whose pair has ended and whose claims may be unexpired.
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
	sum := Summary{Epoch: s.Placement().View.Epoch}
	for i := range s.slots {
		sl := &s.slots[i]
		sl.mu.Lock()
		if sl.pair.Owner != nil && sl.pair.Owner.ID == s.self {
			sum.Owned++
		}
		if sl.pair.Has(s.self) && !sl.isComplete() {
			sum.Missing++
		}
		if sl.pair.Standby != nil && sl.pair.Standby.ID == s.self {
			sum.Standby++
		}
		sum.Records += len(sl.records)
		sum.Lost += len(sl.lostSince)
		sl.mu.Unlock()
	}
	return sum
}
