// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package routing chooses a target for a call from what is known of a pool.
//
// # Model
//
// A Pool is an immutable list of *Target behind an atomic pointer; a refresh
// of the instance list makes a new list and keeps the Targets that stay, with
// their counters. The load of a target is what this entry has in progress
// there, known at once. Two targets are drawn at random and the one with the
// lower load, weighted by its pace, gets the call; the pace is how long answers
// have been taking, or have not come, and so tells of others' load as well. For engines, the target that a prompt's prefix hashes to goes
// first while its load is not far above the mean.
//
// # Invariants
//
//   - A target that any source calls leaving gets no new call.
//   - A target that failed several times in a row gets one call at a time
//     after a pause, until one succeeds.
//   - Retries spend a budget that calls earn, so failures cannot multiply load.
package routing
