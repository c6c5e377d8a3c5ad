// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Target is one back end as the instance list and the table name it.
type Target struct {
	ID      string `json:"id"`
	Pool    string `json:"pool"`
	Hall    string `json:"hall"`
	Address string `json:"address"`
	// Streams is set for engines, whose answers come chunk by chunk.
	Streams bool `json:"streams"`
	// Leaving is set by the list, by the target itself, by its refusal or by
	// the operator's cell; the first to say so wins.
	Leaving bool `json:"leaving"`
	// Version is that of the target's software, "" when it doesn't say.
	Version string `json:"version,omitempty"`
	// Slots is how many calls it works on at once, 0 when it doesn't say.
	Slots int `json:"slots,omitempty"`
	// Born tells the lives of a target apart that starts again under its id: the Unix
	// millisecond of its start by its own clock, 0 when it doesn't say. A target knows
	// nothing of its earlier lives.
	Born int64 `json:"born,omitempty"`
	// Beat counts the target's own heartbeats, 0 when it has none.
	Beat uint64 `json:"beat,omitempty"`
	// ColdLeft is for how long the target stayed cold when it last wrote, by its
	// own word: it works, but falls over under more than its service's ColdRate.
	ColdLeft time.Duration `json:"cold_left,omitempty"`
	// ColdUntil is until when this process holds it to be cold, by this process's
	// steady clock; zero for a target that is warm. It never travels.
	ColdUntil time.Time `json:"-"`
}

// Cold tells whether the target is held to be cold at a time.
func (t Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Life is one life of a target, from the start of its process to its end. What is
// believed of a target by its id holds for one life: another one knows nothing of what
// the target held, did or said before.
type Life struct {
	ID   string
	Born int64
}

// Life is the target's present one. Two lives of an id differ in their start; which came
// later is told by the revision of the store at which each was listed, since the clocks
// of targets jump.
func (t Target) Life() Life { return Life{t.ID, t.Born} }

// Software is what the target runs: its service and the version of that.
func (t Target) Software() string { return t.Pool + " " + t.Version }

// LoadReport is what a target says of itself, late.
type LoadReport struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Capacity int  `json:"capacity"`
	Leaving  bool `json:"leaving"`
}

// InstanceState is what the platform knows of an instance.
type InstanceState string

// The states of the platform's list. An instance that is not listed is gone.
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
	ID      string        `json:"id"`
	Role    string        `json:"role"`
	Hall    string        `json:"hall"`
	Pool    string        `json:"pool,omitempty"`
	Address string        `json:"address"`
	Streams bool          `json:"streams,omitempty"`
	State   InstanceState `json:"state"`
	Seen    time.Time     `json:"seen"`
}
