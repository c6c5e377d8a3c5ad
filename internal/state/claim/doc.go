// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package claim is the state machine behind "at most once": who may run the
// request with a key, held in memory by an owner and a standby.
//
// # Model
//
// Keys fall into slots; each epoch's view gives a slot an owner and a standby
// (package view). A claim is granted at epoch e only by the owner of e, with
// the word of the standby of e, both being at e for that slot. Hence a member
// of the pair that has moved on from e holds every grant of e, and no further
// grant of e can come: its having moved on is the fence.
//
// A process may grant at e only when it is whole, that is when it holds all
// grants of all epochs before e. It keeps, for each slot,
//
//	through   it holds every grant of epochs up to and including through
//	layers    single later epochs of which it holds every grant
//
// and is whole when through reaches e-1. Layers come from its own service
// (when it moves on from e, and for every epoch that it skipped while being of
// the pair: without its word nothing was granted), from a Fetch of a member of
// that epoch's pair, and, when both of a pair are known to be gone, from
// waiting until every claim that they may have granted has expired.
//
// This is primary-backup under an outside master, as in vertical Paxos and
// chain replication; it keeps no log and elects nobody, and its records are
// soft state that dies with the processes.
//
// # Invariants
//
//   - A record's Sequence only grows, and only a whole owner adds to it: one that
//     has yet to fetch what was granted without it opens and settles nothing.
//   - What is written at an epoch has a higher Sequence than all of earlier epochs.
//     An owner may have written more for grants that it refused than the next one
//     has for one that it gave.
//   - A granted record is never replaced before it is released or expired.
//   - Time is used for the retention alone, and only by the local clock.
package claim
