// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// pullTimeout bounds a call that asks a peer for what updates did not bring.
	pullTimeout = 500 * time.Millisecond
	// pullPause is the pause, before jitter, after a peer that did not know anything newer:
	// in an outage of the store nobody does.
	pullPause = time.Second
	// maxHelpfulAge is the age up to which a peer's state shows that updates reach the peer. Those
	// arrive twice a second and are at most that old.
	maxHelpfulAge = time.Second
)

// pull chooses the peer that a process asks while no updates reach it, for instance because it is
// not on the others' lists. It goes on with a peer that helps, so that a fleet in which many ask
// opens few connections. It is safe for concurrent use.
type pull struct {
	mu        sync.Mutex
	peer      string    // address of the peer that helped last, "" for none
	notBefore time.Time // no peer is asked earlier
}

// next returns the address of the peer to ask, and false if none is to be asked now.
func (p *pull) next(s *Broadcaster, now time.Time) (address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.notBefore) {
		return "", false
	}
	if p.peer == "" {
		p.peer = s.randomPeer(now)
	}
	return p.peer, p.peer != ""
}

// record records whether the peer that was asked had recent state.
func (p *pull) record(helpful bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !helpful {
		p.peer, p.notBefore = "", now.Add(retry.Jitter(pullPause))
	}
}

// randomPeer returns the address of a random peer that has not been unresponsive, "" if there is none.
func (s *Broadcaster) randomPeer(now time.Time) string {
	self, chosen, count := s.Peers.Self().Address, "", 0
	for _, m := range s.Peers.All() {
		if m.Address == self || s.recentlyUnresponsive(m.Address, now) {
			continue
		}
		if count++; rand.IntN(count) == 0 {
			chosen = m.Address
		}
	}
	return chosen
}

// PullTable asks a peer for a newer table, or for a later confirmation of the one in force.
func (s *Broadcaster) PullTable(ctx context.Context) {
	began := clock.Now()
	peer, ok := s.tablePull.next(s, began)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	have, _ := s.Catalog.TableAge(began)
	t, err := s.Clients.Client(peer).FetchTable(ctx, have)
	if err == nil {
		applyTable(s.Catalog, t, peer, began)
	}
	s.tablePull.record(err == nil && milliseconds(t.GetAgeMs()) <= maxHelpfulAge, clock.Now())
}
