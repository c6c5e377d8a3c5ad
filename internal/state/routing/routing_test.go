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

func targets(n int) []hookhall.Target {
	var list []hookhall.Target
	for i := range n {
		list = append(list, hookhall.Target{ID: fmt.Sprintf("t%03d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	return list
}

func poolOf(n int) *Pool {
	p := NewPool("p", ChoiceLoad, false)
	p.Update(targets(n))
	return p
}

func TestPool(t *testing.T) {
	now := time.Unix(1e9, 0)
	Convey("A pool", t, func() {
		Convey("without targets has none to give", func() {
			So(poolOf(0).Pick(0, nil, now), ShouldBeNil)
		})
		Convey("gives no new call to a target that is leaving, whoever says so", func() {
			p := poolOf(2)
			p.Targets()[0].Refused(now)
			for range 50 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			list := targets(2)
			list[1].Leaving = true
			p.Update(list)
			So(p.Pick(0, nil, now), ShouldBeNil)
			Convey("and believes a refusal for a while only", func() {
				So(p.Pick(0, nil, now.Add(2*refusalHold)).ID, ShouldEqual, "t000")
			})
		})
		Convey("leaves a target out that fails in a row, and tries it with one call", func() {
			p := poolOf(2)
			bad := p.Targets()[0]
			for range ejectAfter {
				bad.Begin(now)
				bad.End(time.Millisecond, true, now)
			}
			for range 50 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			later := now.Add(2 * ejectFirst)
			tries := 0
			for range 200 {
				if p.Pick(0, nil, later) == bad {
					tries++
				}
			}
			So(tries, ShouldEqual, 1)
			bad.Begin(now)
			bad.End(time.Millisecond, false, later)
			So(bad.usable(later), ShouldBeTrue)
		})
		Convey("gives a failing target rather than none, but never a leaving one", func() {
			p := poolOf(2)
			for _, x := range p.Targets() {
				for range ejectAfter {
					x.Begin(now)
					x.End(time.Millisecond, true, now)
				}
			}
			So(p.Pick(0, nil, now), ShouldNotBeNil)
			p.Targets()[0].Refused(now)
			for range 20 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
		})
		Convey("takes a call cut off at its deadline for a slow one", func() {
			p := poolOf(2)
			p.Targets()[0].learn(10 * time.Millisecond)
			p.Targets()[1].Begin(now)
			p.Targets()[1].Late(time.Second)
			So(p.Pick(0, nil, now).ID, ShouldEqual, "t000")
		})
		Convey("prefers the less loaded and the faster", func() {
			p := poolOf(2)
			for range 5 {
				p.Targets()[0].Begin(now)
			}
			for range 20 {
				So(p.Pick(0, nil, now).ID, ShouldEqual, "t001")
			}
			q := poolOf(2)
			q.Targets()[0].learn(time.Second)
			q.Targets()[1].learn(time.Millisecond)
			So(q.Pick(0, nil, now).ID, ShouldEqual, "t001")
		})
		Convey("sees that a target has turned slow before its calls end", func() {
			p := poolOf(2)
			for _, x := range p.Targets() {
				x.learn(10 * time.Millisecond)
				x.Begin(now)
			}
			later := now.Add(100 * time.Millisecond)
			p.Targets()[1].Begin(later)
			p.Targets()[1].End(10*time.Millisecond, false, later)
			So(p.Pick(0, nil, later.Add(time.Millisecond)).ID, ShouldEqual, "t001")
		})
		Convey("avoids targets already tried while there are others", func() {
			p := poolOf(2)
			So(p.Pick(0, []string{"t000"}, now).ID, ShouldEqual, "t001")
			So(p.Pick(0, []string{"t000", "t001"}, now), ShouldNotBeNil)
		})
		Convey("sends a prefix to its target until that is too loaded", func() {
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
		Convey("keeps counters of targets that stay", func() {
			p := poolOf(2)
			p.Targets()[0].Begin(now)
			p.Update(targets(3))
			So(p.Targets()[0].inflight.Load(), ShouldEqual, 1)
		})
		Convey("lets retries be a small share of calls", func() {
			p := poolOf(1)
			for p.SpendRetry() {
			}
			spent := 0
			for range 1000 {
				p.Earn()
				if p.SpendRetry() {
					spent++
				}
			}
			So(spent, ShouldBeBetween, 1000*retryShare-3, 1000*retryShare+3)
		})
	})
}

// BenchmarkPick chooses among as many targets as an entry works with.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := NewPool("p", ChoiceLoad, true)
			p.Update(targets(n))
			now := time.Now()
			for _, t := range p.Targets() {
				t.Report(hookhall.LoadReport{Running: 3, Capacity: 8}, now)
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
