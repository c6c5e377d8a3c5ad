// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package catalog holds what a process believes of the platform's store: the
// operators' table and the targets, each with a revision and an age.
//
// # Model
//
// One process, the first reader, reads for all: it follows the table by short
// waiting watches, so that a silent cut is noticed well inside the bound of a
// change. It follows the targets in the same way, and reads all of them every ten
// seconds: a watch is silent while heartbeats alone change their keys. The others are told what changed (News, ConfirmTable,
// LearnPacked) and read for themselves when what they were told has grown old:
// the second reader first, then everybody. A first reader that takes over watches from the
// revision up to which its peers have updated it, and lists everything within ten seconds. What counts is the moment at which
// the reading that confirmed a belief began, by the steady clock.
//
// News names what changed lately, and a digest of everything: a process that
// lacks an earlier change gets another digest, and asks the teller for the buckets
// of targets in which their digests differ.
//
// A target that states that it is leaving, in its key or in an answer to any gateway, gets
// nothing new in that life, ever. One that goes
// missing gets nothing new, unless many went missing in one reading: then keys
// have run out because nobody could renew them, and the targets stay usable, as
// lapsed, for the two seconds in which they come back if they live. Trouble of the store alone says
// nothing of one target: a process that was cut off for a while finds a target
// gone that left in the meantime.
//
// Halls that operators have evacuated are read and watched with the table, one
// call for both, and told whole with each piece of news: they are few. Their
// targets are left out of what may get work, and are used as cold ones for a while
// when their hall is taken back.
//
// # Invariants
//
//   - Revisions only rise: neither the store nor a peer brings an older table or
//     an older list of targets back, nor does old news take a hall back.
//   - An age is counted from before the call that confirmed it.
//   - Readers take one immutable picture and need no lock.
package catalog
