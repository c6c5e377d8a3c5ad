// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

// Member is one entry process of the fleet.
type Member struct {
	// ID is the instance and the incarnation, as in entry-3#18c2f0.
	ID string `json:"id"`
	// Instance is the platform's name of the machine.
	Instance string `json:"instance"`
	Hall     string `json:"hall"`
	// Address is the peers' address, an IP number and a port.
	Address string `json:"address"`
	// Power is how much of a processor and a link it has, against others; 0 when
	// it doesn't say.
	Power float64 `json:"power,omitempty"`
	// Resting is set while the process is late with its work: it asks to be left
	// out when shared work is given out.
	Resting bool `json:"resting,omitempty"`
}

// Change is one membership change: what Epoch changed against Epoch-1.
type Change struct {
	Epoch  uint64   `json:"epoch"`
	Joined []Member `json:"joined,omitempty"`
	Left   []Member `json:"left,omitempty"`
}

// View is the agreed membership. It lives under one key of the key-value
// service and is changed by compare-and-swap only, so that any two processes
// that hold the same epoch hold the same members.
type View struct {
	Epoch uint64 `json:"epoch"`
	// Revision counts every write, also those that keep the epoch.
	Revision uint64 `json:"revision"`
	// Members is sorted by ID and never names one twice.
	Members []Member `json:"members"`
	// Changes has the newest changes, oldest first, so that a process can
	// rebuild earlier memberships.
	Changes []Change `json:"changes,omitempty"`
	// Unfenced members were removed on peers' evidence alone: they may still
	// run, cut off. They stay here until the platform lists them as gone,
	// a newer incarnation of their instance joins, or they come back.
	Unfenced []Member `json:"unfenced,omitempty"`
}
