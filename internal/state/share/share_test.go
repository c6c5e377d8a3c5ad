// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package share

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

// TestGrants guards against accounts that exceed their limits, or cannot use all of them,
// because an owner leases too many or too few units to the entries.
func TestGrants(t *testing.T) {
	start := time.Unix(1e9, 0)
	later := start.Add(2 * LeaseTime) // leases of a previous owner have expired by then
	lease := func(g *Grants, a *hookhall.Account, from string, want hookhall.ShareDemand, now time.Time) hookhall.ShareLease {
		want.Account = a.Name
		return g.Lease(a, from, want, 9, now)
	}
	Convey("An owner", t, func() {
		g := &Grants{}
		Convey("reports an account without limits as not limited", func() {
			So(lease(g, &hookhall.Account{Name: "free"}, "e1", hookhall.ShareDemand{Rate: 5}, start).Limited, ShouldBeFalse)
		})
		Convey("grants a small account its full rate through any entry", func() {
			a := &hookhall.Account{Name: "small", Rate: 2}
			granted := int64(0)
			for i := range 100 { // ten seconds, from nine entries in turn
				granted += lease(g, a, fmt.Sprintf("e%d", i%9), hookhall.ShareDemand{Rate: 1}, start.Add(time.Duration(i)*100*time.Millisecond)).Rate
			}
			So(granted, ShouldBeBetweenOrEqual, 20, 21)
		})
		Convey("returns the time until the next unit", func() {
			a := &hookhall.Account{Name: "slow", Rate: 0.5}
			So(lease(g, a, "e1", hookhall.ShareDemand{Rate: 1}, start).Rate, ShouldEqual, 1)
			reply := lease(g, a, "e1", hookhall.ShareDemand{Rate: 1}, start)
			So(reply.Rate, ShouldEqual, 0)
			So(reply.RetryAfter, ShouldBeBetween, 1900*time.Millisecond, 2100*time.Millisecond)
		})
		Convey("applies a changed rate", func() {
			before := &hookhall.Account{Name: "changed", Rate: 1}
			lease(g, before, "e1", hookhall.ShareDemand{Rate: 1}, start)
			after := &hookhall.Account{Name: "changed", Rate: 100}
			lease(g, after, "e1", hookhall.ShareDemand{Rate: 1}, start)
			So(lease(g, after, "e1", hookhall.ShareDemand{Rate: 40}, start.Add(time.Second)).Rate, ShouldEqual, 40)
		})
		Convey("never leases more units than the limit", func() {
			a := &hookhall.Account{Name: "units", Concurrency: 10}
			lease(g, a, "e0", hookhall.ShareDemand{Concurrency: 1}, start)
			held := map[string]int64{}
			for i := range 60 {
				from := fmt.Sprintf("e%d", i%5)
				held[from] = lease(g, a, from, hookhall.ShareDemand{Concurrency: int64(i % 9), Held: held[from]}, later.Add(time.Duration(i)*time.Millisecond)).Concurrency
				sum := int64(0)
				for _, n := range held {
					sum += n
				}
				So(sum, ShouldBeLessThanOrEqualTo, 10)
			}
		})
		Convey("leases units to other entries once they expire", func() {
			a := &hookhall.Account{Name: "lapse", Concurrency: 4}
			lease(g, a, "e1", hookhall.ShareDemand{Concurrency: 1}, start)
			So(lease(g, a, "e1", hookhall.ShareDemand{Concurrency: 4, Held: 1}, later).Concurrency, ShouldEqual, 4)
			So(lease(g, a, "e2", hookhall.ShareDemand{Concurrency: 4}, later).Concurrency, ShouldEqual, 0)
			So(lease(g, a, "e2", hookhall.ShareDemand{Concurrency: 4}, later.Add(2*LeaseTime)).Concurrency, ShouldEqual, 4)
		})
		Convey("divides scarce units by max-min fairness", func() {
			a := &hookhall.Account{Name: "short", Concurrency: 10}
			lease(g, a, "small", hookhall.ShareDemand{Concurrency: 2}, start)
			for i := range 5 {
				now := later.Add(time.Duration(i) * time.Millisecond)
				lease(g, a, "small", hookhall.ShareDemand{Concurrency: 2}, now)
				lease(g, a, "big", hookhall.ShareDemand{Concurrency: 50}, now)
				lease(g, a, "bigger", hookhall.ShareDemand{Concurrency: 90}, now)
			}
			now := later.Add(10 * time.Millisecond)
			So(lease(g, a, "small", hookhall.ShareDemand{Concurrency: 2}, now).Concurrency, ShouldEqual, 2)
			So(lease(g, a, "big", hookhall.ShareDemand{Concurrency: 50}, now).Concurrency, ShouldEqual, 4)
		})
		Convey("grants held units and even shares while it is new", func() {
			a := &hookhall.Account{Name: "new", Concurrency: 18}
			So(lease(g, a, "e1", hookhall.ShareDemand{Concurrency: 9, Held: 7}, start).Concurrency, ShouldEqual, 7)
			So(lease(g, a, "e2", hookhall.ShareDemand{Concurrency: 9}, start).Concurrency, ShouldEqual, 2)
		})
	})
}

