// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
)

// Grant is a record that the owner has written and that the standby has yet to
// store. Epoch is the epoch of the write; Standby is the member to copy Record to.
type Grant struct {
	Record  hookhall.Record
	Epoch   uint64
	Standby hookhall.Member
}

// Begin handles a claim request at the owner. When it returns a Grant, the reply is
// empty, and the caller copies the Grant's record to the standby and then calls
// Complete. Without a Grant the reply is final. A request with token 0 reads the
// record and never opens a claim.
func (s *Store) Begin(request hookhall.ClaimRequest, now time.Time) (hookhall.ClaimReply, *Grant) {
	sl := &s.slots[view.SlotOf(request.Key)]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.sweep(now)
	if sl.epoch != request.Epoch || sl.pair.Owner == nil || sl.pair.Owner.ID != s.self {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimBehind, Epoch: sl.epoch}, nil
	}
	old := sl.records[request.Key]
	if old != nil && !old.replaceable() {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimHeld, Epoch: sl.epoch, Record: old.Record}, nil
	}
	if !sl.isComplete() {
		return s.incompleteReply(sl, now), nil
	}
	if request.Token == 0 {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: sl.epoch}, nil
	}
	if old != nil && (old.Sequence+2)>>sequenceBits > sl.epoch { // the claim and its end are two writes
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: sl.epoch, RetryAfter: fetchRetryDelay}, nil
	}
	return s.openClaim(sl, request, old, now)
}

// replaceable reports whether a new claim may replace the record: it was released,
// or it is pending and no reply of the standby is awaited.
func (r *record) replaceable() bool {
	return r.State == hookhall.StateReleased || r.State == hookhall.StatePending && !r.awaitingStandby
}

// incompleteReply returns ClaimLost with the delay before the next attempt:
// fetchRetryDelay while records are being fetched, or the rest of the wait for a lost pair.
// sl.mu must be held.
func (s *Store) incompleteReply(sl *slot, now time.Time) hookhall.ClaimReply {
	reply := hookhall.ClaimReply{Outcome: hookhall.ClaimLost, Epoch: sl.epoch, RetryAfter: fetchRetryDelay}
	for _, since := range sl.lostSince {
		if d := s.lostWait() - now.Sub(since); d > reply.RetryAfter {
			reply.RetryAfter = d
		}
	}
	return reply
}

// openClaim writes the record of a new claim, which replaces old (nil for none). It
// grants at once when the slot has no standby, and returns a Grant otherwise. sl.mu must
// be held.
func (s *Store) openClaim(sl *slot, request hookhall.ClaimRequest, old *record, now time.Time) (hookhall.ClaimReply, *Grant) {
	opened := hookhall.Record{
		Key: request.Key, Digest: request.Digest, Origin: request.Origin, Token: request.Token,
		Sequence: sl.nextSequence(old), State: hookhall.StatePending, Expires: now.Add(s.retention),
	}
	if sl.pair.Standby == nil {
		opened.State = hookhall.StateGranted
		sl.put(opened)
		return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: sl.epoch, Record: opened}, nil
	}
	r := sl.put(opened)
	r.awaitingStandby = true
	standbyCopy := opened
	// The standby stores the claim as granted, because the owner may grant it and
	// crash before another message reaches the standby.
	standbyCopy.State = hookhall.StateGranted
	return hookhall.ClaimReply{}, &Grant{Record: standbyCopy, Epoch: sl.epoch, Standby: *sl.pair.Standby}
}

// sequenceBits is the number of low bits of a record's Sequence that count the writes of
// its key within one epoch; the higher bits are the epoch. After some 16 million writes, the key is
// refused until the epoch changes or its record expires.
const sequenceBits = 24

// nextSequence returns a Sequence above that of every write of earlier epochs, including
// those that this process doesn't hold, and above that of old, the record to replace (nil
// for none). sl.mu must be held.
func (sl *slot) nextSequence(old *record) uint64 {
	first := sl.epoch<<sequenceBits + 1
	if old == nil {
		return first
	}
	return max(old.Sequence+1, first)
}

// Complete finishes a claim that Begin opened; stored is whether the standby stored the
// record. It grants the claim only if the standby did and the slot is still at the
// Grant's epoch; otherwise it refuses, and another claim may replace the record.
func (s *Store) Complete(g *Grant, stored bool) hookhall.ClaimReply {
	sl := &s.slots[view.SlotOf(g.Record.Key)]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	r := sl.records[g.Record.Key]
	if r == nil || r.Token != g.Record.Token || r.Sequence != g.Record.Sequence {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: sl.epoch, RetryAfter: fetchRetryDelay}
	}
	r.awaitingStandby = false
	if !stored || sl.epoch != g.Epoch || r.State != hookhall.StatePending {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: sl.epoch, RetryAfter: fetchRetryDelay}
	}
	r.State = hookhall.StateGranted
	return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: sl.epoch, Record: r.Record}
}

// Settle records the end of the claim that has the settlement's token. It returns
// whether the settlement was accepted, the slot's epoch, and, if there is a standby, a
// Grant with the changed record to copy to it, which needs no Complete. An owner whose
// records are incomplete accepts none: a later grant of the key may have the Sequence
// that it would write.
func (s *Store) Settle(settlement hookhall.Settlement, now time.Time) (bool, uint64, *Grant) {
	sl := &s.slots[view.SlotOf(settlement.Key)]
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.pair.Owner == nil || sl.pair.Owner.ID != s.self {
		return false, sl.epoch, nil
	}
	r := sl.records[settlement.Key]
	if r == nil || r.Token != settlement.Token || r.awaitingStandby || !sl.isComplete() {
		return false, sl.epoch, nil
	}
	if r.State != settlement.State {
		r.State, r.Answer = settlement.State, settlement.Answer
		r.Sequence = sl.nextSequence(r)
		r.Expires = now.Add(s.retention)
	}
	if sl.pair.Standby == nil {
		return true, sl.epoch, nil
	}
	return true, sl.epoch, &Grant{Record: r.Record, Epoch: sl.epoch, Standby: *sl.pair.Standby}
}
