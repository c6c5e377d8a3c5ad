// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"

	"github.com/hookhall/hookhall"
)

// roster is an immutable list of members.
type roster struct {
	all           []hookhall.Member // sorted by address, this process included
	minOwnerPower float64           // the power that a member needs to own work, relative to other members
	// eligible are the members of all that own work as long as one of them is available.
	eligible []hookhall.Member // sorted by address
}

// newRoster returns a roster of a list that is sorted by address.
func newRoster(all []hookhall.Member) *roster {
	minOwnerPower := eligiblePower(all)
	var strong, willing []hookhall.Member
	for _, o := range all {
		if effectivePower(o) < minOwnerPower {
			continue
		}
		strong = append(strong, o)
		if !o.DecliningOwnership {
			willing = append(willing, o)
		}
	}
	if 2*len(willing) < len(strong) {
		// More than half of the strong members are lagging: the load is too high for all
		// of them, and would be higher for the rest.
		return &roster{all: all, minOwnerPower: minOwnerPower, eligible: strong}
	}
	return &roster{all: all, minOwnerPower: minOwnerPower, eligible: willing}
}

// eligiblePower returns the power that a member needs to own work: eligiblePowerShare of
// the strongest member's, or less if fewer than minEligibleOwners members have that.
func eligiblePower(all []hookhall.Member) float64 {
	powers := make([]float64, 0, len(all))
	for _, o := range all {
		powers = append(powers, effectivePower(o))
	}
	slices.Sort(powers)
	slices.Reverse(powers)
	return min(eligiblePowerShare*powers[0], powers[min(minEligibleOwners, len(powers))-1])
}

// effectivePower returns how much work a member can do, relative to other members. It is
// at least minPower.
func effectivePower(o hookhall.Member) float64 { return max(o.RelativeCapacity, minPower) }
