// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package share holds fleet-wide limits of accounts: an owner's Grants lease
// units out, an entry's Allocations spend them.
//
// # Model
//
// The owner of an account (package view) keeps its token bucket and knows
// which entry holds how many units of its concurrency, each for LeaseTime. An
// entry asks for what it needs: one unit for a small account, a tenth of a
// second's worth for a busy one. So a small account can use its whole limit
// through any one entry, and unused units come back when their lease ends.
//
// Without its owner an entry falls back to an even share of the limit.
//
// # Invariants
//
//   - Units leased and not expired never exceed the limit, but for LeaseTime
//     after an account's owner has changed: then each entry keeps what it
//     holds, or gets an even share.
//   - Rate units are spent once and never returned.
package share
