// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/state/view"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	accountRate  = 40.0  // requests per second over the whole fleet
	offeredRate  = 160.0 // requests per second
	loadDuration = 3 * time.Second
)

// countAdmitted sends requests at offeredRate, four times the account's rate, for
// loadDuration and returns how many were answered. pick returns the entry of request n.
func (c *cluster) countAdmitted(tagPrefix string, pick func(n int) int) int {
	k := c.kind("replay")
	k.DeadlineMS = 1000
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered := 0
	interval := time.Duration(float64(time.Second) / offeredRate)
	began := time.Now()
	for n := 0; time.Since(began) < loadDuration; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * interval)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if o := c.send(pick(n), k, fmt.Sprintf("%s-%d", tagPrefix, n), ""); o.Answered {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return answered
}

// limitOwner returns the index of the entry that owns the account's limits and leases
// shares of them to the others, by the view of the first entry; -1 if the owner is not in the
// cluster.
func (c *cluster) limitOwner(account string) int {
	s, err := c.entries[0].state()
	c.must(err)
	owner := view.Owner(s.Members, account)
	for i, p := range c.entries {
		if p.name == owner.Instance {
			return i
		}
	}
	return -1
}

// TestFleetWideLimits guards against an account's rate that holds per entry instead of
// over the fleet. The answered requests must stay near the account's rate with an even
// load, with all load at one entry, and with the owner of the account's limits frozen.
func TestFleetWideLimits(t *testing.T) {
	// The bounds are wide, since a busy machine delays requests; the log has the exact shares.
	const minShare, maxShare = 0.6, 1.6
	for _, n := range []int{3, 9} {
		Convey(fmt.Sprintf("A rate over %d entries", n), t, func() {
			c := newCluster(t, options{entries: n, profile: load.Venue(),
				extraEdits: []hookhall.Edit{forcedEdit("accounts", "venues", "rate", fmt.Sprint(accountRate))}})
			want := accountRate * loadDuration.Seconds()
			owner := c.limitOwner("venues")
			others := func(i int) int { return (owner + 1 + i%(n-1)) % n }
			for _, x := range []struct {
				name        string
				pickEntry   func(int) int
				injectFault func()
			}{
				{"even", func(i int) int { return i % n }, func() {}},
				{"all at one entry", func(int) int { return others(0) }, func() {}},
				{"even, owner frozen", others, func() { c.entries[owner].freeze() }},
			} {
				x.injectFault()
				answered := c.countAdmitted(x.name, x.pickEntry)
				t.Logf("%d entries, %s: %d of %.0f at a rate of %.0f/s, share %.2f", n, x.name, answered, want, accountRate, float64(answered)/want)
				So(float64(answered), ShouldBeBetween, want*minShare, want*maxShare)
			}
			c.entries[owner].thaw()
		})
	}
}

// TestFleetWideConcurrency guards against an account's concurrency limit that holds per
// entry instead of over the fleet.
func TestFleetWideConcurrency(t *testing.T) {
	Convey("Concurrency over three entries", t, func() {
		const limit = 6
		c := newCluster(t, options{profile: load.Venue(), extraEdits: []hookhall.Edit{forcedEdit("accounts", "venues", "concurrency", fmt.Sprint(limit))}})
		k := c.kind("recap")
		k.Tokens = 100
		var mu sync.Mutex
		inFlight, maxActive := 0, 0
		var wg sync.WaitGroup
		for n := 0; n < 60; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				mu.Lock()
				inFlight++
				mu.Unlock()
				c.send(n%3, k, fmt.Sprintf("wide-%d", n), "")
				mu.Lock()
				inFlight--
				mu.Unlock()
			}()
			if n%10 == 9 {
				active := int64(0)
				for _, p := range c.entries {
					s, err := p.state()
					So(err, ShouldBeNil)
					active += s.ActiveRequests
				}
				maxActive = max(maxActive, int(active))
				time.Sleep(20 * time.Millisecond)
			}
		}
		wg.Wait()
		t.Logf("maximum in progress at once: %d, limit %d", maxActive, limit)
		// Entries ask the owner one after another, and requests that are about to be
		// refused count as in progress, so the sum may exceed the limit.
		So(maxActive, ShouldBeLessThanOrEqualTo, 3*limit)
		So(maxActive, ShouldBeGreaterThan, 0)
	})
}
