// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claims

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/fleet"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/view"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	keyRetention = time.Minute
	// callerWait is the deadline of a caller that asks for a key.
	callerWait = 2 * time.Second
)

// group is entries in one process. Their calls of one another reach the other's handlers
// at once, unless faults say otherwise.
type group struct {
	entries map[string]*Claims // by address
	view    *hookhall.View
	mu      sync.Mutex
	// faults, if set, carries a call: it calls deliver, at once, late or not at all, and
	// returns whether the caller gets the reply.
	faults func(ctx context.Context, deliver func()) bool
	// sent and stored, if set, are called before and after a standby gets a copy.
	sent   func(hookhall.Record)
	stored func(hookhall.Record)
}

// link is the way to one entry of a group.
type link struct {
	hookhall.Peer
	p  *group
	to *Claims
}

func newPair() *group { return newGroup("a", "b") }

func newGroup(addresses ...string) *group {
	p := &group{entries: map[string]*Claims{}, view: &hookhall.View{}}
	for _, n := range addresses {
		m := hookhall.Member{ID: n + "#1", Instance: n, Hall: n, Address: n}
		p.entries[n] = newEntry(m, p)
		p.view = view.Join(p.view, m)
	}
	for _, c := range p.entries {
		c.fleet.Adopt(p.view)
		for slot := range uint32(view.SlotCount) {
			c.store.Forget(slot, p.view.Epoch)
		}
	}
	return p
}

func newEntry(m hookhall.Member, p hookhall.Peers) *Claims {
	quiet := log.New(io.Discard)
	s := claim.New(m.ID, keyRetention)
	return New(s, fleet.New(fleet.Parts{
		Self: m, Peers: p, Store: s, Tables: tables.NewKeeper(nil, quiet), Log: quiet,
	}), p, quiet)
}

// Peer is the way to the entry at an address.
func (p *group) Peer(address string) hookhall.Peer { return link{p: p, to: p.entries[address]} }

// carry makes one call.
func carry[R any](ctx context.Context, l link, handle func() R) (R, error) {
	var reply R
	if l.p.faults == nil {
		return handle(), nil
	}
	if !l.p.faults(ctx, func() { reply = handle() }) {
		var none R
		return none, hookhall.ErrUnavailable
	}
	return reply, nil
}

func (l link) Probe(ctx context.Context, q hookhall.Probe) (hookhall.ProbeReply, error) {
	return carry(ctx, l, func() hookhall.ProbeReply { return l.to.fleet.HandleProbe(ctx, q) })
}

func (l link) Fetch(ctx context.Context, q hookhall.FetchRequest) (hookhall.FetchReply, error) {
	return carry(ctx, l, func() hookhall.FetchReply { return l.to.fleet.HandleFetch(q) })
}

func (l link) Claim(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	return carry(ctx, l, func() hookhall.ClaimReply { return l.to.Handle(ctx, q) })
}

func (l link) Settle(ctx context.Context, s hookhall.Settlement) (hookhall.CopyReply, error) {
	return carry(ctx, l, func() hookhall.CopyReply { return l.to.HandleSettle(ctx, s) })
}

func (l link) Copy(ctx context.Context, epoch uint64, r hookhall.Record) (hookhall.CopyReply, error) {
	return carry(ctx, l, func() hookhall.CopyReply {
		if l.p.sent != nil {
			l.p.sent(r)
		}
		reply := l.to.HandleCopy(epoch, r)
		if l.p.stored != nil {
			l.p.stored(r)
		}
		return reply
	})
}

// change puts the next view in force everywhere, in which a member has left or joined.
func (p *group) change(edit func(*hookhall.View) *hookhall.View) {
	p.view = edit(p.view)
	for _, c := range p.entries {
		c.fleet.Adopt(p.view)
	}
}

// keyOwnedBy is a key whose owner is the entry at an address.
func (p *group) keyOwnedBy(address string) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("k%d", n)
		if view.PairOf(p.view.Members, view.SlotOf(key)).Owner.Address == address {
			return key
		}
	}
}

// onFirst calls f with the first record of a state.
func onFirst(state hookhall.RecordState, f func()) func(hookhall.Record) {
	var once sync.Once
	return func(r hookhall.Record) {
		if r.State == state {
			once.Do(f)
		}
	}
}

// loseFirstReply delivers all calls, and loses the reply of the first.
func loseFirstReply() func(context.Context, func()) bool {
	var calls atomic.Int32
	return func(_ context.Context, deliver func()) bool {
		deliver()
		return calls.Add(1) > 1
	}
}

func leave(id string) func(*hookhall.View) *hookhall.View {
	return func(v *hookhall.View) *hookhall.View { return view.Leave(v, id, true) }
}

// TestRefusedGrantIsGivenBack: what a standby stored for a grant that its owner then
// refused must not hold the key against the very caller that asked for it.
func TestRefusedGrantIsGivenBack(t *testing.T) {
	Convey("The owner leaves the view while it waits for its standby", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		p.stored = onFirst(hookhall.StateGranted, func() { p.change(leave("a#1")) })
		ctx, cancel := context.WithTimeout(context.Background(), callerWait)
		defer cancel()
		Convey("and the caller gets the grant from the new owner", func() {
			ticket, record, err := p.entries["b"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldBeNil)
			So(ticket, ShouldNotBeNil)
		})
	})
}

// TestGrantAfterLostReplyIsSettled: the grant of a repeated ask is settled by its own
// token, and not by that of the ask whose reply was lost.
func TestGrantAfterLostReplyIsSettled(t *testing.T) {
	Convey("The reply to the first ask is lost, and the run ends", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		p.faults = loseFirstReply()
		ctx, cancel := context.WithTimeout(context.Background(), callerWait)
		defer cancel()
		ticket, _, err := p.entries["b"].Acquire(ctx, key, 1)
		So(err, ShouldBeNil)
		p.entries["b"].Settle(ticket, hookhall.StateFinished, []byte("answer"), callerWait/4)
		Convey("and its answer is there for who comes again", func() {
			_, record, err := p.entries["a"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldNotBeNil)
			So(string(record.Answer), ShouldEqual, "answer")
		})
	})
}

// TestSettlementReachesTheNextOwner: a settlement is not done while its owner alone has it.
func TestSettlementReachesTheNextOwner(t *testing.T) {
	Convey("The owner leaves the view while it copies the end of a run", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		ctx, cancel := context.WithTimeout(context.Background(), callerWait)
		defer cancel()
		ticket, _, err := p.entries["b"].Acquire(ctx, key, 1)
		So(err, ShouldBeNil)
		p.sent = onFirst(hookhall.StateFinished, func() { p.change(leave("a#1")) })
		p.entries["b"].Settle(ticket, hookhall.StateFinished, []byte("answer"), callerWait/4)
		Convey("and the new owner has the answer", func() {
			_, record, err := p.entries["b"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldNotBeNil)
			So(string(record.Answer), ShouldEqual, "answer")
		})
	})
}

// TestDrainEnds: a settlement that no owner takes does not hold up a planned stop.
func TestDrainEnds(t *testing.T) {
	Convey("A settlement that its owner refuses", t, func() {
		p := newPair()
		e := p.entries["a"]
		e.Settle(&Ticket{Key: p.keyOwnedBy("b"), Token: 1}, hookhall.StateFinished, nil, time.Millisecond)
		Convey("is waited for no longer than the stop may take", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			So(e.Drain(ctx), ShouldNotBeNil)
		})
	})
}
