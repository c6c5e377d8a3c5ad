// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

func member(n int) hookhall.Member {
	return hookhall.Member{ID: fmt.Sprint("m", n), Instance: fmt.Sprint("m", n), Address: fmt.Sprintf("10.0.0.%d:1", n), Power: 1}
}

// listed makes a Members that lists others than itself, number 1, as of long ago.
func listed(n int) *Members {
	m := New(member(1), nil, log.New(io.Discard))
	for i := range n {
		m.byKey[fmt.Sprint(prefix, i+1)] = listing{member: member(i + 1)}
	}
	m.publish()
	for i := range n {
		m.since.Store(member(i+1).Address, time.Now().Add(-time.Hour))
	}
	return m
}

// registered is the key that a member wrote, as of a revision.
func registered(o hookhall.Member, revision hookhall.Revision) hookhall.Item {
	value, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return hookhall.Item{Key: prefix + o.Instance, Value: value, Revision: revision}
}

func TestOwner(t *testing.T) {
	now := time.Now()
	Convey("Given nine members", t, func() {
		m := listed(9)
		owners := map[string]int{}
		for i := range 900 {
			owners[m.Owner(fmt.Sprint("k", i), nil, now).Address]++
		}
		Convey("each owns a share", func() {
			So(len(owners), ShouldEqual, 9)
			for _, n := range owners {
				So(n, ShouldBeBetween, 50, 160)
			}
		})
		Convey("one that goes leaves the others' work where it is", func() {
			less := listed(8)
			for i := range 200 {
				key := fmt.Sprint("k", i)
				if before := m.Owner(key, nil, now); before.Address != member(9).Address {
					So(less.Owner(key, nil, now).Address, ShouldEqual, before.Address)
				}
			}
		})
		Convey("a silent one owns nothing for a while", func() {
			first := m.Owner("k", nil, now)
			m.Suspect(first.Address, now)
			if first.Address != m.self.Address {
				So(m.Owner("k", nil, now).Address, ShouldNotEqual, first.Address)
			}
			So(m.Owner("k", nil, now.Add(2*suspectFor)).Address, ShouldEqual, first.Address)
		})
		Convey("a silent one that registers anew is no longer left out", func() {
			first := m.Owner("k", map[string]bool{m.self.Address: true}, now)
			m.Suspect(first.Address, now)
			m.change([]hookhall.Item{registered(first, 7)}, 7)
			So(m.Suspected(first.Address, now), ShouldBeFalse)
		})
		Convey("one of a reading of the whole list is left out all the same", func() {
			m.take(registered(member(2), 7), now)
			m.Suspect(member(2).Address, now)
			m.take(registered(member(2), 7), now)
			So(m.Suspected(member(2).Address, now), ShouldBeTrue)
		})
		Convey("a newcomer owns nothing at first", func() {
			m.byKey[prefix+"10"] = listing{member: member(10)}
			m.publish()
			for i := range 300 {
				So(m.Owner(fmt.Sprint("k", i), nil, time.Now()).Address, ShouldNotEqual, member(10).Address)
			}
			later := time.Now().Add(2 * newcomer)
			got := 0
			for i := range 300 {
				if m.Owner(fmt.Sprint("k", i), nil, later).Address == member(10).Address {
					got++
				}
			}
			So(got, ShouldBeGreaterThan, 0)
		})
		Convey("one that stops owns nothing by its own word", func() {
			m.stopping.Store(true)
			for i := range 300 {
				So(m.Owner(fmt.Sprint("k", i), nil, now).Address, ShouldNotEqual, m.self.Address)
			}
		})
		Convey("ranks are 0, 1 and 2", func() {
			first := m.Owner("reader", nil, now)
			second := m.Owner("reader", map[string]bool{first.Address: true}, now)
			want := 2
			switch m.self.Address {
			case first.Address:
				want = 0
			case second.Address:
				want = 1
			}
			So(m.Rank("reader", now), ShouldEqual, want)
		})
	})
	Convey("When all are newcomers, they own at once", t, func() {
		m := New(member(1), nil, log.New(io.Discard))
		m.byKey[prefix+"2"] = listing{member: member(2)}
		m.publish()
		owners := map[string]bool{}
		for i := range 100 {
			owners[m.Owner(fmt.Sprint("k", i), nil, time.Now()).Address] = true
		}
		So(len(owners), ShouldEqual, 2)
	})
	Convey("Weak members own little", t, func() {
		m := New(member(1), nil, log.New(io.Discard))
		weak := member(2)
		weak.Power = 0.2
		m.byKey[prefix+"2"] = listing{member: weak}
		m.publish()
		n := 0
		for i := range 1000 {
			if m.Owner(fmt.Sprint("k", i), nil, time.Now()).Address == weak.Address {
				n++
			}
		}
		So(n, ShouldBeBetween, 10, 100)
	})
}

func TestTake(t *testing.T) {
	m := listed(1)
	b, err := json.Marshal(member(5))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	m.take(hookhall.Item{Key: prefix + "m5", Value: b, Revision: 1}, now)
	m.take(hookhall.Item{Key: prefix + "bad", Value: []byte("{"), Revision: 1}, now)
	m.take(hookhall.Item{Key: "other/m6", Value: b, Revision: 1}, now)
	m.publish()
	if m.Count() != 2 {
		t.Fatalf("%d members", m.Count())
	}
	m.take(hookhall.Item{Key: prefix + "m5", Gone: true}, now)
	m.publish()
	if m.Count() != 1 {
		t.Fatalf("%d members", m.Count())
	}
}

// TestSharers: limits of the fleet are shared with members that left the list a
// short while ago, and nothing is shared before a list is known and has settled.
func TestSharers(t *testing.T) {
	now := time.Now()
	m := New(member(1), nil, log.New(io.Discard))
	count := func(after time.Duration) int {
		n, _ := m.Sharers(now.Add(after))
		return n
	}
	if n := count(time.Hour); n != 0 {
		t.Fatalf("%d sharers before a list is known", n)
	}
	m.Meet([]hookhall.Member{member(2), member(3)})
	if n := count(newcomer / 2); n != 0 {
		t.Fatalf("%d sharers before the list has settled", n)
	}
	if n := count(2 * newcomer); n != 3 {
		t.Fatalf("%d sharers, not 3", n)
	}
	m.mu.Lock()
	m.remove(prefix+member(2).Instance, now)
	m.publish()
	m.mu.Unlock()
	if n := count(2 * newcomer); n != 3 || m.Count() != 2 {
		t.Fatalf("%d sharers of %d members, not 3 of 2", n, m.Count())
	}
	if n := count(2 * shareFor); n != 2 {
		t.Fatalf("%d sharers later, not 2", n)
	}
	if _, place := m.Sharers(now.Add(2 * shareFor)); place != 0 {
		t.Fatalf("place %d, not the first", place)
	}
}
