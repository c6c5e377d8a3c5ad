// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package crashes identifies requests by their content and by the parts that they share
// with others, and records which targets crashed while they ran them.
//
// # Model
//
// A request may crash every target that runs it, and be sent again with another ID and
// through any gateway. So crashes are counted by content: client account, host, path
// with query, and body, identified by a Digest. A Ledger holds one record for each
// incarnation of a target that crashed while it ran a content. A content with crashes of
// enough incarnations is refused. A complete response of a target to a content clears all
// its crashes so far, so that contents that only ran at the same time as a faulty one, or
// on targets that crashed for other reasons, are not refused.
//
// What crashes targets may also be a part of unlike requests: a part of their prompts, or the
// key of their pieces. Parts has a second Ledger, with a crash for each part of a request, and
// finds the likely causes among parts that were present at the same crashes.
//
// Ledgers of several processes are merged by union, and a cleared crash stays cleared.
// So reports may arrive in any order, more than once and through other processes, and
// the ledgers still become equal, which Ledger.Checksum shows.
//
// # Invariants
//
//   - A content is refused only with uncleared crashes of at least Limits.MinCrashes
//     incarnations.
//   - A part is refused for an account only after a crash under a request of that account, or
//     under those of two others, and only together with the parts that it can't be told from.
//   - A crash counts for Limits.Retention at most, from its first report.
//   - The number of contents in a ledger is bounded, and no account can use the capacity
//     of others.
//   - Readers get an immutable status and need no lock.
package crashes
