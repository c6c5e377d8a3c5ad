// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package quarantine keeps requests away from targets that crash when they run them.
//
// # Model
//
// An attempt whose answer breaks off only raises a suspicion, since answers get lost for
// many reasons. So the target is asked for a new connection. If its address refuses that, or
// the store lists another incarnation of the target soon after, its process has crashed, and
// the crash is entered in the ledger and broadcast to all gateways at once. All of them hold
// the same ledger and decide by it alone. A gateway that missed a broadcast is repaired with
// the next update, since the checksum of its ledger differs then.
//
// The gateway that reads the store for all also writes each refused content to the
// platform's store, under a lease as long as the ledger keeps a crash: if all gateways crash
// at once, they read it again when they start.
//
// A request that broke off counts with its whole content and with each part that others may
// share. A complete answer shows that neither is the cause; one that merely ended with its
// connection does so once its target was found alive.
//
// # Invariants
//
//   - Nothing here delays a request: probes, broadcasts and writes run beside it. Only the
//     retry of a stage call waits for one probe.
//   - Without the store and without peers, a gateway decides by the crashes that it has
//     found itself.
package quarantine
