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

// TestLeavingTarget guards against new calls to a target after every entry has learned
// that it is leaving, and against its running calls being aborted. The mark comes from
// each of the four sources in turn; one entry can't read the instance list.
func TestLeavingTarget(t *testing.T) {
	const target = "engines-0"
	cases := []struct {
		name string
		mark func(c *cluster)
	}{
		{"the list", func(c *cluster) {
			c.listTarget(target, "engines", c.serversByName[target].Address, true, hookhall.InstanceLeaving)
		}},
		{"its own report", func(c *cluster) { c.targetsByID[target].SetFaults(standin.TargetFaults{Leaving: true}) }},
		{"its refusal", func(c *cluster) {
			c.targetsByID[target].SetFaults(standin.TargetFaults{Leaving: true, HideLeaving: true})
		}},
		{"the operator's cell", func(c *cluster) { c.edit([]hookhall.Edit{forcedEdit("targets", target, "leaving", "true")}) }},
	}
	for _, x := range cases {
		Convey("A target marked as leaving by "+x.name+", with one entry cut off from the list", t, func() {
			c := newCluster(t, options{listLag: 300 * time.Millisecond, settingsByPool: map[string]standin.TargetSettings{
				"engines": {Capacity: 16, CallTime: 20 * time.Millisecond, TokenTime: 20 * time.Millisecond},
			}})
			k := c.kind("recap")
			k.Tokens = 16
			disconnect(c.entries[2].listProxy)
			done := make(chan []*load.Outcome)
			go func() { done <- c.runLoad(60, 4*time.Second, 3) }()
			c.await("calls at the target", func() bool { return len(c.targetsByID[target].Ledger()) > 3 })
			markedAt := time.Now()
			x.mark(c)
			c.await("all entries to know that the target is leaving", func() bool { return c.knownLeaving(target) })
			callsWhenKnown := len(c.targetsByID[target].Ledger())
			outcomes := <-done
			for i := 0; i < 30; i++ {
				outcomes = append(outcomes, c.send(i%3, k, fmt.Sprintf("late-%d", i), ""))
			}
			ledger := c.targetsByID[target].Ledger()
			lastBegin := time.Duration(0)
			if n := len(ledger); n > 0 {
				lastBegin = ledger[n-1].StartedAt.Sub(markedAt)
			}
			t.Logf("last new request %v after the mark", lastBegin.Round(time.Millisecond))
			// An entry may have chosen the target for a call right before it learned
			// of the mark.
			So(len(ledger)-callsWhenKnown, ShouldBeLessThanOrEqualTo, 3)
			for _, r := range ledger {
				So(r.Finished, ShouldBeTrue)
			}
			a := c.audit(outcomes)
			So(a.Examples, ShouldBeEmpty)
			So(a.Clean(), ShouldBeTrue)
		})
	}
}

// knownLeaving reports whether every entry shows the target as leaving or does not list it.
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
