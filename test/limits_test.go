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
	limitRate = 40.0
	offered   = 160.0
	limitTime = 3 * time.Second
)

// admitted sends four times the account's rate for a while, spread over
// entries by pick, and returns how many were answered.
func (c *cluster) admitted(run string, pick func(n int) int) int {
	k := c.kind("replay")
	k.DeadlineMS = 1000
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered := 0
	gap := time.Duration(float64(time.Second) / offered)
	began := time.Now()
	for n := 0; time.Since(began) < limitTime; n++ {
		time.Sleep(time.Until(began.Add(time.Duration(n) * gap)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if o := c.send(pick(n), k, fmt.Sprintf("%s-%d", run, n), ""); o.Answered {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return answered
}

// limitOwner is the entry that owns the account's shares.
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

func TestFleetWideLimits(t *testing.T) {
	// The bounds are wide, since the machine may be busy; the log has figures.
	const least, most = 0.6, 1.6
	for _, n := range []int{3, 9} {
		Convey(fmt.Sprintf("A rate over %d entries", n), t, func() {
			c := newCluster(t, options{entries: n, profile: load.Venue(),
				edits: []hookhall.Edit{set("accounts", "venues", "rate", fmt.Sprint(limitRate))}})
			want := limitRate * limitTime.Seconds()
			owner := c.limitOwner("venues")
			others := func(i int) int { return (owner + 1 + i%(n-1)) % n }
			for _, x := range []struct {
				name string
				pick func(int) int
				hit  func()
			}{
				{"even", func(i int) int { return i % n }, func() {}},
				{"all at one entry", func(int) int { return others(0) }, func() {}},
				{"even, owner frozen", others, func() { c.entries[owner].freeze() }},
			} {
				x.hit()
				got := c.admitted(x.name, x.pick)
				t.Logf("%d entries, %s: %d of %.0f at a rate of %.0f/s, share %.2f", n, x.name, got, want, limitRate, float64(got)/want)
				So(float64(got), ShouldBeBetween, want*least, want*most)
			}
			c.entries[owner].thaw()
		})
	}
}

func TestFleetWideConcurrency(t *testing.T) {
	Convey("Concurrency over three entries", t, func() {
		const limit = 6
		c := newCluster(t, options{profile: load.Venue(), edits: []hookhall.Edit{set("accounts", "venues", "concurrency", fmt.Sprint(limit))}})
		k := c.kind("recap")
		k.Tokens = 100
		var mu sync.Mutex
		now, most := 0, 0
		var wg sync.WaitGroup
		for n := 0; n < 60; n++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				mu.Lock()
				now++
				mu.Unlock()
				c.send(n%3, k, fmt.Sprintf("wide-%d", n), "")
				mu.Lock()
				now--
				mu.Unlock()
			}()
			if n%10 == 9 {
				sum := int64(0)
				for _, p := range c.entries {
					s, err := p.state()
					So(err, ShouldBeNil)
					sum += s.Active
				}
				most = max(most, int(sum))
				time.Sleep(20 * time.Millisecond)
			}
		}
		wg.Wait()
		t.Logf("most in progress at once: %d, limit %d", most, limit)
		// Entries ask one after another, so what is in progress while a request
		// is being refused is counted too.
		So(most, ShouldBeLessThanOrEqualTo, 3*limit)
		So(most, ShouldBeGreaterThan, 0)
	})
}
