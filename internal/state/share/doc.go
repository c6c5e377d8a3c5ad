// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package share enforces fleet-wide limits of client accounts: the Grants of an
// account's owner lease units to entries, and the Allocations of an entry spend them.
//
// # Model
//
// The owner of an account (package view) keeps the account's token bucket and records
// how many concurrency units each entry has leased, each lease lasting LeaseTime. An
// entry requests what it needs: one unit for an account with little traffic, a tenth
// of a second's demand for a busy one. An account with little traffic can thus use its
// entire limit through any one entry, and unused units return when their lease
// expires.
//
// While the owner does not answer, an entry allows an even share of the limit.
//
// # Invariants
//
//   - Units leased and not expired never exceed the limit, except for LeaseTime after
//     the owner of an account has changed: during that time each entry keeps what it
//     holds, or gets an even share.
//   - Rate units are spent once and never returned.
package share
