// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package stages makes the work that a request needs before it may run.
//
// # Model
//
// A stage pool works through calls of many pieces whose cost is mostly fixed, so
// that the pieces of all requests of the fleet should share calls. One gateway,
// the broker, holds the queue of a service; it is found by rendezvous hashing
// over the members. A Runner walks a request's graph of stages and asks the
// broker of each stage's service; when that one does not answer, the next
// member is the broker. Two brokers of one service at once, for the
// moments in which processes disagree on the members, cost some room and time: a
// piece may be made more than once.
//
// Results lie at the targets that made them, which have little room for them, and
// are released as soon as nothing needs them: those of inner stages after their
// readers, the last ones by the request's owner. While work waits for their room,
// inner results go as soon as the calls that read them have had the time to: a
// piece that fails after that has the request's stages made from the start. A stage that no chain waits
// for begins as late as its siblings allow, so that its results don't take up
// room while the others are made.
//
// # Invariants
//
//   - A stage begins only after all pieces of all stages it reads were made.
//   - A result is read by its own request only: handles come back by request,
//     stage and piece.
//   - Every handle is released by whoever holds it when the request ends.
package stages
