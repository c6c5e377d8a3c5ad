// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/standin"
	. "github.com/smartystreets/goconvey/convey"
)

func TestMembership(t *testing.T) {
	Convey("A fleet of four", t, func() {
		c := newCluster(t, options{entries: 4})
		// othersSee waits until the first three see n members and m unfenced.
		othersSee := func(n, m int) {
			c.t.Helper()
			c.await("a view", func() bool {
				for _, p := range c.entries[:3] {
					s, err := p.state()
					if err != nil || len(s.Members) != n || len(s.Unfenced) != m || s.Claims.Missing > 0 {
						return false
					}
				}
				return true
			})
		}
		Convey("takes a killed entry out as unfenced, and fences it when it is back", func() {
			c.entries[3].kill()
			othersSee(3, 1)
			c.entries[3].start()
			c.awaitWhole(4)
			othersSee(4, 0)
		})
		Convey("fences it when the list no longer has it", func() {
			c.entries[3].kill()
			othersSee(3, 1)
			c.list.Remove(c.entries[3].name)
			othersSee(3, 0)
		})
		Convey("takes a frozen entry out, and takes it back when it thaws", func() {
			c.entries[3].freeze()
			othersSee(3, 1)
			c.entries[3].thaw()
			c.awaitWhole(4)
			othersSee(4, 0)
		})
		Convey("takes an entry whose peers' port swallows all out, which serves on as an origin", func() {
			swallow(c, c.entries[3].cutPeers)
			othersSee(3, 1)
			o := c.send(3, c.kind("recap"), "guest", "")
			So(o.Answered, ShouldBeTrue)
		})
		Convey("changes nothing in an outage, and all of it after", func() {
			c.kv.SetFaults(standin.KeyValueFaults{Down: true})
			before, err := c.entries[0].state()
			So(err, ShouldBeNil)
			c.entries[3].kill()
			c.await("the death to be noticed", func() bool {
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

func TestMembershipCost(t *testing.T) {
	Convey("What a quiet fleet costs the service", t, func() {
		for _, n := range []int{3, 9} {
			c := newCluster(t, options{entries: n, count: 1})
			before := c.kv.Stats()
			const length = 3 * time.Second
			time.Sleep(length)
			after := c.kv.Stats()
			calls := after.Reads + after.Watches + after.Writes - before.Reads - before.Watches - before.Writes
			t.Logf("%d entries: %d calls in %v, %d writes", n, calls, length, after.Writes-before.Writes)
			So(after.Writes, ShouldEqual, before.Writes)
			c.close()
		}
	})
}
