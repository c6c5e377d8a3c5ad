// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package crashes knows requests by their content, and which targets ended while
// they ran them.
//
// # Model
//
// A request may end each target that runs it, and come again under another id, at
// any gateway. So what counts is its content: account, host, path and body, named by
// a Digest. A Ledger holds an End for each life of a target that ended while it ran a
// content. A content with ends at enough lives is refused. A whole answer of a target
// to a content clears all its ends so far: what ran beside a guilty request, or while
// targets ended for other reasons, is served by the next target.
//
// Ledgers of several processes are merged by union. An End that was cleared stays
// cleared. So they may learn the same in any order, twice or over detours, and get to
// equal ledgers, which Sum shows.
//
// # Invariants
//
//   - A content is refused only with ends at Limits.Ends lives, none of them cleared.
//   - An End counts for Limits.Keep at most, from the first report of it.
//   - A ledger has a bounded number of contents, and no account can take the room of
//     others.
//   - Readers take an immutable Standing and need no lock.
package crashes
