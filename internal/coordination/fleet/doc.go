// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package fleet maintains the membership of the entries: it joins and leaves the
// view, detects members that have failed, and fetches the claims that a change of
// the view assigns to this process.
//
// # Model
//
// The view is stored under one key of the key-value service. An entry that is
// ready adds itself by compare-and-swap; one that stops removes itself. Each
// member sends heartbeats to the SuccessorCount next members on a ring ordered by
// hash, so the work per member does not grow with the fleet. When a member has
// missed several heartbeats in a row, the sender asks other members to probe it, until one
// reaches it or two have answered; if none reaches it, the sender removes it from the
// view. If too few answer, the sender may be the one that is cut off, and waits longer
// before it removes a member. Heartbeats carry epochs and table versions, so updates
// spread while the key-value service is unavailable.
//
// A member that was removed on such evidence is unfenced: it may still run on
// the other side of a network partition. It stays unfenced until the platform's
// instance list lacks its instance, or a newer incarnation of that instance
// joins. Package claim discards no claim that an unfenced member may have granted.
//
// # Invariants
//
//   - A process's epoch only grows.
//   - Membership uses no leases and no clock of another process.
package fleet
