// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package tables distributes the operators' table of accounts, pipelines,
// classes and leaving targets: a Follower holds the current version in an entry, an
// Editor changes it for operators.
//
// # Model
//
// The key-value service stores the root under RootKey and each chunk under its
// own key. A Follower watches the root only and reads the chunks that it lacks. It
// also learns of newer versions from the heartbeats of its peers, and reads them
// from there, so that an accepted edit spreads even during an outage of the service.
//
// # Invariants
//
//   - The version of a Follower only grows; an older root, from a stale read or
//     from a lagging peer, is ignored.
//   - A Follower is ready only once the service has answered a read of the root
//     since the process started, or more than half of the asked peers have
//     answered.
//   - The Editor reports an edit as accepted only after the root holds it and one
//     entry in each reachable hall has it in force.
package tables
