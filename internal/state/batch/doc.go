// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package batch is the queue of one stage pool: which pieces go into the next
// call, and to which target.
//
// # Model
//
// A Job is one stage of one request with its pieces. A Queue holds the jobs
// that wait for one service and a worker for each of the pool's targets: the
// calls at work there, the bytes that results take up, and the time until
// which it is left alone. Next takes the most urgent pieces that a target has
// room for; Done takes in the answers. A pool works through calls whose cost is
// mostly fixed, so that a call should be full, and a target should never wait
// while anything is queued.
//
// The order: jobs that can still make their aim go before those that can't;
// among the first, by the latest start that makes the aim, moved by the
// urgency; among the others by urgency, then by deadline. So a job that has
// missed its aim takes only what the others leave, and is still served.
//
// # Invariants
//
//   - A piece is in at most one call at a time, unless a call takes much longer
//     than it should: then others are asked as well, and the first result counts.
//   - The bytes counted at a worker are those of calls at work there and of
//     results that nobody has released, until the pool drops them itself.
//   - A job is finished once: with all its handles, or with one reason.
package batch
