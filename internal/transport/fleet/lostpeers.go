// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
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
	// removedInterval is the longest time between two updates of a leader to a gateway that
	// was removed from the list within lostRetention. If the store does not answer such a
	// gateway, it learns the list and with it the owners of shared work from that update.
	removedInterval = time.Second
	// minRemovedPause is the pause between two such updates, so that a leader sends at most 20
	// per second.
	minRemovedPause = 50 * time.Millisecond
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
//
// A leader also sends its update in turn to all that were removed within lostRetention, every
// removedInterval if they are at most 20, since only a leader's update has the state of the
// list of gateways.
type LostPeerNotifier struct {
	Broadcaster *Broadcaster

	lastListed map[string]time.Time // when a gateway was last listed, by address
	notifiedAt map[string]time.Time // when a removed gateway was last sent a leader's update, by address
}

// Run sends updates until ctx ends.
func (n *LostPeerNotifier) Run(ctx context.Context) {
	n.lastListed, n.notifiedAt = map[string]time.Time{}, map[string]time.Time{}
	nextRandom := clock.Now().Add(retry.Jitter(notifyInterval))
	for retry.Sleep(ctx, minRemovedPause) {
		now := clock.Now()
		lost := n.lostAddresses(now)
		if address := n.nextRemoved(now); address != "" {
			go n.Broadcaster.notifyLostPeer(address)
		}
		if now.Before(nextRandom) {
			continue
		}
		nextRandom = now.Add(retry.Jitter(notifyInterval))
		if len(lost) > 0 {
			go n.Broadcaster.notifyLostPeer(lost[rand.IntN(len(lost))])
		}
	}
}

// nextRemoved returns the address of the removed gateway to which a leader sends its update
// now, the one that has waited longest, or "" if each was sent one within removedInterval or
// this process is no leader. lostAddresses must have been called as of now.
func (n *LostPeerNotifier) nextRemoved(now time.Time) string {
	for address := range n.notifiedAt {
		if at, ok := n.lastListed[address]; !ok || !at.Before(now) {
			delete(n.notifiedAt, address)
		}
	}
	var due []string
	for address, at := range n.lastListed {
		if at.Before(now) && now.Sub(n.notifiedAt[address]) >= removedInterval {
			due = append(due, address)
		}
	}
	if len(due) == 0 || !n.Broadcaster.Catalog.Ready() || n.Broadcaster.Peers.OutgoingUpdate(now).Revision == 0 {
		return ""
	}
	isFirstLeader := n.Broadcaster.Catalog.ReaderRank() == 0 // depends on all members; too slow for each comparison
	next := slices.MinFunc(due, func(a, b string) int { return n.compareRemoved(a, b, isFirstLeader) })
	n.notifiedAt[next] = now
	return next
}

// compareRemoved orders removed gateways by when a leader sends them its update. The two leaders
// use opposite orders, so that all of many removed gateways are sent one sooner.
func (n *LostPeerNotifier) compareRemoved(a, b string, isFirstLeader bool) int {
	if order := n.notifiedAt[a].Compare(n.notifiedAt[b]); order != 0 {
		return order
	}
	if isFirstLeader {
		return strings.Compare(a, b)
	}
	return strings.Compare(b, a)
}

// lostAddresses returns the addresses of gateways that may know no peers. It may be called
// by one goroutine at a time, which is Run's.
func (n *LostPeerNotifier) lostAddresses(now time.Time) []string {
	b := n.Broadcaster
	for _, m := range b.Peers.All() {
		n.lastListed[m.Address] = now
		b.Clients.instances.learn(m.Address, m.Instance)
	}
	if !b.Catalog.Ready() {
		return nil
	}
	var list []string
	for address, at := range n.lastListed {
		switch {
		case now.Sub(at) > lostRetention:
			delete(n.lastListed, address)
			b.Clients.instances.forget(address)
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
