// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package rollouts moves the requests of a service to another version when operators order
// a rollout.
//
// # Model
//
// Each process keeps the rollouts in force, which it learns from the store or from peers,
// and the phase of each. From the phase it derives which versions may get a request, and it
// counts the answers of the old and the new version. Several times a second it reports its
// totals to the owner of each rollout, one process chosen by rendezvous hashing, and the
// reply carries the phase. The owner adds up the latest report of each process, decides the
// next phase (package state/rollout), and writes the status to the store. A new owner
// starts from the next reports and from the status in the store.
//
// # Invariants
//
//   - A process that does not know the phase of a rollout sends nothing to the new version,
//     unless there is no other.
//   - The store decides a final state: it is written under a condition, and an owner that
//     finds another state there adopts it.
//   - A report carries totals, not increments, so that a lost or duplicate report changes
//     nothing.
package rollouts
