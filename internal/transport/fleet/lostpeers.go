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
	// notifyInterval is the average pause between two updates to possibly lost peers.
	notifyInterval = 500 * time.Millisecond
	// lostRetention is for how long updates are sent to a peer that is no longer listed.
	lostRetention = time.Minute
	// leafPosition is a position in the tree that has no children in any fleet, so that
	// the receiver does not forward the update.
	leafPosition = 1 << 24
)

// LostPeerNotifier sends updates to gateways that can't learn of the fleet from the store.
// A process that starts while the store is unavailable, or refuses it, knows no peers. But
// it starts at its previous address, which other gateways still know, and their update
// makes it fetch the state of the sender.
//
// Each process sends to one address at a time, drawn at random: while the store does not
// answer this process, from all gateways, and else from those that were listed within
// lostRetention and are not listed now. For example, while the store is unavailable, a
// restarted process of a fleet of nine receives an update every half a second on average.
type LostPeerNotifier struct {
	Broadcaster *Broadcaster

	lastListed map[string]time.Time // when a gateway was last listed, by address
}

// Run sends updates until ctx ends.
func (n *LostPeerNotifier) Run(ctx context.Context) {
	n.lastListed = map[string]time.Time{}
	for retry.Sleep(ctx, retry.Jitter(notifyInterval)) {
		if list := n.lostAddresses(clock.Now()); len(list) > 0 {
			go n.Broadcaster.notifyLostPeer(list[rand.IntN(len(list))])
		}
	}
}

// lostAddresses returns the addresses of gateways that may know no peers. It may be called
// by one goroutine at a time, which is Run's.
func (n *LostPeerNotifier) lostAddresses(now time.Time) []string {
	b := n.Broadcaster
	for _, m := range b.Peers.All() {
		n.lastListed[m.Address] = now
	}
	if !b.Catalog.Ready() {
		return nil
	}
	var list []string
	for address, at := range n.lastListed {
		switch {
		case now.Sub(at) > lostRetention:
			delete(n.lastListed, address)
		case address == b.Peers.Self().Address:
		case at.Before(now) || b.Catalog.Failing():
			list = append(list, address)
		}
	}
	return list
}

// notifyLostPeer sends the current update to one address.
func (s *Broadcaster) notifyLostPeer(address string) {
	now := clock.Now()
	m := s.currentUpdate(now)
	s.sendUpdate(address, s.updateFor(m, now, leafPosition))
}

// bootstrap handles an update at a process that has no state to apply it to: it fetches
// the complete state of the sender.
func (s *Broadcaster) bootstrap(m *pb.News) {
	if s.Bootstrapper == nil || m.GetFrom() == "" || !s.bootstrapping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.bootstrapping.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		s.Bootstrapper.Ask(ctx, m.GetFrom())
	}()
}
