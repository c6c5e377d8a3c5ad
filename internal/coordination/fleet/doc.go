// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleet is membership: which entries there are, and who finds out when
// one is gone.
//
// # Model
//
// The view lives under one key of the key-value service. An entry that is
// ready adds itself by compare-and-swap; one that stops takes itself out. Each
// member sends a heartbeat to its Successors next members on a ring ordered by
// hash, so the work per member does not grow with the fleet. A member that
// does not answer for a while is asked for by two others; if they can't reach
// it either, whoever noticed takes it out of the view. Heartbeats carry epochs
// and table versions, so news spreads while the service is away.
//
// Taken out on such evidence, a member counts as unfenced: it may still run
// behind a cut. It stays unfenced until the platform's list no longer has its
// instance, or a newer incarnation of that instance joins. Package claim
// forgets no claims of an unfenced member's.
//
// # Invariants
//
//   - A process's epoch only grows.
//   - No lease and no clock of another process takes part in any of this.
package fleet
