// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// newMembers returns n members in two halls, the first of which is self.
func newMembers(n int) []hookhall.Member {
	var list []hookhall.Member
	for i := range n {
		list = append(list, hookhall.Member{Address: fmt.Sprint("peer-", i), Hall: fmt.Sprint("hall-", i%2), RelativeCapacity: 1})
	}
	return list
}

// TestPickUsable guards against asking this process, peers that were tried, that are excluded, or that
// state that they are cut off.
func TestPickUsable(t *testing.T) {
	now := time.Unix(1000, 0)
	members := newMembers(6)
	members[1].CutOff = true
	var relays Relays
	relays.Exclude("peer-2", now.Add(time.Second))
	tried := map[string]bool{"peer-3": true}
	for range 200 {
		peer, ok := relays.Pick(members, members[0], tried, now)
		if !ok || (peer.Address != "peer-4" && peer.Address != "peer-5") {
			t.Fatalf("picked %q, %v", peer.Address, ok)
		}
	}
	tried["peer-4"], tried["peer-5"] = true, true
	if peer, ok := relays.Pick(members, members[0], tried, now); ok {
		t.Errorf("picked %q though none is left", peer.Address)
	}
	if _, ok := relays.Pick(members, members[0], tried, now.Add(time.Second)); !ok {
		t.Error("a peer is still excluded")
	}
}

// TestPickPrefersHall checks that the first try stays in the hall of this process, and that further
// ones do not: the whole hall may be cut off.
func TestPickPrefersHall(t *testing.T) {
	now := time.Unix(1000, 0)
	members := newMembers(40)
	count := func(tried map[string]bool) (sameHall int) {
		for range 400 {
			if peer, _ := (&Relays{}).Pick(members, members[0], tried, now); peer.Hall == members[0].Hall {
				sameHall++
			}
		}
		return sameHall
	}
	if n := count(nil); n < 360 {
		t.Errorf("%d of 400 first tries in the hall", n)
	}
	if n := count(map[string]bool{"peer-1": true}); n > 280 {
		t.Errorf("%d of 400 further tries in the hall", n)
	}
}

// TestPickSpreadsLoad guards against one relay that gets all connections while others work, too.
func TestPickSpreadsLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	members := newMembers(6)
	members[5].RelativeCapacity = 3
	var relays Relays
	byPeer := map[string]int{}
	for range 300 {
		peer, ok := relays.Pick(members, members[0], nil, now)
		if !ok {
			t.Fatal("no peer")
		}
		relays.Opened(peer.Address, now)
		byPeer[peer.Address]++
	}
	for address, n := range byPeer {
		if n > 180 {
			t.Errorf("%s has %d of 300 connections", address, n)
		}
	}
	if len(byPeer) < wantedRelays {
		t.Errorf("connections through %v", byPeer)
	}
}
