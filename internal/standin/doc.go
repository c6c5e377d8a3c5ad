// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package standin has thin stand-ins of what hookhall works with: the
// platform's key-value service and instance list, and targets. They exist for
// tests, experiments and the demo.
//
// # Model
//
// Each stand-in is an http.Handler with its published interface, and below
// /standin/ its fault switches, counters and ledger. A target really takes its
// time: calls wait for one of its slots by priority, and run for as long as
// its settings say. What it answers is a function of stage and input alone
// (Transform), so that a load tool can compute what a request's answer must be.
//
// # Invariants
//
//   - The ledger has a line for every call that began to run, written before
//     its effect could be seen by anyone.
//   - Faults are off until switched on, and say in words what they do.
package standin
