// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// wantedRelays is how many relays a process wants to know that work, so that it spreads its
	// load over them; while it knows fewer, every exploreInterval-th connection tries another.
	wantedRelays    = 3
	exploreInterval = 4
	// workingLifetime is how long after its last connection a relay is known to work.
	workingLifetime = 5 * time.Second
	// sampledPeers is how many peers are drawn at random to find an untried one.
	sampledPeers = 8
	// minRelayCapacity is the relative capacity of peers that state none, or less.
	minRelayCapacity = 0.05
)

// Relays chooses peers that connect this process to targets. The zero Relays knows none. It is
// safe for concurrent use.
type Relays struct {
	mu        sync.Mutex
	byAddress map[string]*relay
	picks     int
}

// relay is what is known of one peer as a relay.
type relay struct {
	connections   int // open through it
	workedAt      time.Time
	excludedUntil time.Time
}

// Pick returns the peer to ask for a connection: the less loaded of two that are known to work, or
// another one if few are. It leaves out self, the addresses in tried, excluded peers, and
// peers that state that they can't reach targets. The first try prefers a peer in the hall of
// self. ok is false if no peer is left.
func (r *Relays) Pick(members []hookhall.Member, self hookhall.Member, tried map[string]bool, now time.Time) (peer hookhall.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isUsable := func(m hookhall.Member) bool {
		known := r.byAddress[m.Address]
		return m.Address != self.Address && !tried[m.Address] && !m.CutOff && (known == nil || !now.Before(known.excludedUntil))
	}
	var working []hookhall.Member
	for i := range members {
		known := r.byAddress[members[i].Address]
		if known != nil && now.Sub(known.workedAt) < workingLifetime && isUsable(members[i]) {
			working = append(working, members[i])
		}
	}
	r.picks++
	if len(working) > 0 && (len(working) >= wantedRelays || r.picks%exploreInterval != 0) {
		return r.lessLoaded(working[rand.IntN(len(working))], working[rand.IntN(len(working))]), true
	}
	if peer, ok = pickUntried(members, self.Hall, len(tried) == 0, isUsable); ok {
		return peer, true
	}
	if len(working) > 0 {
		return working[0], true
	}
	return hookhall.Member{}, false
}

// pickUntried returns a random usable member, in hall if preferHall is set and the sample has one.
func pickUntried(members []hookhall.Member, hall string, preferHall bool, isUsable func(hookhall.Member) bool) (peer hookhall.Member, ok bool) {
	for range min(sampledPeers, len(members)) {
		m := members[rand.IntN(len(members))]
		if !isUsable(m) {
			continue
		}
		peer, ok = m, true
		if !preferHall || m.Hall == hall {
			return peer, true
		}
	}
	if ok {
		return peer, true
	}
	from := rand.IntN(max(len(members), 1))
	for i := range members {
		if m := members[(from+i)%len(members)]; isUsable(m) {
			return m, true
		}
	}
	return hookhall.Member{}, false
}

// lessLoaded returns the one of two members with fewer connections for its capacity. r.mu must be
// held.
func (r *Relays) lessLoaded(a, b hookhall.Member) hookhall.Member {
	if r.load(b) < r.load(a) {
		return b
	}
	return a
}

// load returns the connections through a member by its capacity. r.mu must be held.
func (r *Relays) load(m hookhall.Member) float64 {
	return float64(r.byAddress[m.Address].connections) / max(m.RelativeCapacity, minRelayCapacity)
}

// find returns what is known of a peer, and adds it if there is nothing. r.mu must be held.
func (r *Relays) find(address string) *relay {
	if r.byAddress == nil {
		r.byAddress = map[string]*relay{}
	}
	known := r.byAddress[address]
	if known == nil {
		known = &relay{}
		r.byAddress[address] = known
	}
	return known
}

// Opened records a connection through a peer; Closed must follow.
func (r *Relays) Opened(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(address)
	known.connections++
	known.workedAt = now
}

// Closed records the end of a connection through a peer.
func (r *Relays) Closed(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.find(address).connections--
}

// Exclude leaves a peer out until a time.
func (r *Relays) Exclude(address string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.find(address)
	known.workedAt, known.excludedUntil = time.Time{}, until
}

// Prune forgets the peers without connections and exclusions that have not worked lately.
func (r *Relays) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, known := range r.byAddress {
		if known.connections == 0 && !now.Before(known.excludedUntil) && now.Sub(known.workedAt) >= workingLifetime {
			delete(r.byAddress, address)
		}
	}
}
