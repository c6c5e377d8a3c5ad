// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

// Member is one entry process of the fleet.
type Member struct {
	// ID consists of the instance and the incarnation, as in entry-3#18c2f0.
	ID string `json:"id"`
	// Instance is the platform's name of the instance (machine).
	Instance string `json:"instance"`
	Hall     string `json:"hall"`
	// Address is where peers connect to, an IP address and a port.
	Address string `json:"address"`
	// RelativeCapacity is the process's capacity of processor and network, relative to that
	// of other members; 0 when it doesn't state it.
	RelativeCapacity float64 `json:"power,omitempty"`
	// DecliningOwnership is set while the process lags: it declines the ownership of shared work.
	DecliningOwnership bool `json:"resting,omitempty"`
	// CutOff is set while the process can't connect to targets, which other members reach: it
	// declines the ownership of shared work, and can't relay.
	CutOff bool `json:"cut_off,omitempty"`
}

// MembershipChange is the difference between the members of Epoch and of Epoch-1.
type MembershipChange struct {
	Epoch  uint64   `json:"epoch"`
	Joined []Member `json:"joined,omitempty"`
	Left   []Member `json:"left,omitempty"`
}

// View is the membership that all processes agree on. It is stored under one key of
// the key-value service and is changed by compare-and-swap only, so that any two
// processes at the same epoch have the same members.
type View struct {
	// Epoch increases with every change of Members.
	Epoch uint64 `json:"epoch"`
	// Revision counts every write, also those that keep the epoch.
	Revision uint64 `json:"revision"`
	// Members is sorted by ID, without duplicates.
	Members []Member `json:"members"`
	// Changes has the newest changes, oldest first, so that a process can
	// reconstruct earlier memberships.
	Changes []MembershipChange `json:"changes,omitempty"`
	// Unfenced members were removed on the evidence of peers alone, and may still run
	// behind a network partition. They remain here until the platform lists them as
	// gone, a newer incarnation of their instance joins, or they rejoin.
	Unfenced []Member `json:"unfenced,omitempty"`
}
