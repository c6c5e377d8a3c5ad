// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
)

// TestStartingFleet guards against gateways that each regard themselves, or a few that they have
// listed first, as the owners of all work while a fleet starts: all would read the store for all
// others. At any time the gateways have to agree that a strong one owns the work.
func TestStartingFleet(t *testing.T) {
	const total, strong = 200, 20
	started := func(n int) hookhall.Member {
		o := member(n)
		o.Address = fmt.Sprintf("10.0.%d.%d:1", n/250, n%250+1)
		if n > strong {
			o.RelativeCapacity = 0.2
		}
		return o
	}
	cases := map[string]time.Duration{ // between the registration of a process and its first list
		"the list is read at once":         time.Millisecond,
		"the list is read a second later":  time.Second,
		"the list is read four seconds on": 4 * time.Second,
	}
	for name, delay := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				const own = total // one of the weak
				m := New(started(own), s, log.New(io.Discard))
				m.IsLeader = func() bool { return false }
				ctx, cancel := context.WithCancel(t.Context())
				registered := make(chan struct{})
				go func() { m.register(ctx); close(registered) }()
				synctest.Wait()
				for n := strong + 1; n <= strong+5; n++ { // those of the first list are weak
					s.write(started(n), false)
				}
				s.write(started(own), false)
				time.Sleep(delay)
				if _, err := m.read(ctx); err != nil {
					t.Fatal(err)
				}
				for n := 1; n < own; n++ {
					if n%20 == 0 {
						time.Sleep(50 * time.Millisecond)
					}
					s.write(started(n), false)
					if n%20 == 10 {
						if _, err := m.read(ctx); err != nil {
							t.Fatal(err)
						}
					}
				}
				if _, err := m.read(ctx); err != nil {
					t.Fatal(err)
				}
				for range 120 {
					if owner := m.Owner("reader", nil, time.Now()); owner.RelativeCapacity < 1 {
						t.Fatalf("%s owns the work %v after the list was first known", owner.Address, time.Since(m.firstListAt))
					}
					time.Sleep(50 * time.Millisecond)
				}
				cancel()
				<-registered
			})
		})
	}
}
