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
	// keyRetention outlasts every test's wait, so that a key that isn't released stays held.
	keyRetention = time.Minute
	// callerTimeout is the deadline of a caller that acquires a key.
	callerTimeout = 2 * time.Second
)

// group is a set of entries in one process. A call from one to another reaches the
// other's handler at once, unless faults is set.
type group struct {
	entries map[string]*Claims // by address
	view    *hookhall.View
	// mu guards the state of a schedule, view included; other tests don't need it.
	mu sync.Mutex
	// faults, if set, transports a call: it calls deliver at once, late or not at all, and
	// reports whether the caller gets the reply.
	faults func(ctx context.Context, deliver func()) bool
	// beforeCopy and afterCopy, if set, are called before and after a standby stores a copy.
	beforeCopy func(hookhall.Record)
	afterCopy  func(hookhall.Record)
	// editReply, if set, changes the reply of an owner.
	editReply func(*hookhall.ClaimReply)
}

// peerLink is the client of one entry of a group.
type peerLink struct {
	hookhall.Peer
	group *group
	to    *Claims
}

func newPair() *group { return newGroup("a", "b") }

func newGroup(addresses ...string) *group {
	g := &group{entries: map[string]*Claims{}, view: &hookhall.View{}}
	for _, n := range addresses {
		m := hookhall.Member{ID: n + "#1", Instance: n, Hall: n, Address: n}
		g.entries[n] = newEntry(m, g)
		g.view = view.Join(g.view, m)
	}
	for _, c := range g.entries {
		c.fleet.Adopt(g.view)
		for slot := range uint32(view.SlotCount) {
			c.store.MarkCompleteBefore(slot, g.view.Epoch)
		}
	}
	return g
}

func newEntry(m hookhall.Member, p hookhall.Peers) *Claims {
	quiet := log.New(io.Discard)
	s := claim.New(m.ID, keyRetention)
	return New(s, fleet.New(fleet.Config{
		Self: m, Peers: p, Store: s, Tables: tables.NewFollower(nil, quiet), Log: quiet,
	}), p, quiet)
}

// Peer returns the client of the entry at an address.
func (g *group) Peer(address string) hookhall.Peer { return peerLink{group: g, to: g.entries[address]} }

// deliverCall makes one call, through the group's faults if these are set.
func deliverCall[R any](ctx context.Context, l peerLink, handle func() R) (R, error) {
	var reply R
	if l.group.faults == nil {
		return handle(), nil
	}
	if !l.group.faults(ctx, func() { reply = handle() }) {
		var none R
		return none, hookhall.ErrUnavailable
	}
	return reply, nil
}

func (l peerLink) Probe(ctx context.Context, q hookhall.Probe) (hookhall.ProbeReply, error) {
	return deliverCall(ctx, l, func() hookhall.ProbeReply { return l.to.fleet.HandleProbe(ctx, q) })
}

func (l peerLink) Fetch(ctx context.Context, q hookhall.FetchRequest) (hookhall.FetchReply, error) {
	return deliverCall(ctx, l, func() hookhall.FetchReply { return l.to.fleet.HandleFetch(q) })
}

func (l peerLink) Claim(ctx context.Context, q hookhall.ClaimRequest) (hookhall.ClaimReply, error) {
	return deliverCall(ctx, l, func() hookhall.ClaimReply {
		reply := l.to.Handle(ctx, q)
		if l.group.editReply != nil {
			l.group.editReply(&reply)
		}
		return reply
	})
}

func (l peerLink) Settle(ctx context.Context, s hookhall.Settlement) (hookhall.CopyReply, error) {
	return deliverCall(ctx, l, func() hookhall.CopyReply { return l.to.HandleSettle(ctx, s) })
}

func (l peerLink) Copy(ctx context.Context, epoch uint64, r hookhall.Record) (hookhall.CopyReply, error) {
	return deliverCall(ctx, l, func() hookhall.CopyReply {
		if l.group.beforeCopy != nil {
			l.group.beforeCopy(r)
		}
		reply := l.to.HandleCopy(epoch, r)
		if l.group.afterCopy != nil {
			l.group.afterCopy(r)
		}
		return reply
	})
}

// changeView edits the view, so that a member has left or joined, and makes all entries
// adopt it.
func (g *group) changeView(edit func(*hookhall.View) *hookhall.View) {
	g.view = edit(g.view)
	for _, c := range g.entries {
		c.fleet.Adopt(g.view)
	}
}

// keyOwnedBy returns a key whose owner is the entry at an address.
func (g *group) keyOwnedBy(address string) string {
	for n := 0; ; n++ {
		key := fmt.Sprintf("k%d", n)
		if view.PairOf(g.view.Members, view.SlotOf(key)).Owner.Address == address {
			return key
		}
	}
}

