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
func (s *Store) Begin(q hookhall.ClaimRequest, now time.Time) (hookhall.ClaimReply, *Grant) {
	l := &s.slots[view.SlotOf(q.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if l.epoch != q.Epoch || l.pair.Owner == nil || l.pair.Owner.ID != s.self {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimBehind, Epoch: l.epoch}, nil
	}
	old := l.records[q.Key]
	if old != nil && !old.replaceable() {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimHeld, Epoch: l.epoch, Record: old.Record}, nil
	}
	if !l.isComplete() {
		return s.incompleteReply(l, now), nil
	}
	if q.Token == 0 {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch}, nil
	}
	return s.openClaim(l, q, old, now)
}

// replaceable reports whether a new claim may replace the record: it was released,
// or it is pending and no reply of the standby is awaited.
func (r *record) replaceable() bool {
	return r.State == hookhall.StateReleased || r.State == hookhall.StatePending && !r.awaitingStandby
}

// incompleteReply returns ClaimLost with the delay to the next try: fetchRetryDelay
// while records are being fetched, or the rest of the retention when it must pass before
// every claim that a lost pair may have granted has expired. l.mu must be held.
func (s *Store) incompleteReply(l *slot, now time.Time) hookhall.ClaimReply {
	reply := hookhall.ClaimReply{Outcome: hookhall.ClaimLost, Epoch: l.epoch, RetryAfter: fetchRetryDelay}
	for _, since := range l.lostSince {
		if d := s.retention - now.Sub(since); d > reply.RetryAfter {
			reply.RetryAfter = d
		}
	}
	return reply
}

// openClaim writes the record of a new claim, which replaces old, nil for none. It
// grants at once when the slot has no standby, and returns a Grant otherwise. l.mu
// must be held.
func (s *Store) openClaim(l *slot, q hookhall.ClaimRequest, old *record, now time.Time) (hookhall.ClaimReply, *Grant) {
	opened := hookhall.Record{
		Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token,
		Sequence: l.nextSequence(old), State: hookhall.StatePending, Expires: now.Add(s.retention),
	}
	if l.pair.Standby == nil {
		opened.State = hookhall.StateGranted
		l.put(opened)
		return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: l.epoch, Record: opened}, nil
	}
	r := l.put(opened)
	r.awaitingStandby = true
	standbyCopy := opened
	// The standby stores the claim as granted, because the owner may grant it and
	// crash before another message reaches the standby.
	standbyCopy.State = hookhall.StateGranted
	return hookhall.ClaimReply{}, &Grant{Record: standbyCopy, Epoch: l.epoch, Standby: *l.pair.Standby}
}

// sequenceBits is the number of low bits of a record's Sequence that count the writes
// within one epoch; the higher bits are the epoch.
const sequenceBits = 24

// nextSequence returns a Sequence above that of every write of earlier epochs, including
// those that this process doesn't hold, and above that of old, the record to replace (nil
// for none). l.mu must be held.
func (l *slot) nextSequence(old *record) uint64 {
	first := l.epoch<<sequenceBits + 1
	if old == nil {
		return first
	}
	return max(old.Sequence+1, first)
}

// Complete finishes a claim that Begin opened; stored is whether the standby stored the
// record. It grants the claim only if the standby did and the slot is still at the
// Grant's epoch; otherwise it refuses, and another claim may replace the record.
func (s *Store) Complete(g *Grant, stored bool) hookhall.ClaimReply {
	l := &s.slots[view.SlotOf(g.Record.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[g.Record.Key]
	if r == nil || r.Token != g.Record.Token || r.Sequence != g.Record.Sequence {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch, RetryAfter: fetchRetryDelay}
	}
	r.awaitingStandby = false
	if !stored || l.epoch != g.Epoch || r.State != hookhall.StatePending {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch, RetryAfter: fetchRetryDelay}
	}
	r.State = hookhall.StateGranted
	return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: l.epoch, Record: r.Record}
}

// Settle records the end of the claim that has the settlement's token. It returns
// whether the settlement was accepted, the slot's epoch, and, if there is a standby, a
// Grant with the changed record to copy to it. An owner whose records are incomplete
// accepts none: a later grant of the key may have the Sequence that it would write.
func (s *Store) Settle(t hookhall.Settlement, now time.Time) (bool, uint64, *Grant) {
	l := &s.slots[view.SlotOf(t.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pair.Owner == nil || l.pair.Owner.ID != s.self {
		return false, l.epoch, nil
	}
	r := l.records[t.Key]
	if r == nil || r.Token != t.Token || r.awaitingStandby || !l.isComplete() {
		return false, l.epoch, nil
	}
	if r.State != t.State {
		r.State, r.Answer = t.State, t.Answer
		r.Sequence = l.nextSequence(r)
		r.Expires = now.Add(s.retention)
	}
	if l.pair.Standby == nil {
		return true, l.epoch, nil
	}
	return true, l.epoch, &Grant{Record: r.Record, Epoch: l.epoch, Standby: *l.pair.Standby}
}
