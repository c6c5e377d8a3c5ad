// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package eras keeps answers of the platform's store in the order of its eras.
//
// # Model
//
// A store that comes back from an older copy tells a later era in all its answers. What
// was written since the copy is gone; counts of changes and numbers of leases are given
// out again. A Store passes calls on and knows the latest era that it has met. An
// answer of an earlier one is no answer: it was under way when the store came back, or
// comes from a part that has not come back yet. The same holds of an answer without an
// era once one was told, since nothing can be compared with it.
//
// The first era that a process meets is its own baseline. What follows from a later one
// is up to those who hold beliefs: their revisions have the era in them (hookhall.Revision),
// so that all that is read in it is newer than all that was read before.
//
// # Invariants
//
//   - Among the answers that are passed on eras only rise, apart from calls whose answers
//     overtake each other: their revisions tell.
//   - A lease of an earlier era is gone. It is neither renewed nor ended: its number may be
//     another process's.
package eras