// onFirst returns a function that calls f when it first gets a record in a state.
func onFirst(state hookhall.RecordState, f func()) func(hookhall.Record) {
	var once sync.Once
	return func(r hookhall.Record) {
		if r.State == state {
			once.Do(f)
		}
	}
}

// loseFirstReply returns faults that deliver all calls and lose the reply of the first.
func loseFirstReply() func(context.Context, func()) bool {
	var calls atomic.Int32
	return func(_ context.Context, deliver func()) bool {
		deliver()
		return calls.Add(1) > 1
	}
}

// leave returns the change of a view by which a member leaves in a planned stop.
func leave(id string) func(*hookhall.View) *hookhall.View {
	return func(v *hookhall.View) *hookhall.View { return view.Leave(v, id, true) }
}

// TestRefusedGrantIsReleased guards against a key that stays held for the whole retention:
// the standby has stored a grant that its owner then refuses, and becomes the owner. Without
// a release, its copy blocks the key for the very caller that requested it.
func TestRefusedGrantIsReleased(t *testing.T) {
	Convey("The owner leaves the view while it waits for its standby", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		p.afterCopy = onFirst(hookhall.StateGranted, func() { p.changeView(leave("a#1")) })
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		Convey("and the caller gets the grant from the new owner", func() {
			ticket, record, err := p.entries["b"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldBeNil)
			So(ticket, ShouldNotBeNil)
		})
	})
}

// TestMisdirectedGrantIsReleased guards against a key that stays held for the whole retention because
// the owner's reply named another key or token, so that the origin doesn't use the grant.
func TestMisdirectedGrantIsReleased(t *testing.T) {
	for name, edit := range map[string]func(*hookhall.ClaimReply){
		"another key":   func(r *hookhall.ClaimReply) { r.Record.Key = "other" },
		"another token": func(r *hookhall.ClaimReply) { r.Record.Token++ },
	} {
		Convey("The owner's reply is for "+name, t, func() {
			p := newPair()
			key := p.keyOwnedBy("a")
			var first sync.Once
			p.editReply = func(r *hookhall.ClaimReply) { first.Do(func() { edit(r) }) }
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			_, _, err := p.entries["b"].Acquire(ctx, key, 1)
			So(hookhall.AsError(err).Cause, ShouldEqual, hookhall.CauseMisdirected)
			So(p.entries["b"].Drain(ctx), ShouldBeNil)
			Convey("and a later submission gets the grant", func() {
				ticket, _, err := p.entries["b"].Acquire(ctx, key, 1)
				So(err, ShouldBeNil)
				So(ticket, ShouldNotBeNil)
			})
		})
	}
}

// TestGrantAfterLostReplyIsSettled guards against the loss of a run's answer: a retried
// request has a new token, and a settlement with the token of the request whose reply was
// lost would be refused.
func TestGrantAfterLostReplyIsSettled(t *testing.T) {
	Convey("The reply to the first request is lost, and the run ends", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		p.faults = loseFirstReply()
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		ticket, _, err := p.entries["b"].Acquire(ctx, key, 1)
		So(err, ShouldBeNil)
		p.entries["b"].Settle(ticket, hookhall.StateFinished, []byte("answer"), callerTimeout/4)
		Convey("and its answer is returned to a later submission", func() {
			_, record, err := p.entries["a"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldNotBeNil)
			So(string(record.Answer), ShouldEqual, "answer")
		})
	})
}

// TestSettlementReachesTheNextOwner guards against a settlement that counts as stored while
// only its owner has it: the owner leaves the view before the standby has stored the copy.
func TestSettlementReachesTheNextOwner(t *testing.T) {
	Convey("The owner leaves the view while it copies a settlement", t, func() {
		p := newPair()
		key := p.keyOwnedBy("a")
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		ticket, _, err := p.entries["b"].Acquire(ctx, key, 1)
		So(err, ShouldBeNil)
		p.beforeCopy = onFirst(hookhall.StateFinished, func() { p.changeView(leave("a#1")) })
		p.entries["b"].Settle(ticket, hookhall.StateFinished, []byte("answer"), callerTimeout/4)
		Convey("and the new owner has the answer", func() {
			_, record, err := p.entries["b"].Acquire(ctx, key, 1)
			So(err, ShouldBeNil)
			So(record, ShouldNotBeNil)
			So(string(record.Answer), ShouldEqual, "answer")
		})
	})
}

// TestDrainEnds guards against a planned stop that waits without a bound for a settlement
// that no owner accepts.
func TestDrainEnds(t *testing.T) {
	Convey("A settlement that its owner refuses", t, func() {
		p := newPair()
		e := p.entries["a"]
		e.Settle(&Ticket{Key: p.keyOwnedBy("b"), Token: 1}, hookhall.StateFinished, nil, time.Millisecond)
		Convey("is waited for no longer than the stop timeout", func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			So(e.Drain(ctx), ShouldNotBeNil)
		})
	})
}
