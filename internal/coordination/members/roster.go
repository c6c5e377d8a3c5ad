// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"slices"

	"github.com/hookhall/hookhall"
)

// roster is a list of members that never changes.
type roster struct {
	all   []hookhall.Member // sorted by address, this process included
	least float64           // the power that a member needs to own work
	// bearers are those of all that own work as long as one of them is there.
	bearers []hookhall.Member // sorted by address
}

// newRoster finds the bearers of a sorted list.
func newRoster(all []hookhall.Member) *roster {
	least := bearerPower(all)
	var strong, awake []hookhall.Member
	for _, o := range all {
		if power(o) < least {
			continue
		}
		strong = append(strong, o)
		if !o.Resting {
			awake = append(awake, o)
		}
	}
	if 2*len(awake) < len(strong) {
		// More than a few are late: the load is too much for all of them, and would
		// be more for those that are left.
		return &roster{all: all, least: least, bearers: strong}
	}
	return &roster{all: all, least: least, bearers: awake}
}

// bearerPower is the power from which on a member owns work: bearerShare of the
// strongest one's, or less when fewer than leastBearers have that.
func bearerPower(all []hookhall.Member) float64 {
	powers := make([]float64, 0, len(all))
	for _, o := range all {
		powers = append(powers, power(o))
	}
	slices.Sort(powers)
	slices.Reverse(powers)
	return min(bearerShare*powers[0], powers[min(leastBearers, len(powers))-1])
}

// power is what a member can carry, against others.
func power(o hookhall.Member) float64 { return max(o.Power, leastPower) }
