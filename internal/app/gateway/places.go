// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
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

// sharers are the processes that share the slack of the retry budget.
func (g *Gateway) sharers(now time.Time) budget.Sharers {
	count, place := g.members.Sharers(now)
	return budget.Sharers{Count: count, Place: place}
}
