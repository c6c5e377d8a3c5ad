// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package members tells which gateways there are.
//
// # Model
//
// Each process keeps a key under a lease in the platform's store. Two of them
// follow the keys of all by waiting watches and tell the others what changed, as
// they tell what changed of the targets; who is told nothing for some seconds, or
// finds by the digest that it has missed something, reads for itself. A peer that
// does not answer is left out for a while, whatever the store says.
//
// # Invariants
//
//   - Membership only divides work. A wrong list costs time, never a promise:
//     nothing may rest on two processes having the same one.
//   - This process is always in its own list, unless it stops.
package members
