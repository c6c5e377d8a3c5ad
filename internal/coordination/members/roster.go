// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"

	"github.com/hookhall/hookhall"
)

// roster is an immutable list of members.
type roster struct {
	all              []hookhall.Member // sorted by address, this process included
	candidates       []hookhall.Member // all, without this process if it is not listed
	minOwnerCapacity float64           // the relative capacity that a member needs to own work
	// eligible has the eligible owners: other members own work only if none of these is available.
	eligible []hookhall.Member // sorted by address
}

// newRoster returns a roster of a list that is sorted by address. Members that can't connect to
// targets are eligible owners only if all of them can't.
func newRoster(all []hookhall.Member) *roster {
	connected := slices.DeleteFunc(slices.Clone(all), func(member hookhall.Member) bool { return member.CutOff })
	if len(connected) == 0 {
		connected = all
	}
	minOwnerCapacity := minEligibleCapacity(connected)
	var strong, willing []hookhall.Member
	for _, member := range connected {
		if effectiveCapacity(member) < minOwnerCapacity {
			continue
		}
		strong = append(strong, member)
		if !member.DecliningOwnership {
			willing = append(willing, member)
		}
	}
	if 2*len(willing) < len(strong) {
		// More than half of the strong members are lagging: the load is too high for all
		// of them, and would be higher for the rest.
		return &roster{all: all, candidates: all, minOwnerCapacity: minOwnerCapacity, eligible: strong}
	}
	return &roster{all: all, candidates: all, minOwnerCapacity: minOwnerCapacity, eligible: willing}
}

// minEligibleCapacity returns the relative capacity that a member needs to own work:
// eligibleCapacityShare of the strongest member's, or less if fewer than minEligibleOwners
// members have that. all must not be empty.
func minEligibleCapacity(all []hookhall.Member) float64 {
	capacities := make([]float64, 0, len(all))
	for _, member := range all {
		capacities = append(capacities, effectiveCapacity(member))
	}
	slices.Sort(capacities)
	slices.Reverse(capacities)
	return min(eligibleCapacityShare*capacities[0], capacities[min(minEligibleOwners, len(capacities))-1])
}

// effectiveCapacity returns the relative capacity of a member, at least minCapacity.
func effectiveCapacity(member hookhall.Member) float64 {
	return max(member.RelativeCapacity, minCapacity)
}
