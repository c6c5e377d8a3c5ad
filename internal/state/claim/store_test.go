// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claim

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/view"
	. "github.com/smartystreets/goconvey/convey"
)

// newStorePair returns two stores that are the complete owner and standby of a key at
// epoch 2.
func newStorePair(key string) (owner, standby *Store, v *hookhall.View) {
	v = view.Join(view.Join(&hookhall.View{}, hookhall.Member{ID: "a#1", Instance: "a", Hall: "h1"}),
		hookhall.Member{ID: "b#1", Instance: "b", Hall: "h2"})
	stores := map[string]*Store{"a#1": New("a#1", time.Minute), "b#1": New("b#1", time.Minute)}
	// Epoch 1 had a single member; both stores go through both epochs.
	first, _ := view.MembersAt(v, 1)
	firstView := &hookhall.View{Epoch: 1, Revision: 1, Members: first}
	for _, s := range stores {
		s.Advance(firstView)
		s.Advance(v)
	}
	p := view.PairOf(v.Members, view.SlotOf(key))
	owner, standby = stores[p.Owner.ID], stores[p.Standby.ID]
	if !owner.slots[view.SlotOf(key)].isComplete() {
		owner.Merge(standby.Records(2, []uint32{view.SlotOf(key)}).Slots[0])
	}
	return owner, standby, v
}

func newClaimRequest(key string, token uint64) hookhall.ClaimRequest {
	return hookhall.ClaimRequest{Epoch: 2, Key: key, Origin: "a#1", Token: token}
}

func TestStore(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("An owner and its standby", t, func() {
		owner, standby, _ := newStorePair("k")
		Convey("grant a key once", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			So(g, ShouldNotBeNil)
			So(standby.Copy(g.Epoch, g.Record, now).Stored, ShouldBeTrue)
			So(owner.Complete(g, true).Outcome, ShouldEqual, hookhall.ClaimGranted)
			reply, again := owner.Begin(newClaimRequest("k", 2), now)
			So(again, ShouldBeNil)
			So(reply.Outcome, ShouldEqual, hookhall.ClaimHeld)
			So(reply.Record.Token, ShouldEqual, 1)
		})
		Convey("do not grant when the standby has not stored the record, and accept another claim", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			So(owner.Complete(g, false).Outcome, ShouldEqual, hookhall.ClaimRefused)
			first := g.Record.Sequence
			_, g = owner.Begin(newClaimRequest("k", 2), now)
			So(g, ShouldNotBeNil)
			So(g.Record.Sequence, ShouldEqual, first+1)
		})
		Convey("grant a claim whose record was fetched while it was copied (found by TestSchedules)", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			standby.Merge(owner.Records(2, []uint32{view.SlotOf("k")}).Slots[0])
			So(standby.Copy(g.Epoch, g.Record, now).Stored, ShouldBeTrue)
			So(owner.Complete(g, true).Outcome, ShouldEqual, hookhall.ClaimGranted)
			So(standby.slots[view.SlotOf("k")].records["k"].State, ShouldEqual, hookhall.StateGranted)
		})
		Convey("refuse a late copy of an older grant", func() {
			_, first := owner.Begin(newClaimRequest("k", 1), now)
			owner.Complete(first, false)
			_, second := owner.Begin(newClaimRequest("k", 2), now)
			So(standby.Copy(second.Epoch, second.Record, now).Stored, ShouldBeTrue)
			So(standby.Copy(first.Epoch, first.Record, now).Stored, ShouldBeFalse)
		})
		Convey("refuse other epochs, and grant nothing that was copied at an earlier epoch", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			So(standby.Copy(g.Epoch+1, g.Record, now).Stored, ShouldBeFalse)
			So(standby.Copy(g.Epoch, g.Record, now).Stored, ShouldBeTrue)
			owner.Advance(&hookhall.View{Epoch: 3, Revision: 3, Members: owner.Placement().View.Members})
			So(owner.Complete(g, true).Outcome, ShouldEqual, hookhall.ClaimRefused)
		})
		Convey("keep the answer of a finished request, and drop it after the retention", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			standby.Copy(g.Epoch, g.Record, now)
			owner.Complete(g, true)
			done, _, copied := owner.Settle(hookhall.Settlement{Key: "k", Token: 1, State: hookhall.StateFinished, Answer: []byte("x")}, now)
			So(done, ShouldBeTrue)
			So(standby.Copy(copied.Epoch, copied.Record, now).Stored, ShouldBeTrue)
			reply, _ := owner.Begin(newClaimRequest("k", 2), now)
			So(string(reply.Record.Answer), ShouldEqual, "x")
			_, g = owner.Begin(newClaimRequest("k", 3), now.Add(2*time.Minute))
			So(g, ShouldNotBeNil)
		})
		Convey("return no records to a member at a later epoch before they have advanced to it", func() {
			ahead := &hookhall.View{Epoch: 3, Revision: 3, Members: owner.Placement().View.Members}
			So(owner.Records(3, []uint32{view.SlotOf("k")}).Slots, ShouldBeEmpty)
			owner.Advance(ahead)
			So(owner.Records(3, []uint32{view.SlotOf("k")}).Slots, ShouldHaveLength, 1)
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			So(g, ShouldBeNil) // nor grant at the epoch that they left
		})
		Convey("refuse a settlement with another token", func() {
			_, g := owner.Begin(newClaimRequest("k", 1), now)
			owner.Complete(g, true)
			done, _, _ := owner.Settle(hookhall.Settlement{Key: "k", Token: 9, State: hookhall.StateReleased}, now)
			So(done, ShouldBeFalse)
		})
	})
}

