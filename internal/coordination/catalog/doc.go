// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package catalog holds what a process believes of the platform's store: the
// operators' table and the targets, each with a revision and an age.
//
// # Model
//
// The table is followed by short waiting watches, so that a silent cut is
// noticed well inside the bound of a change. Targets write their heartbeats into
// the store many times a second, so they are read now and then, and the other
// processes' readings are taken in as they come (Learn): what counts is the
// moment at which the reading that confirmed them began, by the steady clock.
//
// A target that states that it is leaving gets nothing new, ever. One that goes
// missing gets nothing new, unless many went missing in one reading: then keys
// have run out because nobody could renew them, and the targets stay usable, as
// lapsed, for some heartbeats to come back. Trouble of the store alone says
// nothing of one target: a process that was cut off for a while finds a target
// gone that left in the meantime.
//
// # Invariants
//
//   - Revisions only rise: neither the store nor a peer brings an older table or
//     an older list of targets back.
//   - An age is counted from before the call that confirmed it.
//   - Readers take one immutable picture and need no lock.
package catalog
