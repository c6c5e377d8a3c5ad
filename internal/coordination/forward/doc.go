// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package forward passes requests on: it finds the route, has the stages made,
// chooses the target, sends, judges the answer, and decides whether to try
// again.
//
// # Model
//
// A request is served by the table that was in force when it came. Its clock is
// the smaller of what the client waits and what the route allows; when that has
// run out it gets its final answer. A request is sent to one target; only proof
// that it has not run allows another send of one that may run once. One that may
// be repeated is tried elsewhere after any failure, within the route's attempts
// and the retry budget.
//
// The results of stages are released as soon as the target should have read them,
// which is learned, and made again if it had not or if the request goes on
// elsewhere.
//
// Answers of plain requests are read whole before a byte goes to the client, so
// that a cut one can be tried again. Streams go on event by event; on a
// resumable route a stream that broke goes on at another target after the last
// whole event, within the same answer.
//
// # Invariants
//
//   - An answer is the target's own only if it echoes the request's id, and a
//     success only if it bears the target's signature and came to its end.
//   - A refusal as not run is sent only if nothing was sent, or every target
//     that got the request proved that it did not run it.
//   - A stream's answer ends cleanly only if a target's did.
package forward
