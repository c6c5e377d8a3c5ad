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
// target without a placement owner: 1 if it is among the first maxSenders gateways in the
// target's order, else 0.
func (g *Gateway) coldShare(target string, maxSenders int) int {
	if balance.IsDirectSender(target, g.members.Self().Address, g.members.Sharers(), maxSenders) {
		return 1
	}
	return 0
}

// slotShare returns how many of a number of slots of a target this process may use without the
// placement owner.
func (g *Gateway) slotShare(slots int, target string) int {
	return g.quotaPosition(clock.Now()).Share(slots, target)
}

// nonOwnerShare is the fraction of a target's rate limit that an instance grants if it is
// not the owner by its own list of members. A request for a grant then shows that its list
// or that of the sender is out of date. It is below 1 because the owner grants the whole
// rate at the same time.
const nonOwnerShare = 0.25

// grants returns the grants of this instance for the limited targets whose owner is the
// owner of key. Their share is 0 while no target is limited, or while this instance does
// not know all members yet.
func (g *Gateway) grants(key string) advisory.Grants {
	now := clock.Now()
	grants := advisory.Grants{Registry: g.advisories.Registry}
	switch {
	case grants.Registry.Unrestricted(), g.quotaPosition(now).Count == 0:
	case g.members.Owner(key, nil, now).Address == g.members.Self().Address:
		grants.Share = 1
	default:
		grants.Share = nonOwnerShare
	}
	return grants
}

// hallsIn returns the halls in any of the given regions, sorted.
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

// quotaPosition returns the number of processes that share the fleet's quotas and the
// index of this process among them. The number is 0 if it is not known yet.
func (g *Gateway) quotaPosition(now time.Time) quota.Position {
	count, index := g.members.QuotaPosition(now)
	return quota.Position{Count: count, Index: index}
}

const (
	// idleConnectionsShare is the fraction of a target's connection slots that idle
	// connections of the whole fleet may take. The others are for requests in progress,
	// and for connections of killed processes, which the target detects late.
	idleConnectionsShare = 0.5
	// positionMaxAge is how long a positionSnapshot is valid. Without it, each answer
	// of a target would take the lock of the members.
	positionMaxAge = 200 * time.Millisecond
)

// positionSnapshot caches the result of Gateway.quotaPosition for positionMaxAge.
type positionSnapshot struct {
	takenAt  time.Time
	position quota.Position
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
	snapshot := g.cachedPosition.Load()
	if snapshot == nil || now.Sub(snapshot.takenAt) >= positionMaxAge {
		snapshot = &positionSnapshot{now, g.quotaPosition(now)}
		g.cachedPosition.Store(snapshot)
	}
	return snapshot.position.Share(int(idleConnectionsShare*float64(service.MaxConns)), address)
}
