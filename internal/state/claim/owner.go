// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
)

// Grant is a claim that waits for the standby's word.
type Grant struct {
	Record  hookhall.Record
	Epoch   uint64
	Standby hookhall.Member
}

// Begin is the owner's first step. With a Grant, the caller copies its record
// to the standby and then calls Complete; without, the reply is final. A
// request with token 0 only looks.
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
	if !l.whole() {
		return s.notWhole(l, now), nil
	}
	if q.Token == 0 {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch}, nil
	}
	return s.open(l, q, old, now)
}

// replaceable tells whether nobody holds the right to run the request.
func (r *record) replaceable() bool {
	return r.State == hookhall.StateReleased || r.State == hookhall.StatePending && !r.copying
}

// notWhole says when to come back: soon while fetching, or when what a lost
// pair may have granted has expired.
func (s *Store) notWhole(l *slot, now time.Time) hookhall.ClaimReply {
	reply := hookhall.ClaimReply{Outcome: hookhall.ClaimLost, Epoch: l.epoch, RetryAfter: fetchSoon}
	for _, since := range l.lost {
		if d := s.retention - now.Sub(since); d > reply.RetryAfter {
			reply.RetryAfter = d
		}
	}
	return reply
}

func (s *Store) open(l *slot, q hookhall.ClaimRequest, old *record, now time.Time) (hookhall.ClaimReply, *Grant) {
	n := hookhall.Record{
		Key: q.Key, Digest: q.Digest, Origin: q.Origin, Token: q.Token,
		Sequence: l.nextSequence(old), State: hookhall.StatePending, Expires: now.Add(s.retention),
	}
	if l.pair.Standby == nil {
		n.State = hookhall.StateGranted
		l.put(n)
		return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: l.epoch, Record: n}, nil
	}
	r := l.put(n)
	r.copying = true
	sent := n
	// The standby must take it for granted: the owner may grant and die.
	sent.State = hookhall.StateGranted
	return hookhall.ClaimReply{}, &Grant{Record: sent, Epoch: l.epoch, Standby: *l.pair.Standby}
}

// sequenceBits is how many bits of a sequence count the writes within one epoch.
const sequenceBits = 24

// nextSequence orders what this owner writes after all of earlier epochs, whether it has
// seen that or not, and after the record that it replaces, nil for none.
func (l *slot) nextSequence(old *record) uint64 {
	first := l.epoch<<sequenceBits + 1
	if old == nil {
		return first
	}
	return max(old.Sequence+1, first)
}

// Complete is the owner's second step, with the standby's word.
func (s *Store) Complete(g *Grant, stored bool) hookhall.ClaimReply {
	l := &s.slots[view.SlotOf(g.Record.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[g.Record.Key]
	if r == nil || r.Token != g.Record.Token || r.Sequence != g.Record.Sequence {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch, RetryAfter: fetchSoon}
	}
	r.copying = false
	if !stored || l.epoch != g.Epoch || r.State != hookhall.StatePending {
		return hookhall.ClaimReply{Outcome: hookhall.ClaimRefused, Epoch: l.epoch, RetryAfter: fetchSoon}
	}
	r.State = hookhall.StateGranted
	return hookhall.ClaimReply{Outcome: hookhall.ClaimGranted, Epoch: l.epoch, Record: r.Record}
}

// Settle ends the claim with a token. The returned Grant, if any, is the
// changed record to copy to the standby. An owner that is not whole takes none:
// a later grant of the key may have the sequence that it would write.
func (s *Store) Settle(t hookhall.Settlement, now time.Time) (bool, uint64, *Grant) {
	l := &s.slots[view.SlotOf(t.Key)]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pair.Owner == nil || l.pair.Owner.ID != s.self {
		return false, l.epoch, nil
	}
	r := l.records[t.Key]
	if r == nil || r.Token != t.Token || r.copying || !l.whole() {
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
