// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLedger(t *testing.T) {
	start := time.Unix(1e9, 0)
	later := start.Add(2 * LeaseTime) // the owner knows all leases by then
	lease := func(l *Grants, a *hookhall.Account, from string, w hookhall.Want, now time.Time) hookhall.ShareLease {
		w.Account = a.Name
		return l.Lease(a, from, w, 9, now)
	}
	Convey("An owner", t, func() {
		l := &Grants{}
		Convey("knows no limit of an account without one", func() {
			So(lease(l, &hookhall.Account{Name: "free"}, "e1", hookhall.Want{Rate: 5}, start).Limited, ShouldBeFalse)
		})
		Convey("gives a small account its whole rate through any entry", func() {
			a := &hookhall.Account{Name: "small", Rate: 2}
			granted := int64(0)
			for i := range 100 { // ten seconds, another entry each time
				granted += lease(l, a, fmt.Sprintf("e%d", i%9), hookhall.Want{Rate: 1}, start.Add(time.Duration(i)*100*time.Millisecond)).Rate
			}
			So(granted, ShouldBeBetweenOrEqual, 20, 21)
		})
		Convey("says when the next unit comes", func() {
			a := &hookhall.Account{Name: "slow", Rate: 0.5}
			So(lease(l, a, "e1", hookhall.Want{Rate: 1}, start).Rate, ShouldEqual, 1)
			r := lease(l, a, "e1", hookhall.Want{Rate: 1}, start)
			So(r.Rate, ShouldEqual, 0)
			So(r.RetryAfter, ShouldBeBetween, 1900*time.Millisecond, 2100*time.Millisecond)
		})
		Convey("follows a changed rate", func() {
			a := &hookhall.Account{Name: "changed", Rate: 1}
			lease(l, a, "e1", hookhall.Want{Rate: 1}, start)
			b := &hookhall.Account{Name: "changed", Rate: 100}
			lease(l, b, "e1", hookhall.Want{Rate: 1}, start)
			So(lease(l, b, "e1", hookhall.Want{Rate: 40}, start.Add(time.Second)).Rate, ShouldEqual, 40)
		})
		Convey("never leases more units than the limit", func() {
			a := &hookhall.Account{Name: "units", Concurrency: 10}
			lease(l, a, "e0", hookhall.Want{Concurrency: 1}, start)
			held := map[string]int64{}
			for i := range 60 {
				from := fmt.Sprintf("e%d", i%5)
				held[from] = lease(l, a, from, hookhall.Want{Concurrency: int64(i % 9), Held: held[from]}, later.Add(time.Duration(i)*time.Millisecond)).Concurrency
				sum := int64(0)
				for _, n := range held {
					sum += n
				}
				So(sum, ShouldBeLessThanOrEqualTo, 10)
			}
		})
		Convey("gives units that nobody renews to others", func() {
			a := &hookhall.Account{Name: "lapse", Concurrency: 4}
			lease(l, a, "e1", hookhall.Want{Concurrency: 1}, start)
			So(lease(l, a, "e1", hookhall.Want{Concurrency: 4, Held: 1}, later).Concurrency, ShouldEqual, 4)
			So(lease(l, a, "e2", hookhall.Want{Concurrency: 4}, later).Concurrency, ShouldEqual, 0)
			So(lease(l, a, "e2", hookhall.Want{Concurrency: 4}, later.Add(2*LeaseTime)).Concurrency, ShouldEqual, 4)
		})
		Convey("shares what is short by max-min", func() {
			a := &hookhall.Account{Name: "short", Concurrency: 10}
			lease(l, a, "small", hookhall.Want{Concurrency: 2}, start)
			for i := range 5 {
				now := later.Add(time.Duration(i) * time.Millisecond)
				lease(l, a, "small", hookhall.Want{Concurrency: 2}, now)
				lease(l, a, "big", hookhall.Want{Concurrency: 50}, now)
				lease(l, a, "bigger", hookhall.Want{Concurrency: 90}, now)
			}
			now := later.Add(10 * time.Millisecond)
			So(lease(l, a, "small", hookhall.Want{Concurrency: 2}, now).Concurrency, ShouldEqual, 2)
			So(lease(l, a, "big", hookhall.Want{Concurrency: 50}, now).Concurrency, ShouldEqual, 4)
		})
		Convey("that is new grants what is held, and even shares", func() {
			a := &hookhall.Account{Name: "new", Concurrency: 18}
			So(lease(l, a, "e1", hookhall.Want{Concurrency: 9, Held: 7}, start).Concurrency, ShouldEqual, 7)
			So(lease(l, a, "e2", hookhall.Want{Concurrency: 9}, start).Concurrency, ShouldEqual, 2)
		})
	})
}

func TestAllocation(t *testing.T) {
	now := time.Unix(1e9, 0)
	a := &hookhall.Account{Name: "a", Rate: 10, Concurrency: 2}
	Convey("An allocation", t, func() {
		p := (&Allocations{}).Allocation("a")
		spend := func(at time.Time) Decision { d, _ := p.Spend(a, at); return d }
		Convey("asks first, spends what it got, and asks again", func() {
			So(spend(now), ShouldEqual, Ask)
			p.Fill(hookhall.ShareLease{Limited: true, Rate: 2, Concurrency: 2}, now)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Ask)
		})
		Convey("spends nothing that is stale", func() {
			p.Fill(hookhall.ShareLease{Limited: true, Rate: 2, Concurrency: 2}, now)
			So(spend(now.Add(2*LeaseTime)), ShouldEqual, Ask)
		})
		Convey("keeps to its units of concurrency", func() {
			p.Fill(hookhall.ShareLease{Limited: true, Rate: 9, Concurrency: 1}, now)
			So(spend(now), ShouldEqual, Pass)
			So(spend(now), ShouldEqual, Ask)
			p.Done()
			So(spend(now), ShouldEqual, Pass)
		})
		Convey("remembers a refusal, and says when units come", func() {
			p.Fill(hookhall.ShareLease{Limited: true, RetryAfter: time.Second}, now)
			d, after := p.Spend(a, now)
			So(d, ShouldEqual, Deny)
			So(after, ShouldEqual, time.Second)
		})
		Convey("falls back to an even share without the owner", func() {
			ok, _ := p.Fallback(a, 2, now)
			So(ok, ShouldBeTrue)
			ok, after := p.Fallback(a, 2, now)
			So(ok, ShouldBeFalse)
			So(after, ShouldBeGreaterThan, 0)
		})
	})
}

// BenchmarkSpend spends of one account from many threads.
func BenchmarkSpend(b *testing.B) {
	w, a := &Allocations{}, &hookhall.Account{Name: "a", Concurrency: 1 << 40}
	w.Allocation("a").Fill(hookhall.ShareLease{Limited: true, Concurrency: 1 << 40}, time.Now().Add(time.Hour))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := time.Now()
		for pb.Next() {
			p := w.Allocation("a")
			if d, _ := p.Spend(a, now); d == Pass {
				p.Done()
			}
		}
	})
}
