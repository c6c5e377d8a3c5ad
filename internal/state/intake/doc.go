// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package intake measures how far a process delays its own work, and bounds the number of
// requests that it takes in by that.
//
// # Model
//
// All that a process receives shares one link and one processor: the requests of callers, the
// answers of targets and what its peers say. A process that takes in more requests than it can
// serve delays the answers that it needs for those it has, until none of them is served in time. A
// DelayMeter measures that delay by what this process does anyway: opening connections, and
// timers. A Limiter bounds the requests in progress by it, and says for how long connections may
// be accepted. A limit begins with a long delay, or with a shorter one that lasts or comes with a
// surge of arrivals. A Diversion decides whether the load balancer should send callers elsewhere.
//
// # Invariants
//
//   - What is slow at one target or peer is not taken for a delay of this process.
//   - Without a delay that several samples show, no limit begins.
//   - Connections are accepted at least for a moment every half second.
package intake
