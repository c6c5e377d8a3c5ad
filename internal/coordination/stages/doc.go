// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package stages runs the stages of a pipeline whose results a request reads.
//
// # Model
//
// A stage pool processes calls of many pieces. The cost of a call is mostly fixed,
// so the pieces of all requests of the fleet should share calls. One gateway, the
// broker of a service, therefore holds the queue of that service; it is chosen by
// rendezvous hashing over the members. A Runner executes a request's graph of stages
// and sends each stage to the broker of its service. If that broker does not answer,
// the next member acts as broker. While processes disagree on the members, a service
// may have two brokers. This costs some memory and time only: a piece may be made more
// than once.
//
// Results are stored at the targets that made them, which have little memory for them.
// They are freed as soon as nothing needs them: those of inner stages after the stages
// that read them, those of the last stages by the owner of the request. While work
// waits for their memory, inner results are freed earlier, as soon as the calls that
// read them have had the time to. If a piece fails after that, all stages of the
// request are run again. Results to free are collected for freeInterval, as a broker would
// get a call for each stage otherwise. A stage that no chain of stages waits for begins as late as
// the stages beside it allow, so that its results don't occupy memory meanwhile.
//
// All calls of a process at one broker share a monitor, which pings the broker while there
// are any and ends them once it does not answer. Replies of a broker to stages and pings
// carry the loads of its pools, which Runner.Loads returns to the admission of requests.
// They may be lost, and a broker may send none.
//
// # Invariants
//
//   - A stage begins only after all pieces of all stages that it reads were made.
//   - A result is read by its own request only: handles are returned by request,
//     stage and piece.
//   - A load report is used for at most maxLoadAge, and only if it is of the present broker.
//   - Every result is freed when its request ends, if it was not freed earlier.
package stages
