// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package rollouts carries out operators' orders to move a service to another version.
//
// # Model
//
// Each process knows the orders, from the store or from the news of others, and how far
// each has come. By that it says which versions may run a request, and counts what the
// answers show. Several times a second it tells all that it has counted to the order's
// owner, one process found by rendezvous hashing, and is told the phase in return. The
// owner adds the latest word of each process up, decides (package state/rollout), and
// writes the state to the store. A successor begins with what the others tell it next,
// and with the state in the store.
//
// # Invariants
//
//   - A process that does not know how far an order has come sends nothing to the new
//     version, unless there is no other.
//   - A final state is decided by the store: it is written under a condition, and whoever
//     finds another one there takes that over.
//   - What a process tells is all that it has counted, so that a word that is lost or
//     comes twice changes nothing.
package rollouts
