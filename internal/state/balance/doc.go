// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package balance chooses the target of a call.
//
// # Model
//
// A Tracker has a record of every target that this process has sent to: calls in
// progress, prompt tokens that it was sent and has not read yet, the pace of
// its answers, failures, and the prompt parts that it should hold. A choice
// compares estimates of when each target would begin to answer.
//
// Engines keep the prompts that they have read. Which one holds a shared part
// is agreed without a word: rendezvous hashing of the part gives every process
// the same first engine. Another one is taken when the first is so busy that
// reading the part anew there is earlier.
//
// # Invariants
//
//   - A target that is leaving, or that the caller has excluded, is not chosen.
//   - A target that fails is left out for a pause that grows; the pause ends by
//     itself, and the next call is its probe. If all targets are left out, the
//     one whose pause ends first is chosen, so that a service always has one.
package balance
