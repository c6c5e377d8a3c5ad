// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package reach decides by which path a process connects to targets: directly, or through
// another gateway, a relay.
//
// # Model
//
// A failed connection shows only that this process can't reach a target. Whether the target is
// down, or the path of this process is broken, takes a second observer: a relay that tries
// the same target. A Table therefore distinguishes three findings. A target without a record is
// reachable. One that failed here and that a relay reached has a detour: requests use relays.
// One that neither this process nor relays reach is down, and fails as it would without relays.
//
// A process is suspected to be isolated once several targets in a row have a detour and no target
// has shown itself on a direct connection meanwhile. Whether it is takes a look at further targets,
// since a part of them may be cut off; Isolate records that. It then uses relays for all targets. Probes, which carry no request,
// end a detour or an isolation; an isolation that returns soon takes more of them to end.
//
// A connection that breaks says less than one that can't be opened. Breaks counts the targets
// whose connections broke with no answer from any target in between: many at a time are a
// fault of this process's path.
//
// Relays ranks the peers that may be asked to relay.
//
// # Invariants
//
//   - One observer's failure alone never detours a target, and never isolates the process.
//   - A detour and an isolation end only after a direct connection was opened, or when no
//     request has used them for unusedLifetime.
package reach
