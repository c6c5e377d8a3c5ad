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

// coldShare returns how many requests in any second this process may send to a cold
// target by its own choice: 1 if it is among the target's first owners gateways, else 0.
func (g *Gateway) coldShare(target string, owners int) int {
	var addresses []string
	for _, m := range g.members.All() {
		addresses = append(addresses, m.Address)
	}
	if balance.IsDirectSender(target, g.members.Self().Address, addresses, owners) {
		return 1
	}
	return 0
}

// nonOwnerShare is the fraction of a target's rate limit that an instance grants when it
// is asked but does not know itself as the owner. Its list of members or that of the
// asking instance is then out of date. It grants only a part, because the owner grants
// the whole rate at the same time.
const nonOwnerShare = 0.25

// grants returns the share of the rates of limited targets that this instance grants,
// for the targets whose owner is the owner of key. It is 0 while no target is limited, or while
// this instance does not know all members yet.
func (g *Gateway) grants(key string) advisory.Grants {
	now := clock.Now()
	grants := advisory.Grants{Registry: g.advisories.Book}
	switch {
	case grants.Registry.Unrestricted(), g.sharers(now).Count == 0:
	case g.members.Owner(key, nil, now).Address == g.members.Self().Address:
		grants.Share = 1
	default:
		grants.Share = nonOwnerShare
	}
	return grants
}

// hallsIn returns the halls that lie in any of regions, sorted.
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

// sharers returns the number of processes that share the fleet's quotas, 0 if it is
// not known yet, and this process's place among them.
func (g *Gateway) sharers(now time.Time) quota.Position {
	count, place := g.members.Sharers(now)
	return quota.Position{Count: count, Index: place}
}

const (
	// idleConnectionsShare is the fraction of a target's connection slots that idle
	// connections may take. The others are for requests in progress, and for
	// connections of killed processes, which the target notices late.
	idleConnectionsShare = 0.5
	// sharersMaxAge is how long a sharersSnapshot is used. Without the snapshot each
	// answer of a target would take the lock of the members.
	sharersMaxAge = 200 * time.Millisecond
)

// sharersSnapshot caches the result of Gateway.sharers for sharersMaxAge.
type sharersSnapshot struct {
	takenAt time.Time
	sharers quota.Position
}

// maxIdleConnections returns how many idle connections to the target at address this
// process may keep: its part of idleConnectionsShare of the target's limit, so that the
// whole fleet leaves connection slots free. It is 0 if the service at address is not
// known, and math.MaxInt if the service has no limit.
func (g *Gateway) maxIdleConnections(address string) int {
	name := g.catalog.ServiceAt(address)
	table := g.catalog.Table()
	if table == nil || name == "" {
		return 0
	}
	service := table.Service(name)
	if service == nil || service.MaxConns <= 0 {
		return math.MaxInt
	}
	now := clock.Now()
	snapshot := g.recentSharers.Load()
	if snapshot == nil || now.Sub(snapshot.takenAt) >= sharersMaxAge {
		snapshot = &sharersSnapshot{now, g.sharers(now)}
		g.recentSharers.Store(snapshot)
	}
	return snapshot.sharers.Share(int(idleConnectionsShare*float64(service.MaxConns)), address)
}