// TestReplacingRecordCanBeSettled guards against a record that can be neither settled nor
// expired, because the record that it replaced was still being copied to the standby.
func TestReplacingRecordCanBeSettled(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("A fetched grant that replaced a record whose copy was pending", t, func() {
		owner, _, _ := newStorePair("k")
		_, first := owner.Begin(newClaimRequest("k", 1), now)
		other := first.Record
		other.Token, other.Sequence = 2, first.Record.Sequence+1
		owner.Merge(hookhall.SlotRecords{Slot: view.SlotOf("k"), Records: []hookhall.Record{other}})
		So(owner.Complete(first, false).Outcome, ShouldEqual, hookhall.ClaimRefused)
		Convey("can be settled", func() {
			done, _, _ := owner.Settle(hookhall.Settlement{Key: "k", Token: 2, State: hookhall.StateFinished}, now)
			So(done, ShouldBeTrue)
		})
		Convey("expires", func() {
			owner.Sweep(now.Add(2 * time.Minute))
			So(owner.Summary().Records, ShouldEqual, 0)
		})
	})
}

// TestIncompleteOwnerRefusesSettlement guards against an owner that settles a claim while
// it lacks grants of later epochs: the settlement could have the Sequence of a later grant
// of the key and hide it.
func TestIncompleteOwnerRefusesSettlement(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("An owner that refused a grant, left the view and joined again", t, func() {
		owner, _, v := newStorePair("k")
		_, refused := owner.Begin(newClaimRequest("k", 1), now)
		self, _ := view.Find(v, owner.self)
		without := view.Leave(v, owner.self, false)
		owner.Advance(without)
		So(owner.Complete(refused, false).Outcome, ShouldEqual, hookhall.ClaimRefused)
		owner.Advance(view.Join(without, self))
		Convey("does not release that grant, and keeps a later one that it fetches", func() {
			release := hookhall.Settlement{Key: "k", Token: 1, State: hookhall.StateReleased}
			done, _, _ := owner.Settle(release, now)
			So(done, ShouldBeFalse)
			later := refused.Record
			later.Token, later.Sequence, later.State = 2, refused.Record.Sequence+1, hookhall.StateFinished
			owner.Merge(hookhall.SlotRecords{Slot: view.SlotOf("k"), CompleteThrough: without.Epoch, Records: []hookhall.Record{later}})
			done, _, _ = owner.Settle(release, now)
			So(done, ShouldBeFalse)
			request := newClaimRequest("k", 3)
			request.Epoch = owner.Placement().View.Epoch
			reply, grant := owner.Begin(request, now)
			So(grant, ShouldBeNil)
			So(reply.Outcome, ShouldEqual, hookhall.ClaimHeld)
			So(reply.Record.State, ShouldEqual, hookhall.StateFinished)
		})
	})
}

