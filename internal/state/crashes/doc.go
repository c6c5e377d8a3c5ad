// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package crashes identifies requests by their content, and records which targets
// crashed while they ran a request content.
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
// Ledgers of several processes are merged by union, and a cleared crash stays cleared.
// So reports may arrive in any order, more than once and through other processes, and
// the ledgers still become equal, which Ledger.Checksum shows.
//
// # Invariants
//
//   - A content is refused only with uncleared crashes of at least Limits.MinCrashes
//     incarnations.
//   - A crash counts for Limits.Retention at most, from its first report.
//   - The number of contents in a ledger is bounded, and no account can use the capacity
//     of others.
//   - Readers get an immutable status and need no lock.
package crashes
