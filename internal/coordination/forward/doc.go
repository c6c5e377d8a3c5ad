// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package forward answers requests: it finds the route, runs the stages, chooses a target,
// sends the request, checks the answer, and decides whether to retry.
//
// # Model
//
// A request uses the route table that was in force when it arrived. Its deadline is the
// smaller of the client's timeout and the route's; when it has passed, the request gets its
// final answer. An attempt sends the request to one target. A request that may run only once
// is sent again only if the attempt is proven not to have run. A repeatable request is
// retried at another target after any failure, within the route's attempts and the retry
// budget.
//
// Before the first stage, and between two stages, an Admission estimates by the reports of the
// stage pools when the request would be answered. A request that can't be in time is refused,
// or goes behind the others; one that can't meet its deadline any more ends at once.
//
// The results of stages are released as soon as the target should have read them, after a time
// that is estimated from earlier attempts. The stages run again if the target had not read the
// results, or if the request is sent to a further target after the release.
//
// Answers of plain requests are read completely before a byte is sent to the client, so that
// a truncated answer can be retried; answers larger than the memory limit are passed on
// after their first part. Streams are passed on event by event. On a resumable route a broken
// stream continues at another target after the last complete event, within the same answer.
//
// # Invariants
//
//   - An answer is accepted only if it echoes the request's id, and as a success only if it
//     has the target's signature and is complete.
//   - An error with the verdict not-run is returned only if nothing was sent, or if each
//     target that received the request proved that it did not run it.
//   - A stream's answer ends cleanly only if a target's answer did, at the end of an event. That the
//     target ended its answer in order is not enough, whatever the framing.
package forward
