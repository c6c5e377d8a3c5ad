// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package balance chooses the target of a call.
//
// # Model
//
// A Tracker keeps one record per incarnation of a target: the calls of this process in
// progress there, the prompt tokens sent to it but not read yet, its average latency,
// its failures, and the prompt parts that it presumably still caches. A choice compares
// estimates of when each target would begin to answer.
//
// Engines cache the prompts that they have read. Processes agree on the engine for a
// shared prompt part without communication: rendezvous hashing of the part yields the
// same preferred engine in every process. Another engine is chosen when the preferred
// one is so busy that reading the part again elsewhere finishes earlier.
//
// The pace at which an engine reads is learned from the times between sending a prompt and
// the start of the answer, as far as the engine read nothing else meanwhile. An engine without
// such samples has the median pace of its service. The weights of the hashing follow the paces
// while these are uneven.
//
// An engine reads a prompt in chunks beside its running streams, whose events are delayed
// meanwhile. A choice that would make streams pause for longer than their routes allow costs as
// much as one that misses the latency target, for each such stream.
//
// What was observed of a target loses weight while it is idle, and a target without answers
// counts as fast as the fastest one: otherwise one that was slow, or came later, would get no
// call that shows its latency.
//
// # Invariants
//
//   - A target that is leaving, or that the caller has excluded, is not chosen.
//   - A full engine is not chosen while one of those compared has a free slot.
//   - A target that fails is ejected for a pause that grows with each failure. The
//     pause ends by itself, and the next call is the probe. If all targets are
//     ejected, the one whose pause ends first is chosen, so that a service always has
//     a target.
package balance
