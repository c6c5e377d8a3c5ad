// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps requests from targets that end when they run them.
//
// # Model
//
// A send whose answer breaks off is only a suspicion: answers get lost for many
// reasons. So the target is asked for a new connection. If its address refuses that, or
// the store lists another life of it soon, its process has ended, and the End is entered
// in the ledger and told to all gateways at once. All of them hold the same ledger and
// judge by it alone. What one of them was not told is repaired with the next news, whose
// sum of the ledger differs then.
//
// A content that is refused is also written to the platform's store, under a lease as
// long as the ledger keeps it, by the gateway that reads the store for all: if all
// gateways end at once, they know it again when they start.
//
// # Invariants
//
//   - Nothing here delays a request: probes, news and writes run beside it.
//   - Without the store, and without peers, a gateway judges by what it saw itself.
package quarantine
