// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package catalog mirrors the platform's store in each process: the operators' table, the
// evacuated halls, and the targets, each with a revision and an age.
//
// # Model
//
// One process, the first reader, reads the store for all. It follows the table with watches
// that wait only briefly, so that a connection that was cut silently is noticed well within the
// time in which a change must be in force. It watches the targets in the same way; such a watch
// returns nothing while only heartbeats change their keys. Beside the watch it lists all targets
// every ten seconds, in case the watch missed a change. The other processes receive updates from peers
// (ApplyUpdate, ConfirmTable, ApplyPackedTable) and read the store themselves when the last
// update is too old: the second reader first, then all others. A new first reader watches from
// the revision up to which its peers have updated it, and lists all targets within ten seconds.
//
// In a large fleet the store can't serve readings by all. Where updates are late there, a process
// asks a peer for what it lacks (PullTable, PullTargets), then the store for the changes since its
// own revision, and lists all targets only in a turn that it has drawn at random.
// The same holds for a process that the store does not answer.
//
// Ages count from the moment at which the reading that confirmed the state began, by the
// monotonic clock.
//
// An update has the recent changes and a digest of all targets. A process that lacks an
// earlier change computes another digest, and asks the sender for the changes since its own
// revision. Its snapshot keeps its revision and age until then. If the sender does not know all
// removals since that revision, or the digests still differ, it sends the buckets of targets
// whose digests differ.
//
// A target that announces that it is leaving, in its key or in an answer to any gateway, gets
// no new requests in that incarnation. A target that goes missing gets no new requests
// either, unless many went missing in one reading. Such a loss counts as leases that expired
// because nobody could renew them: the targets stay usable, as lapsed, for the two seconds in
// which those that still run are listed again. That calls to the store failed before is not
// enough to treat a single missing target as lapsed: it may have left while this process could
// not reach the store.
//
// The evacuated halls are read and watched together with the table, in one call, and every
// update has all of them, as they are few. Targets of evacuated halls are not usable, and count
// as cold for a while after their hall is readmitted.
//
// # Invariants
//
//   - Revisions only rise: no store and no peer can restore an older table or an older list of
//     targets, and an older update cannot readmit a hall.
//   - Ages count from before the call that confirmed the state.
//   - Readers use one immutable snapshot and need no lock.
package catalog