// TestAllocation guards against an entry that spends more than it has leased, or that asks
// the owner for each request although it was refused a moment ago.
func TestAllocation(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := &hookhall.Account{Name: "a", Rate: 10, Concurrency: 2}
	Convey("An allocation", t, func() {
		allocation := (&Allocations{}).Allocation("a", now)
		spend := func(at time.Time) Decision { d, _ := allocation.Spend(a, at); return d }
		Convey("asks the owner first, spends the lease, and asks again", func() {
			So(spend(now), ShouldEqual, Ask)
			allocation.ApplyLease(allocation.Want(a, now), hookhall.ShareLease{Limited: true, Rate: 2, Concurrency: 2}, now)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Ask)
		})
		Convey("does not spend expired units", func() {
			allocation.ApplyLease(allocation.Want(a, now), hookhall.ShareLease{Limited: true, Rate: 2, Concurrency: 2}, now)
			So(spend(now.Add(2*LeaseTime)), ShouldEqual, Ask)
		})
		Convey("does not exceed its concurrency units", func() {
			allocation.ApplyLease(allocation.Want(a, now), hookhall.ShareLease{Limited: true, Rate: 9, Concurrency: 1}, now)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Ask)
			allocation.Done()
			So(spend(now), ShouldEqual, Pass)
		})
		Convey("denies requests after a refusal and returns the time until units are available", func() {
			allocation.ApplyLease(allocation.Want(a, now), hookhall.ShareLease{Limited: true, RetryAfter: time.Second}, now)
			d, after := allocation.Spend(a, now)
			So(d, ShouldEqual, Deny)
			So(after, ShouldEqual, time.Second)
		})
		Convey("falls back to an even share without the owner", func() {
			ok, _ := allocation.SpendWithoutOwner(a, 2, now)
			So(ok, ShouldBeTrue)
			ok, after := allocation.SpendWithoutOwner(a, 2, now)
			So(ok, ShouldBeFalse)
			So(after, ShouldBeGreaterThan, 0)
		})
	})
}

// TestRenewalDoesNotDeny guards against requests that are refused though units are left, because a
// renewal asks for no rate and is granted less concurrency than it asks for.
func TestRenewalDoesNotDeny(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := &hookhall.Account{Name: "a", Rate: 10, Concurrency: 4}
	allocation := (&Allocations{}).Allocation("a", now)
	allocation.ApplyLease(allocation.Want(a, now), hookhall.ShareLease{Limited: true, Rate: 5, Concurrency: 3}, now)
	for range 2 {
		if d, _ := allocation.Spend(a, now); d != Pass {
			t.Fatalf("decision %v", d)
		}
	}
	renewal := allocation.Want(a, now)
	renewal.Rate = 0
	allocation.ApplyLease(renewal, hookhall.ShareLease{Limited: true, Concurrency: 3, RetryAfter: LeaseTime / 4}, now)
	if d, after := allocation.Spend(a, now); d != Pass {
		t.Errorf("decision %v, retry after %v", d, after)
	}
}

// TestSweepDuringUse guards against state that is removed as idle while a request uses it: the
// units of the request would count no more, at its entry or at the owner.
func TestSweepDuringUse(t *testing.T) {
	const tries = 30000
	now := time.Unix(1e9, 0)
	later := now.Add(idleTimeout + time.Second)
	a := &hookhall.Account{Name: "a", Concurrency: 4}
	race := func(sweep, use func()) {
		var wg sync.WaitGroup
		wg.Go(sweep)
		wg.Go(use)
		wg.Wait()
	}
	t.Run("at an entry", func(t *testing.T) {
		for range tries {
			var allocations Allocations
			allocations.Allocation("a", now)
			var used *Allocation
			race(func() { allocations.DueRenewals(later) }, func() { used = allocations.Allocation("a", later) })
			if allocations.Allocation("a", later) != used {
				t.Fatal("the allocation in use was removed")
			}
		}
	})
	t.Run("at the owner", func(t *testing.T) {
		for range tries {
			var grants Grants
			grants.Lease(a, "e1", hookhall.ShareDemand{Account: "a", Concurrency: 1}, 2, now)
			race(func() { grants.Sweep(later) }, func() { grants.Lease(a, "e1", hookhall.ShareDemand{Account: "a", Concurrency: 1}, 2, later) })
			if grants.Len() == 0 {
				t.Fatal("the lease was removed")
			}
		}
	})
}

// BenchmarkSpend measures concurrent spending from one account.
func BenchmarkSpend(b *testing.B) {
	allocations, a := &Allocations{}, &hookhall.Account{Name: "a", Concurrency: 1 << 40}
	allocations.Allocation("a", time.Now()).ApplyLease(hookhall.ShareDemand{Concurrency: 1}, hookhall.ShareLease{Limited: true, Concurrency: 1 << 40}, time.Now().Add(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := time.Now()
		for pb.Next() {
			allocation := allocations.Allocation("a", now)
			if d, _ := allocation.Spend(a, now); d == Pass {
				allocation.Done()
			}
		}
	})
}
