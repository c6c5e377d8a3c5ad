// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package tables keeps the operators' table in force: the Keeper follows it in
// an entry, the Editor changes it for operators.
//
// # Model
//
// The key-value service holds the root under RootKey and each chunk under its
// own key. A Keeper waits on the root alone (one watch), reads the chunks that
// it lacks, and learns of newer versions from its peers' heartbeats too, so
// that an accepted edit spreads while the service is away.
//
// # Invariants
//
//   - A Keeper's version only grows; an older root, from a stale read or a
//     peer that is behind, is ignored.
//   - A Keeper is ready only with a version that the service has confirmed
//     since its start, or that more than half of its peers have been asked for.
//   - The Editor says "accepted" only after the root holds the edit and an
//     entry in each hall that can be reached has it in force.
package tables
