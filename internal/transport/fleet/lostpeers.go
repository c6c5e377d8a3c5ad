// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// inviteEvery is how often one process is looked for that may miss the others.
	inviteEvery = 500 * time.Millisecond
	// remember is for how long a process that was listed is looked for.
	remember = time.Minute
	// leaf is a place in the tree with nobody after it.
	leaf = 1 << 24
)

// Inviter tells processes that the store can't tell: one that starts while the
// store is away, or that the store turns away, knows nobody, but it comes back
// where it was, and those who still have it on their lists tell it what they
// believe. Each process looks for one other at a time, drawn at random: among all
// while the store does not answer it, else among those that were listed within
// the last minute and are no more.
//
// For example, while the store is silent a process of a fleet of nine that is
// started again hears of the others within about half a second.
type Inviter struct {
	Broadcaster *Broadcaster

	listed map[string]time.Time // address to when it was last listed
}

// Run looks until ctx ends.
func (v *Inviter) Run(ctx context.Context) {
	v.listed = map[string]time.Time{}
	for retry.Sleep(ctx, retry.Jitter(inviteEvery)) {
		if list := v.lost(clock.Now()); len(list) > 0 {
			go v.Broadcaster.invite(list[rand.IntN(len(list))])
		}
	}
}

// lost lists the addresses of those that may miss the others.
func (v *Inviter) lost(now time.Time) []string {
	b := v.Broadcaster
	for _, m := range b.Peers.All() {
		v.listed[m.Address] = now
	}
	if !b.Catalog.Ready() {
		return nil
	}
	var list []string
	for address, at := range v.listed {
		switch {
		case now.Sub(at) > remember:
			delete(v.listed, address)
		case address == b.Peers.Self().Address:
		case at.Before(now) || b.Catalog.Failing():
			list = append(list, address)
		}
	}
	return list
}

// invite tells one process what this one last learned.
func (s *Broadcaster) invite(address string) {
	now := clock.Now()
	m := s.news(now)
	s.tell(address, s.copyFor(m, now, leaf))
}

// start takes news in at a process that has nothing to add it to: whoever told it
// is asked for all that it believes.
func (s *Broadcaster) start(m *pb.News) {
	if s.Start == nil || m.GetFrom() == "" || !s.starting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.starting.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		s.Start.Ask(ctx, m.GetFrom())
	}()
}
