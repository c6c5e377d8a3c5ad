// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package hookhall holds the vocabulary of the serving system: the plain data
// that its processes exchange and the interfaces of everything that varies.
//
// # Model
//
// A caller sends a Request on behalf of a client account. The entry process
// that receives it runs the request's pipeline: one StageCall per stage, each
// to one Target of the stage's pool, the output of a stage being the input of
// the next. The caller gets one Answer, or one Error that carries a Verdict.
//
// What is admitted, in what order and with what limits is decided by the
// Table, which operators edit cell by cell. The table and the View (the
// members of the fleet) are the only things that are agreed on; both live in
// the platform's KeyValue service and only ever move forward.
//
// # Invariants
//
//   - A Verdict of NotRun rests on evidence: the call was never sent, or its
//     target refused it by a documented code before running it. Everything
//     else that failed is MayHaveRun.
//   - A stage result that does not echo its call's identity is dropped.
//   - A request marked not repeatable runs at most once within the claim
//     retention, whichever entries receive it.
//   - Versions of tables and epochs of views never go backwards in a process.
//
// Implementations live below internal/, in layers whose imports go downward
// only: transport, protocol, coordination, state.
package hookhall
