// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package placement chooses the targets of requests for the whole fleet: engines, cold targets
// and targets with a rate limit.
//
// # Model
//
// An engine that reads a long prompt delays everything that runs beside it, and its own
// load report is old when it arrives. Each gateway sees a part of the load only. One
// gateway, the placement owner of a service, therefore chooses for all; it is found by
// rendezvous hashing over the members. A gateway asks it for an engine for each request,
// and reports in notes when the answer began, ended or failed. Notes are batched for 5 ms.
// A failure that one gateway reports thus counts in the choices for all. From the times in the
// notes, the placement owner learns how fast each engine reads.
//
// A cold target may get a few requests a second from the whole fleet. The placement owner
// counts the requests that it places there; gateways that choose themselves have a small
// share, divided so that all of them together stay within the limit.
//
// Targets that set a rate limit get their requests through the placement owner only, which
// grants that rate to the whole fleet. A request that has to wait gets a reservation, or
// the time after which a target accepts another request.
//
// If the placement owner does not answer at once, a gateway chooses by the load that it sees
// itself. A new placement owner begins without recorded load and learns it within a second.
//
// # Invariants
//
//   - A placement is advice: no request needs one to be served, and a wrong one costs time
//     only.
//   - A placement whose notes are lost is dropped after a limited time.
package placement
