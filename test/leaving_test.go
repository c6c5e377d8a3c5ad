// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLeavingTarget(t *testing.T) {
	const target = "engines-0"
	cases := []struct {
		name string
		mark func(c *cluster)
	}{
		{"the list", func(c *cluster) {
			c.announce(target, "engines", c.servers[target].Address, true, hookhall.InstanceLeaving)
		}},
		{"its own report", func(c *cluster) { c.targets[target].SetFaults(standin.TargetFaults{Leaving: true}) }},
		{"its refusal", func(c *cluster) { c.targets[target].SetFaults(standin.TargetFaults{Leaving: true, Quiet: true}) }},
		{"the operator's cell", func(c *cluster) { c.edit([]hookhall.Edit{set("targets", target, "leaving", "true")}) }},
	}
	for _, x := range cases {
		Convey("A target leaving by "+x.name+", with an entry cut off from the list", t, func() {
			c := newCluster(t, options{lag: 300 * time.Millisecond, pools: map[string]standin.TargetSettings{
				"engines": {Capacity: 16, Time: 20 * time.Millisecond, Token: 20 * time.Millisecond},
			}})
			k := c.kind("recap")
			k.Tokens = 16
			cut(c.entries[2].cutList)
			done := make(chan []*load.Outcome)
			go func() { done <- c.runLoad(60, 4*time.Second, 3) }()
			c.await("work at the target", func() bool { return len(c.targets[target].Ledger()) > 3 })
			marked := time.Now()
			x.mark(c)
			c.await("all entries to know", func() bool { return c.knownLeaving(target) })
			known := len(c.targets[target].Ledger())
			outcomes := <-done
			for i := 0; i < 30; i++ {
				outcomes = append(outcomes, c.send(i%3, k, fmt.Sprintf("late-%d", i), ""))
			}
			ledger := c.targets[target].Ledger()
			last := time.Duration(0)
			if n := len(ledger); n > 0 {
				last = ledger[n-1].Began.Sub(marked)
			}
			t.Logf("last new request %v after the mark", last.Round(time.Millisecond))
			// A call chosen right before the entry knew may still be on its way.
			So(len(ledger)-known, ShouldBeLessThanOrEqualTo, 3)
			for _, r := range ledger {
				So(r.Finished, ShouldBeTrue)
			}
			a := c.audit(outcomes)
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
		})
	}
}

// knownLeaving tells whether every entry gives the target no new work.
func (c *cluster) knownLeaving(target string) bool {
	for _, p := range c.entries {
		s, err := p.state()
		if err != nil {
			return false
		}
		for _, pool := range s.Pools {
			for _, x := range pool.Targets {
				if x.ID == target && !x.Leaving {
					return false
				}
			}
		}
	}
	return true
}
