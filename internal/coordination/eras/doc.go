// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package eras drops answers of the platform's store that belong to an earlier era.
//
// # Model
//
// A store that was restored from an older copy reports a later era in all its answers.
// Whatever was written after the copy is gone, and revision counts and lease numbers are
// assigned again. A Store passes calls on to another store and keeps the latest era that it
// has received. An answer of an earlier era is an error: it was under way when the store was
// restored, or comes from a replica that is not restored yet. Once an era was received, an
// answer without an era is an error, too, since it can't be compared with the others.
//
// The first era that a process receives is its baseline. A later era needs no action of the
// Store: revisions include the era (hookhall.Revision), so everything that is read in a later
// era has a greater revision than everything that was read before.
//
// # Invariants
//
//   - The eras of the answers that are passed on never decrease, except when concurrent calls
//     return out of order; their revisions show the order.
//   - A lease of an earlier era is gone. It is neither renewed nor revoked, since its number
//     may have been assigned to another process.
package eras
