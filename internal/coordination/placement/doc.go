// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package placement chooses engines for the whole fleet.
//
// # Model
//
// An engine that reads a long prompt holds up everything that runs beside it,
// and its own report is old when it comes. Each gateway alone sees a part of the
// load only. So one gateway, the placer of a service, found by rendezvous
// hashing over the members, chooses for all: a request asks it for an engine
// and tells it, in notes that are gathered for some milliseconds, when its answer
// began, ended or failed. What the placer knows of failures serves everybody.
//
// Engines that are cold bear a few requests a second from the whole fleet. The
// placer holds the one account of these; gateways that choose by themselves have a
// small share, divided so that all of them together stay within the bound.
//
// Targets that name a rate limit get their requests through the placer only, which
// grants that rate to the whole fleet. A request that has to wait for its turn gets a
// place in line, or is told when a target will be due.
//
// When the placer does not answer at once, a gateway chooses by what it sees
// itself; a new placer begins with an empty account and learns within a second.
//
// # Invariants
//
//   - A placement is advice: it is never needed to serve, and a wrong one costs
//     time only.
//   - A placement whose notes are lost is forgotten after a while.
package placement
