// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package hookhall defines the data types that the processes of the serving
// system exchange, and the interfaces behind which implementations vary.
//
// # Model
//
// A caller sends a Request on behalf of a client account. The entry process
// that receives it runs the request's pipeline: one StageCall per stage, each
// to one Target of the stage's pool. The output of a stage is the input of the
// next. The caller gets one Answer, or one Error that carries a Verdict.
//
// The Table decides which requests are admitted, in which order and with which
// limits. Operators edit it cell by cell. The processes agree on two documents
// only, the table and the View (the members of the fleet). Both are stored in
// the platform's KeyValue service, and their versions only increase.
//
// # Invariants
//
//   - A Verdict of NotRun needs evidence: the call was never sent, or its
//     target refused it with a documented code before running it. Every other
//     failure is MayHaveRun.
//   - A stage result that does not echo the identity of its call is discarded.
//   - A request that is not repeatable runs at most once within the claim
//     retention, whichever entries receive it.
//   - Within a process, versions of tables and epochs of views never decrease.
//
// Implementations are below internal/, in the layers transport, protocol,
// coordination and state; each imports only itself and those after it in this list.
package hookhall
