// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// UrgencyLevels is the number of levels in a PoolLoad; the last one includes all less
// urgent requests.
const UrgencyLevels = 8

// UrgencyLevel returns the level of an urgency in a PoolLoad.
func UrgencyLevel(urgency int) int { return min(max(urgency, 0), UrgencyLevels-1) }

// PoolLoad is the work of one stage pool as its broker reports it.
type PoolLoad struct {
	Service string
	// Waiting is the number of pieces that are in no call, by urgency level. Late work, which
	// goes behind all work in time, is in the last level.
	Waiting [UrgencyLevels]int
	// Arriving is the number of pieces per second that were submitted, averaged over about
	// a second, by urgency level.
	Arriving [UrgencyLevels]float64
	// Upcoming is the work for other pools that follows the broker's waiting and running
	// jobs.
	Upcoming []UpcomingWork
	// Rate is how many pieces per second the usable targets make in full calls, at their
	// measured pace; 0 if it is not known.
	Rate float64
	// MeasuredAt is by package clock of this process.
	MeasuredAt time.Time
}

// UpcomingWork is work that will be submitted to another pool.
type UpcomingWork struct {
	Service string
	Pieces  [UrgencyLevels]int // by urgency level
}

// UpcomingStage is a stage of a request that follows one that was submitted.
type UpcomingStage struct {
	Service string
	Pieces  int
}

// HeldResult is a result that occupies memory of the target that made it.
type HeldResult struct {
	Handle string
	Bytes  float64 // approximate size
	// Remaining is the time until the target drops it.
	Remaining time.Duration
}
