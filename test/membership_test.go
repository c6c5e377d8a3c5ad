// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/standin"
	. "github.com/smartystreets/goconvey/convey"
)

// TestMembership guards against entries that stay in the view after they fail, that are
// fenced while they may still run, or that don't rejoin, and against changes of the view
// while the key-value service is down.
func TestMembership(t *testing.T) {
	Convey("A fleet of four", t, func() {
		c := newCluster(t, options{entries: 4})
		// othersSee waits until the first three entries have a view of the given numbers
		// of members and unfenced former members, and miss no claims.
		othersSee := func(members, unfenced int) {
			c.t.Helper()
			c.await("the view of the other entries", func() bool {
				for _, p := range c.entries[:3] {
					s, err := p.state()
					if err != nil || len(s.Members) != members || len(s.Unfenced) != unfenced || s.Claims.Missing > 0 {
						return false
					}
				}
				return true
			})
		}
		Convey("removes a killed entry as unfenced, and fences it when it is back", func() {
			c.entries[3].kill()
			othersSee(3, 1)
			c.entries[3].start()
			c.awaitFleet(4)
			othersSee(4, 0)
		})
		Convey("fences a killed entry when the list no longer has it", func() {
			c.entries[3].kill()
			othersSee(3, 1)
			c.list.Remove(c.entries[3].name)
			othersSee(3, 0)
		})
		Convey("removes a frozen entry, and readmits it when it thaws", func() {
			c.entries[3].freeze()
			othersSee(3, 1)
			c.entries[3].thaw()
			c.awaitFleet(4)
			othersSee(4, 0)
		})
		Convey("removes an entry whose peer port drops all bytes, and it still serves as an origin", func() {
			blackhole(c, c.entries[3].peersProxy)
			othersSee(3, 1)
			o := c.send(3, c.kind("recap"), "guest", "")
			So(o.Answered, ShouldBeTrue)
		})
		Convey("keeps its view during an outage of the service, and updates it afterwards", func() {
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			before, err := c.entries[0].state()
			So(err, ShouldBeNil)
			c.entries[3].kill()
			c.await("the killed entry to be detected", func() bool {
				for _, p := range c.entries[:3] {
					if p.logged("does not answer", c.entries[3].name) {
						return true
					}
				}
				return false
			})
			s, err := c.entries[0].state()
			So(err, ShouldBeNil)
			So(s.Epoch, ShouldEqual, before.Epoch)
			c.kv.SetFaults(standin.KeyValueFaults{})
			othersSee(3, 1)
		})
	})
}

// TestMembershipCost guards against an idle fleet that writes to the key-value service. It
// also logs how many calls such a fleet makes.
func TestMembershipCost(t *testing.T) {
	Convey("An idle fleet writes nothing to the key-value service", t, func() {
		for _, n := range []int{3, 9} {
			c := newCluster(t, options{entries: n, targetsPerPool: 1})
			before := c.kv.Stats()
			const duration = 3 * time.Second
			time.Sleep(duration)
			after := c.kv.Stats()
			calls := after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
			t.Logf("%d entries: %d calls in %v, %d writes", n, calls, duration, after.Writes-before.Writes)
			So(after.Writes, ShouldEqual, before.Writes)
			c.close()
		}
	})
}
