// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package standin implements test doubles of the services that hookhall depends
// on: the platform's key-value service, its instance list, and targets. They are
// used by tests, experiments and the demo, never in production.
//
// # Model
//
// Each stand-in is an http.Handler that serves the interface of the real service
// and, below /standin/, its fault switches, counters and ledger. Calls to a target
// take real time: they wait for one of its slots in order of priority and hold it
// for the time set in TargetSettings. The answer depends on stage and input alone
// (see Transform), so that a load tool can compute the expected answer.
//
// # Invariants
//
//   - The ledger has an entry for every call that began to run, appended before
//     any effect of the call is visible.
//   - All faults are off until they are switched on.
package standin
