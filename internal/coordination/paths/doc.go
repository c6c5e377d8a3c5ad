// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package paths opens connections to targets: directly, or through a peer that relays the bytes if
// this process can't reach the target and the peer can.
//
// # Model
//
// A relayed connection carries the bytes of one exchange, unchanged. The process that opened it
// stays the one that chose the target and answers for deadlines, retries, limits and the
// verdict; the relay only connects and copies. A relay connects directly, never through another
// relay.
//
// A direct attempt that fails, or has no answer after hedgeDelay, is followed by one through a
// relay. Package reach decides from the outcomes which targets have a detour, and when this process
// may be isolated, which further targets then confirm. Requests use relays at once for targets with
// a detour, and for all while isolated; probes find out when the direct path works again.
//
// Relayer is the other side: it admits relayed connections up to a number that leaves room for
// the process's own work, fewer of the less urgent ones.
//
// # Invariants
//
//   - Without a failed or slow direct attempt, no relay is asked.
//   - An error of Connect means that no byte of a request was sent.
package paths
