// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package routing chooses a target of a pool for each call, by this entry's own counts and
// measurements.
//
// # Model
//
// A Pool is an immutable list of *Target behind an atomic pointer. A refresh of the
// instance list makes a new list, which keeps the Targets that stay with their counters.
// The load of a target is the number of calls that this entry has in progress there over
// the target's capacity; it is known without delay. Of two targets drawn at random, the
// one with the lower product of load and expected latency gets the call. The expected
// latency follows the duration of successful calls and of those still in progress, so it
// reflects the load by other entries too. For engines, the target that a prompt's prefix
// hashes to is preferred while its load is not far above the mean.
//
// # Invariants
//
//   - A target that any source reports as leaving gets no new call.
//   - A target that failed several times in a row is ejected for a time, then gets one
//     call at a time as a probe until one succeeds. If no other target is usable, ejected
//     ones get calls all the same.
//   - Retries spend a budget to which every call adds a share, so failures cannot multiply
//     the load.
package routing
