// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
)

// targets returns n targets, ordered by ID.
func targets(n int) []hookhall.Target {
	var list []hookhall.Target
	for i := range n {
		list = append(list, hookhall.Target{ID: fmt.Sprintf("t%03d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	return list
}

// poolOf returns a pool of n targets that chooses by load, without prefix affinity.
func poolOf(n int) *Pool {
	p := NewPool("p", ChoiceLoad, false)
	p.Update(targets(n))
	return p
}

// TestPool guards against calls to leaving, failing, slow or overloaded targets while there
// are better ones, and against retries beyond their budget.
func TestPool(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("A pool", t, func() {
		Convey("without targets picks none", func() {
			So(poolOf(0).Pick(0, nil, now), ShouldBeNil)
		})
		Convey("gives no new call to a target that is leaving by its refusal or by the list", func() {
			p := poolOf(2)
			p.Targets()[0].MarkLeaving(now)
			for range 50 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			list := targets(2)
			list[1].Leaving = true
			p.Update(list)
			So(p.Pick(0, nil, now), ShouldBeNil)
			Convey("and forgets a refusal after its time to live", func() {
				So(p.Pick(0, nil, now.Add(2*leavingTTL)).ID, ShouldEqual, "t000")
			})
		})
		Convey("ejects a target after consecutive failures, then probes it with one call", func() {
			p := poolOf(2)
			failing := p.Targets()[0]
			for range ejectAfterFailures {
				failing.Begin(now)
				failing.End(time.Millisecond, true, now)
			}
			for range 50 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			later := now.Add(2 * minEjection)
			probes := 0
			for range 200 {
				if p.Pick(0, nil, later) == failing {
					probes++
				}
			}
			So(probes, ShouldEqual, 1)
			failing.Begin(now)
			failing.End(time.Millisecond, false, later)
			So(failing.usable(later), ShouldBeTrue)
		})
		Convey("picks an ejected target if there is no other, but never a leaving one", func() {
			p := poolOf(2)
			for _, x := range p.Targets() {
				for range ejectAfterFailures {
					x.Begin(now)
					x.End(time.Millisecond, true, now)
				}
			}
			So(p.Pick(0, nil, now), ShouldNotBeNil)
			p.Targets()[0].MarkLeaving(now)
			for range 20 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
		})
		Convey("counts a call cut off at its deadline as slow", func() {
			p := poolOf(2)
			p.Targets()[0].observeLatency(10 * time.Millisecond)
			p.Targets()[1].Begin(now)
			p.Targets()[1].EndAtDeadline(time.Second)
			So(p.Pick(0, nil, now).ID, ShouldEqual, "t000")
		})
		Convey("prefers the target with less load or lower latency", func() {
			p := poolOf(2)
			for range 5 {
				p.Targets()[0].Begin(now)
			}
			for range 20 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			unequal := poolOf(2)
			unequal.Targets()[0].observeLatency(time.Second)
			unequal.Targets()[1].observeLatency(time.Millisecond)
			So(unequal.Pick(0, nil, now).ID, ShouldEqual, "t001")
		})
		Convey("recognizes a target that turned slow before its calls end", func() {
			p := poolOf(2)
			for _, x := range p.Targets() {
				x.observeLatency(10 * time.Millisecond)
				x.Begin(now)
			}
			later := now.Add(100 * time.Millisecond)
			p.Targets()[1].Begin(later)
			p.Targets()[1].End(10*time.Millisecond, false, later)
			So(p.Pick(0, nil, later.Add(time.Millisecond)).ID, ShouldEqual, "t001")
		})
		Convey("avoids targets already tried if there are others", func() {
			p := poolOf(2)
			So(p.Pick(0, []string{"t000"}, now).ID, ShouldEqual, "t001")
			So(p.Pick(0, []string{"t000", "t001"}, now), ShouldNotBeNil)
		})
		Convey("sends calls of a prefix to one target until its load exceeds the limit", func() {
			p := NewPool("p", ChoiceLoad, true)
			p.Update(targets(4))
			first := p.Pick(42, nil, now)
			for range 20 {
				So(p.Pick(42, nil, now), ShouldEqual, first)
			}
			for range 8 {
				first.Begin(now)
			}
			So(p.Pick(42, nil, now), ShouldNotEqual, first)
		})
		Convey("keeps the counters of targets that stay listed", func() {
			p := poolOf(2)
			p.Targets()[0].Begin(now)
			p.Update(targets(3))
			So(p.Targets()[0].inflight.Load(), ShouldEqual, 1)
		})
		Convey("limits retries to a small share of calls", func() {
			p := poolOf(1)
			for p.SpendRetry() {
			}
			retries := 0
			for range 1000 {
				p.EarnRetryShare()
				if p.SpendRetry() {
					retries++
				}
			}
			So(retries, ShouldBeBetween, 1000*retryShare-3, 1000*retryShare+3)
		})
	})
}

// TestRetryBudgetIsBounded guards against calls that raise the retry budget above its maximum.
func TestRetryBudgetIsBounded(t *testing.T) {
	const maximum = retryBurst * 1000
	for budget, want := range map[int64]int64{0: retryShare * 1000, maximum - 10: maximum, maximum: maximum} {
		p := poolOf(1)
		p.retryBudget.Store(budget)
		p.EarnRetryShare()
		if got := p.retryBudget.Load(); got != want {
			t.Errorf("a budget of %d thousandths becomes %d, not %d", budget, got, want)
		}
	}
}

// BenchmarkPick measures Pick among 4 and among 32 targets, the usual numbers for an entry.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPool("p", ChoiceLoad, true)
			p.Update(targets(n))
			now := time.Now()
			for _, t := range p.Targets() {
				t.RecordReport(hookhall.LoadReport{Running: 3, Capacity: 8}, now)
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := uint64(0); pb.Next(); i++ {
					p.Pick(i, nil, now)
				}
			})
		})
	}
}