// TestRefusedGrantsKeepLowerSequence guards against a key that is granted twice: an owner
// that refused the key several times must not end with a higher Sequence than the grant of
// a later epoch, or its record would replace that grant.
func TestRefusedGrantsKeepLowerSequence(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("An owner that refused a key four times and left the view", t, func() {
		owner, standby, v := newStorePair("k")
		standby.Merge(owner.Records(v.Epoch, []uint32{view.SlotOf("k")}).Slots[0])
		for token := range uint64(4) {
			_, refused := owner.Begin(newClaimRequest("k", token+1), now)
			So(owner.Complete(refused, false).Outcome, ShouldEqual, hookhall.ClaimRefused)
		}
		self, _ := view.Find(v, owner.self)
		without := view.Leave(v, owner.self, false)
		owner.Advance(without)
		standby.Advance(without)
		request := newClaimRequest("k", 9)
		request.Epoch = without.Epoch
		reply, _ := standby.Begin(request, now)
		So(reply.Outcome, ShouldEqual, hookhall.ClaimGranted)
		done, _, _ := standby.Settle(hookhall.Settlement{Key: "k", Token: 9, State: hookhall.StateFinished}, now)
		So(done, ShouldBeTrue)
		Convey("fetches the grant of the later epoch when it joins again", func() {
			with := view.Join(without, self)
			owner.Advance(with)
			standby.Advance(with)
			owner.Merge(standby.Records(with.Epoch, []uint32{view.SlotOf("k")}).Slots[0])
			request.Epoch, request.Token = with.Epoch, 10
			reply, grant := owner.Begin(request, now)
			So(grant, ShouldBeNil)
			So(reply.Outcome, ShouldEqual, hookhall.ClaimHeld)
			So(reply.Record.Token, ShouldEqual, 9)
		})
		Convey("does not replace that grant at the member that holds it", func() {
			standby.Merge(owner.Records(without.Epoch, []uint32{view.SlotOf("k")}).Slots[0])
			request.Token = 10
			reply, _ := standby.Begin(request, now)
			So(reply.Outcome, ShouldEqual, hookhall.ClaimHeld)
		})
	})
}

// TestLostPairRetryAfter guards against a retry delay that ends before a lost pair's claims count
// as expired, so that the client is refused again.
func TestLostPairRetryAfter(t *testing.T) {
	now := time.Unix(1e9, 0)
	member := hookhall.Member{ID: "b#1", Instance: "b", Hall: "h1"}
	v := view.Leave(view.Join(view.Join(&hookhall.View{}, hookhall.Member{ID: "a#1", Instance: "a", Hall: "h1"}), member), "a#1", true)
	store := New(member.ID, time.Minute)
	store.Advance(v)
	slot := view.SlotOf("k")
	repair := func(now time.Time) {
		for _, missing := range store.MissingEpochs() {
			store.MarkPairLost(missing, now)
		}
	}
	repair(now)
	request := hookhall.ClaimRequest{Epoch: v.Epoch, Key: "k", Origin: member.ID, Token: 1}
	reply, _ := store.Begin(request, now)
	if reply.Outcome != hookhall.ClaimLost {
		t.Fatalf("outcome %v, complete through %d of %d", reply.Outcome, store.slots[slot].completeThrough, v.Epoch)
	}
	repair(now.Add(reply.RetryAfter))
	if later, _ := store.Begin(request, now.Add(reply.RetryAfter)); later.Outcome != hookhall.ClaimGranted {
		t.Errorf("outcome %v after the %v of the retry delay, retry after %v", later.Outcome, reply.RetryAfter, later.RetryAfter)
	}
}

// TestLostPairsAreWaitedForTogether guards against a key that is refused for the retention once for
// each epoch whose pair was lost.
func TestLostPairsAreWaitedForTogether(t *testing.T) {
	now := time.Unix(1e9, 0)
	member := func(name string) hookhall.Member {
		return hookhall.Member{ID: name + "#1", Instance: name, Hall: "h1"}
	}
	v := &hookhall.View{}
	for _, name := range []string{"a", "b", "self"} {
		v = view.Join(v, member(name))
	}
	for _, name := range []string{"a", "b"} {
		v = view.Leave(v, member(name).ID, true)
	}
	store := New("self#1", time.Minute)
	store.Advance(v)
	repair := func(now time.Time) {
		for range v.Epoch {
			for _, missing := range store.MissingEpochs() {
				store.MarkPairLost(missing, now)
			}
		}
	}
	repair(now)
	repair(now.Add(store.lostWait()))
	request := hookhall.ClaimRequest{Epoch: v.Epoch, Key: "k", Origin: "self#1", Token: 1}
	if reply, _ := store.Begin(request, now.Add(store.lostWait())); reply.Outcome != hookhall.ClaimGranted {
		t.Errorf("outcome %v after the wait, retry after %v", reply.Outcome, reply.RetryAfter)
	}
}

// TestExhaustedSequence guards against writes of a key whose Sequence is that of a later epoch, and
// which would hide a grant there.
func TestExhaustedSequence(t *testing.T) {
	now := time.Unix(1e9, 0)
	owner, _, v := newStorePair("k")
	first, grant := owner.Begin(newClaimRequest("k", 1), now)
	if grant == nil {
		t.Fatalf("no grant: %+v", first)
	}
	owner.Complete(grant, false)
	owner.slots[view.SlotOf("k")].records["k"].Sequence = (v.Epoch+1)<<sequenceBits - 2
	if reply, grant := owner.Begin(newClaimRequest("k", 2), now); grant != nil || reply.Outcome != hookhall.ClaimRefused || reply.RetryAfter == 0 {
		t.Errorf("grant %+v, reply %+v", grant, reply)
	}
}
