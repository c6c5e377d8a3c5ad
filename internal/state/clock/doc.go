// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package clock provides a clock for ages and deadlines that includes the time during
// which the instance was suspended.
//
// # Model
//
// An instance may be suspended for seconds. The monotonic clock, which Go's time and
// timers use, stops meanwhile: state cached just before the suspension would look fresh
// after it. CLOCK_BOOTTIME continues. So the difference of the two clocks is checked
// often, and its growth is added to the monotonic clock.
//
// Timers that run during a suspension fire late by its duration. WithDeadline corrects
// this for contexts; code that waits for a timer also waits for the channel of Resumed.
//
// # Invariants
//
//   - Times of this clock are compared only with times of this clock, and converted to
//     timers only by Until. Nothing depends on the time of day.
//   - The clock never goes backwards.
//   - While WatchSuspensions runs, a suspension is detected within watchInterval of its
//     end. DetectSuspension detects it at once; callers use it before they rely on cached
//     state, such as for each request.
package clock
