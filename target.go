// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Target is one back end, as listed by the instance list and the table.
type Target struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Hall    string `json:"hall"`
	Address string `json:"address"`
	// Streams is set for engines, whose answers are streamed in chunks.
	Streams bool `json:"streams"`
	// Leaving is set when the instance list, the target itself, a refusal by the target or
	// the operators' table states that the target is leaving; one of them is enough.
	Leaving bool `json:"leaving"`
	// Version is the version of the target's software, "" when it doesn't state it.
	Version string `json:"version,omitempty"`
	// Slots is the number of calls that the target runs at the same time, 0 when it
	// doesn't state it.
	Slots int `json:"slots,omitempty"`
	// Start distinguishes the incarnations of a target that restarts under the same ID.
	// It is the time of its start by its own clock, in Unix milliseconds, and 0 when it
	// doesn't state it. A target has no state of its earlier incarnations.
	Start int64 `json:"born,omitempty"`
	// HeartbeatCount is the number of the target's own heartbeats, 0 when it has none.
	HeartbeatCount uint64 `json:"beat,omitempty"`
	// ColdLeft is how long the target would remain cold when it last wrote its key, as
	// reported by the target. A cold target works, but fails under more than its
	// service's ColdRate.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is when the target stops being cold, by this process's monotonic clock;
	// zero for a target that is warm. It is never sent.
	ColdUntil time.Time `json:"-"`
}

// Cold reports whether the target is cold at now.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Incarnation identifies one run of a target, from the start of its process to its end.
// State that is kept about a target is valid for one run only: the next one has no
// knowledge of what the earlier one held, did or reported.
type Incarnation struct {
	ID    string
	Start int64 // Target.Start
}

// Incarnation identifies the target's current incarnation. Two incarnations of an ID differ in
// Target.Start, which doesn't order them, since the clocks of targets jump. The later one is
// that which was listed at the higher revision of the store.
func (t Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Start} }

// Software returns the target's service and the version of its software.
func (t Target) Software() string { return t.Pool + " " + t.Version }

// LoadReport is a target's own report of its load. It is out of date by the time it
// took to arrive.
type LoadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Capacity int  `json:"capacity"`
	Leaving  bool `json:"leaving"`
	// Slowdown is how long work takes there at present, as a multiple of the usual time; 1 for
	// usual, 0 if it is not known.
	Slowdown float64 `json:"slowdown,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of the platform's list. An instance that is not listed no longer exists.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Roles of instances in the platform's list.
const (
	RoleEntry  = "entry"
	RoleTarget = "target"
)

// Instance is one row of the platform's instance list.
type Instance struct {
	ID       string        `json:"id"`
	Role     string        `json:"role"`
	Hall     string        `json:"hall"`
	Pool     string        `json:"pool,omitempty"`
	Address  string        `json:"address"`
	Streams  bool          `json:"streams,omitempty"`
	State    InstanceState `json:"state"`
	LastSeen time.Time     `json:"seen"` // when the instance was last reported to the list
}
