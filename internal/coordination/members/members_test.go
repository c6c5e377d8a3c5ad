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
	return hookhall.Member{ID: fmt.Sprint("m", n), Instance: fmt.Sprint("m", n), Address: fmt.Sprintf("10.0.0.%d:1", n), RelativeCapacity: 1}
}

// newEstablished returns a Members of member 1 that lists members 1 to n as of an hour ago,
// so that none is a newcomer.
func newEstablished(n int) *Members {
	m := New(member(1), nil, log.New(io.Discard))
	for i := range n {
		m.listingByKey[fmt.Sprint(keyPrefix, i+1)] = listing{member: member(i + 1)}
	}
	m.publish()
	for i := range n {
		m.listedSince.Store(member(i+1).Address, time.Now().Add(-time.Hour))
	}
	return m
}

// memberItem returns the item of a member's key, written at a revision.
func memberItem(o hookhall.Member, revision hookhall.Revision) hookhall.Item {
	value, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	return hookhall.Item{Key: keyPrefix + o.Instance, Value: value, Revision: revision}
}

// TestOwner guards against work that has no owner, moves without need, or goes to members that
// do not answer, have just started or are weak.
func TestOwner(t *testing.T) {
	now := time.Now()
	Convey("Given nine members", t, func() {
		m := newEstablished(9)
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
		Convey("the work of others keeps its owners when a member leaves", func() {
			fewer := newEstablished(8)
			for i := range 200 {
				key := fmt.Sprint("k", i)
				if before := m.Owner(key, nil, now); before.Address != member(9).Address {
					So(fewer.Owner(key, nil, now).Address, ShouldEqual, before.Address)
				}
			}
		})
		Convey("a suspected member owns nothing until the suspicion ends", func() {
			first := m.Owner("k", nil, now)
			m.Suspect(first.Address, now)
			if first.Address != m.self.Address {
				So(m.Owner("k", nil, now).Address, ShouldNotEqual, first.Address)
			}
			So(m.Owner("k", nil, now.Add(2*suspectDuration)).Address, ShouldEqual, first.Address)
		})
		Convey("a suspected member that registers again is no longer excluded", func() {
			first := m.Owner("k", map[string]bool{m.self.Address: true}, now)
			m.Suspect(first.Address, now)
			m.applyEvents([]hookhall.Item{memberItem(first, 7)}, 7)
			So(m.Suspected(first.Address, now), ShouldBeFalse)
		})
		Convey("reading the same record again does not end a suspicion", func() {
			m.applyItem(memberItem(member(2), 7), now)
			m.Suspect(member(2).Address, now)
			m.applyItem(memberItem(member(2), 7), now)
			So(m.Suspected(member(2).Address, now), ShouldBeTrue)
		})
		Convey("a newcomer owns nothing at first", func() {
			m.listingByKey[keyPrefix+"10"] = listing{member: member(10)}
			m.publish()
			for i := range 300 {
				So(m.Owner(fmt.Sprint("k", i), nil, time.Now()).Address, ShouldNotEqual, member(10).Address)
			}
			later := time.Now().Add(2 * minSettleTime)
			got := 0
			for i := range 300 {
				if m.Owner(fmt.Sprint("k", i), nil, later).Address == member(10).Address {
					got++
				}
			}
			So(got, ShouldBeGreaterThan, 0)
		})
		Convey("a process that stops owns nothing in its own list", func() {
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
	Convey("When all are newcomers, they own work at once", t, func() {
		m := New(member(1), nil, log.New(io.Discard))
		m.listingByKey[keyPrefix+"2"] = listing{member: member(2)}
		m.publish()
		owners := map[string]bool{}
		for i := range 100 {
			owners[m.Owner(fmt.Sprint("k", i), nil, time.Now()).Address] = true
		}
		So(len(owners), ShouldEqual, 2)
	})
	Convey("Weak members own little work", t, func() {
		m := New(member(1), nil, log.New(io.Discard))
		weak := member(2)
		weak.RelativeCapacity = 0.2
		m.listingByKey[keyPrefix+"2"] = listing{member: weak}
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

// TestApplyItem guards against members taken from invalid records or from keys with another
// prefix, and against removed keys that stay listed.
func TestApplyItem(t *testing.T) {
	m := newEstablished(1)
	value, err := json.Marshal(member(5))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	m.applyItem(hookhall.Item{Key: keyPrefix + "m5", Value: value, Revision: 1}, now)
	m.applyItem(hookhall.Item{Key: keyPrefix + "bad", Value: []byte("{"), Revision: 1}, now)
	m.applyItem(hookhall.Item{Key: "other/m6", Value: value, Revision: 1}, now)
	m.publish()
	if m.Count() != 2 {
		t.Fatalf("%d members", m.Count())
	}
	m.applyItem(hookhall.Item{Key: keyPrefix + "m5", Deleted: true}, now)
	m.publish()
	if m.Count() != 1 {
		t.Fatalf("%d members", m.Count())
	}
}

// TestQuotaPosition guards against processes that use more than their share of the fleet's limits
// together: when a lease expired but its process still runs, and at a start, before a list is
// known and has settled.
func TestQuotaPosition(t *testing.T) {
	now := time.Now()
	m := New(member(1), nil, log.New(io.Discard))
	count := func(after time.Duration) int {
		n, _ := m.QuotaPosition(now.Add(after))
		return n
	}
	if n := count(time.Hour); n != 0 {
		t.Fatalf("%d processes share the limits before a list is known", n)
	}
	m.AddFromPeer([]hookhall.Member{member(2), member(3)})
	if n := count(minSettleTime / 2); n != 0 {
		t.Fatalf("%d processes share the limits before the list has settled", n)
	}
	if n := count(2 * minSettleTime); n != 3 {
		t.Fatalf("%d processes share the limits, want 3", n)
	}
	m.mu.Lock()
	m.removeKey(keyPrefix+member(2).Instance, now)
	m.publish()
	m.mu.Unlock()
	if n := count(2 * minSettleTime); n != 3 || m.Count() != 2 {
		t.Fatalf("%d processes share the limits, of %d members; want 3 of 2", n, m.Count())
	}
	if n := count(2 * departedShareDuration); n != 2 {
		t.Fatalf("%d processes share the limits later, want 2", n)
	}
	if _, index := m.QuotaPosition(now.Add(2 * departedShareDuration)); index != 0 {
		t.Fatalf("index %d, want 0", index)
	}
}
