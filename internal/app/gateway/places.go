// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/quota"
)

// coldShare is how many requests in any second this process may send to a cold target
// by its own choice: one, if it is among the first few gateways for that target.
func (g *Gateway) coldShare(target string, owners int) int {
	var all []string
	for _, m := range g.members.All() {
		all = append(all, m.Address)
	}
	if balance.Owns(target, g.members.Self().Address, all, owners) {
		return 1
	}
	return 0
}

// standInShare is the part of a target's rate limit that an instance grants which is asked
// though it does not hold itself to be the owner: its list of members, or the asking
// instance's, is out of date, and the owner grants the whole rate.
const standInShare = 0.25

// grants gives out the rates of limited targets whose owner a key names. An instance that
// does not know all members yet grants nothing.
func (g *Gateway) grants(key string) advisory.Grants {
	now := clock.Now()
	grants := advisory.Grants{Book: g.advisories.Book}
	switch {
	case grants.Book.Idle(), g.sharers(now).Count == 0:
	case g.members.Owner(key, nil, now).Address == g.members.Self().Address:
		grants.Share = 1
	default:
		grants.Share = standInShare
	}
	return grants
}

// hallsIn lists the halls of regions, sorted.
func (g *Gateway) hallsIn(regions []string) []string {
	var halls []string
	for hall, region := range g.settings.Regions {
		if slices.Contains(regions, region) {
			halls = append(halls, hall)
		}
	}
	slices.Sort(halls)
	return halls
}

// sharers are the processes that share what the whole fleet may hold or spend.
func (g *Gateway) sharers(now time.Time) quota.Sharers {
	count, place := g.members.Sharers(now)
	return quota.Sharers{Count: count, Place: place}
}

const (
	// idleShare is the part of a target's connections that may rest; the others are for
	// requests in progress, and for those of killed processes, which the target notices
	// late.
	idleShare = 0.5
	// sharersEvery is how often it is asked who shares connections: it takes a lock,
	// and each answer of a target has it asked.
	sharersEvery = 200 * time.Millisecond
)

// connectionSharers remembers for a moment who shares connections.
type connectionSharers struct {
	at      time.Time
	sharers quota.Sharers
}

// restingConnections is how many idle connections to a target this process may keep,
// so that the fleet together leaves the target room for others.
func (g *Gateway) restingConnections(address string) int {
	service := g.catalog.ServiceAt(address)
	t := g.catalog.Table()
	if t == nil || service == "" {
		return 0
	}
	s := t.Service(service)
	if s == nil || s.MaxConns <= 0 {
		return math.MaxInt
	}
	now := clock.Now()
	known := g.resting.Load()
	if known == nil || now.Sub(known.at) >= sharersEvery {
		known = &connectionSharers{now, g.sharers(now)}
		g.resting.Store(known)
	}
	return known.sharers.Part(int(idleShare*float64(s.MaxConns)), address)
}
