// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package clock is the clock by which ages and deadlines count.
//
// # Model
//
// An instance may be suspended for seconds. The steady clock, by which Go's time and its
// timers run, stands meanwhile: what was believed a moment before the suspension would be
// a moment old after it. CLOCK_BOOTTIME goes on. So the difference of the two is looked at
// often, and whatever it has grown by is added to the steady clock.
//
// Timers that run while an instance is suspended end late by that time. Those that matter
// are told of the end of a suspension: contexts by WithDeadline, and pauses by Woken.
//
// # Invariants
//
//   - Times of this clock are compared with times of this clock only, and become timers by
//     Until alone. The time of day decides nothing.
//   - It never goes back.
//   - A suspension is noticed within watchEvery of its end, and before the next request.
package clock
