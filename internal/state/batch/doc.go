// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package batch implements the queue of one stage pool. It chooses which pieces go
// into the next call, and to which target.
//
// # Model
//
// A Job is one stage of one request, with its pieces. A Queue holds the jobs that
// wait for one service, and a worker for each of the pool's targets: its calls in
// progress, the bytes that its results occupy, and the time until which it gets no
// calls. Next selects the most urgent pieces that fit into a target's memory; Done
// records the results of a call. The cost of a call is mostly fixed, so calls should be
// full, and no target should be idle while pieces wait.
//
// Jobs that can still meet their latency target come before those that can't. The
// former are ordered by their latest start, shifted by the urgency of the request; the
// latter by urgency, then by deadline. So a job that has missed its latency target uses
// only the remaining capacity, and is still served.
//
// # Overload
//
// While jobs are late, or not all of the others can start in time at the pool's rate, the
// queue defers as many of the least urgent ones as necessary, by urgency, client account
// and size. Deferred and late jobs go behind those in time, by urgency. While jobs are
// deferred, they and the late ones have a minimum share of the pieces. If all waiting pieces
// fit into the calls of a dispatch, they go in the normal order.
//
// # Invariants
//
//   - A piece is in at most one call at a time, unless a call takes much longer than
//     expected: then the piece is offered to other targets as well, and the first
//     result counts.
//   - The bytes counted for a worker are those of its calls in progress and of the
//     results that have been neither released nor dropped by the pool on expiry.
//   - A job finishes once: with all its handles, or with one failure reason.
package batch
