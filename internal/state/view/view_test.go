// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package view

import (
	"fmt"
	"testing"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

func member(i, incarnation int) hookhall.Member {
	return hookhall.Member{ID: fmt.Sprintf("e%02d#%d", i, incarnation), Instance: fmt.Sprintf("e%02d", i), Hall: fmt.Sprintf("h%d", i%3)}
}

func fleetOf(n int) *hookhall.View {
	v := &hookhall.View{}
	for i := range n {
		v = Join(v, member(i, 1))
	}
	return v
}

func TestView(t *testing.T) {
	Convey("A view", t, func() {
		v := fleetOf(9)
		Convey("counts its changes, and tells earlier memberships", func() {
			So(v.Epoch, ShouldEqual, 9)
			for k := uint64(1); k <= 9; k++ {
				members, ok := At(v, k)
				So(ok, ShouldBeTrue)
				So(members, ShouldHaveLength, int(k))
			}
			_, ok := At(v, 10)
			So(ok, ShouldBeFalse)
		})
		Convey("does not change when a member joins twice or a stranger leaves", func() {
			So(Join(v, member(0, 1)), ShouldEqual, v)
			So(Leave(v, "nobody", true), ShouldEqual, v)
		})
		Convey("keeps a member that was taken out on evidence unfenced until it is gone", func() {
			out := Leave(v, member(3, 1).ID, false)
			So(out.Unfenced, ShouldHaveLength, 1)
			So(Fence(out, member(3, 1).ID).Unfenced, ShouldBeEmpty)
			So(Fence(out, member(3, 1).ID).Epoch, ShouldEqual, out.Epoch)
			So(Join(out, member(3, 2)).Unfenced, ShouldBeEmpty)
		})
		Convey("replaces an older incarnation in one change", func() {
			n := Join(v, member(3, 2))
			So(n.Members, ShouldHaveLength, 9)
			before, _ := At(n, n.Epoch-1)
			So(before, ShouldResemble, v.Members)
		})
		Convey("is refused when it names a member twice", func() {
			v.Members = append(v.Members, v.Members[8])
			_, err := Decode(Encode(v))
			So(err, ShouldNotBeNil)
		})
		Convey("forgets old changes, and says so", func() {
			for i := range 2 * keptChanges {
				v = Join(v, member(0, i+2))
			}
			So(v.Changes, ShouldHaveLength, keptChanges)
			_, ok := At(v, 3)
			So(ok, ShouldBeFalse)
		})
	})
}

func TestPairs(t *testing.T) {
	Convey("Pairs of 330 members", t, func() {
		v := fleetOf(330)
		owned := map[string]int{}
		for s := range uint32(SlotCount) {
			p := PairOf(v.Members, s)
			So(p.Owner.Hall == p.Standby.Hall, ShouldBeFalse)
			owned[p.Owner.ID]++
		}
		Convey("are spread", func() {
			So(len(owned), ShouldBeGreaterThan, 300)
		})
		Convey("move only where a member is lost", func() {
			lost := v.Members[7].ID
			n := Leave(v, lost, true)
			moved := 0
			for s := range uint32(SlotCount) {
				a, b := PairOf(v.Members, s), PairOf(n.Members, s)
				if a.Owner.ID != b.Owner.ID {
					moved++
					So(a.Owner.ID, ShouldEqual, lost)
				}
			}
			So(moved, ShouldEqual, owned[lost])
		})
	})
}

// BenchmarkPairs computes all pairs, as each process does for each epoch.
func BenchmarkPairs(b *testing.B) {
	for _, n := range []int{9, 40, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := fleetOf(n)
			for range b.N {
				for s := range uint32(SlotCount) {
					PairOf(v.Members, s)
				}
			}
		})
	}
}
