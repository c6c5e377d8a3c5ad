// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package claim implements at-most-once execution of keyed requests: it records,
// in the memory of an owner and of a standby, which process may run the request
// with a key. It does no I/O; its callers carry records between processes.
//
// # Model
//
// Keys hash to slots; the view of each epoch assigns a slot an owner and a
// standby, the slot's pair (package view). Only the owner of epoch e grants a
// claim at e, after the standby of e has stored the record, and both must be at e
// for that slot. Hence a member of the pair that has advanced past e holds every
// grant of e, and no further grant of e can follow: its advance is the fence.
//
// A process may grant at e only when its records of the slot are complete, that
// is, when it holds all grants of all epochs before e. For each slot it tracks
//
//	completeThrough  it holds every grant of epochs up to and including this one
//	completeEpochs   single later epochs of which it holds every grant
//
// and is complete when completeThrough reaches e-1. An epoch becomes complete in
// one of three ways: the process served it (it was a member of the pair and
// advanced, or skipped the epoch, in which case nothing was granted without it); it
// fetched the records of a member of that epoch's pair; or, when both members of the
// pair are known to have ended, it waited until every claim that they may have granted
// has expired.
//
// This is primary-backup replication under an external configuration master, as in
// Vertical Paxos and chain replication. There is no log and no election; the
// records are soft state and end with the processes.
//
// # Invariants
//
//   - A record's Sequence only grows, and only an owner whose records are complete
//     writes: an owner that has yet to fetch what was granted without it opens and
//     settles nothing.
//   - A record written at an epoch has a higher Sequence than those of all earlier
//     epochs. Without this rule, an owner that refused several grants could hold a
//     higher Sequence than the grant that the next owner gave.
//   - A granted record is never replaced before it is released or expires.
//   - Time is used only for the retention, and only from the local clock.
package claim
