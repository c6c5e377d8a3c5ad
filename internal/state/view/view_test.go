// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package view

import (
	"fmt"
	"testing"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

// member returns an incarnation of the member with index i, in one of three halls.
func member(i, incarnation int) hookhall.Member {
	return hookhall.Member{ID: fmt.Sprintf("e%02d#%d", i, incarnation), Instance: fmt.Sprintf("e%02d", i), Hall: fmt.Sprintf("h%d", i%3)}
}

// newFleetView returns a view with n members in three halls.
func newFleetView(n int) *hookhall.View {
	v := &hookhall.View{}
	for i := range n {
		v = Join(v, member(i, 1))
	}
	return v
}

// TestView guards against views whose epoch, history of members or unfenced members are
// wrong after members join and leave.
func TestView(t *testing.T) {
	Convey("A view", t, func() {
		v := newFleetView(9)
		Convey("counts its changes, and gives the members of earlier epochs", func() {
			So(v.Epoch, ShouldEqual, 9)
			for k := uint64(1); k <= 9; k++ {
				members, ok := MembersAt(v, k)
				So(ok, ShouldBeTrue)
				So(members, ShouldHaveLength, int(k))
			}
			_, ok := MembersAt(v, 10)
			So(ok, ShouldBeFalse)
		})
		Convey("does not change when a member joins twice or a non-member leaves", func() {
			So(Join(v, member(0, 1)), ShouldEqual, v)
			So(Leave(v, "nobody", true), ShouldEqual, v)
		})
		Convey("lists a member that may still be running as unfenced until it has ended", func() {
			removed := Leave(v, member(3, 1).ID, false)
			So(removed.Unfenced, ShouldHaveLength, 1)
			So(Fence(removed, member(3, 1).ID).Unfenced, ShouldBeEmpty)
			So(Fence(removed, member(3, 1).ID).Epoch, ShouldEqual, removed.Epoch)
			So(Join(removed, member(3, 2)).Unfenced, ShouldBeEmpty)
		})
		Convey("replaces an older incarnation in one change", func() {
			n := Join(v, member(3, 2))
			So(n.Members, ShouldHaveLength, 9)
			before, _ := MembersAt(n, n.Epoch-1)
			So(before, ShouldResemble, v.Members)
		})
		Convey("is refused when it lists a member twice", func() {
			v.Members = append(v.Members, v.Members[8])
			_, err := Decode(Encode(v))
			So(err, ShouldNotBeNil)
		})
		Convey("drops old changes, and returns false for their epochs", func() {
			for i := range 2 * maxChanges {
				v = Join(v, member(0, i+2))
			}
			So(v.Changes, ShouldHaveLength, maxChanges)
			_, ok := MembersAt(v, 3)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestPairs guards against slots that are assigned unevenly, within one hall, or to
// another owner although their own is still a member.
func TestPairs(t *testing.T) {
	Convey("Pairs of 330 members", t, func() {
		v := newFleetView(330)
		ownedSlots := map[string]int{}
		for s := range uint32(SlotCount) {
			p := PairOf(v.Members, s)
			So(p.Owner.Hall == p.Standby.Hall, ShouldBeFalse)
			ownedSlots[p.Owner.ID]++
		}
		Convey("are spread over the members", func() {
			So(len(ownedSlots), ShouldBeGreaterThan, 300)
		})
		Convey("change owner only where the owner has left", func() {
			leftID := v.Members[7].ID
			n := Leave(v, leftID, true)
			moved := 0
			for s := range uint32(SlotCount) {
				before, after := PairOf(v.Members, s), PairOf(n.Members, s)
				if before.Owner.ID != after.Owner.ID {
					moved++
					So(before.Owner.ID, ShouldEqual, leftID)
				}
			}
			So(moved, ShouldEqual, ownedSlots[leftID])
		})
	})
}

// BenchmarkPairs measures the computation of the pairs of all slots, which each process
// does for each epoch.
func BenchmarkPairs(b *testing.B) {
	for _, n := range []int{9, 40, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := newFleetView(n)
			for range b.N {
				for s := range uint32(SlotCount) {
					PairOf(v.Members, s)
				}
			}
		})
	}
}
