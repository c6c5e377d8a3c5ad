// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisory stores what targets announce in their responses about further requests
// to them: rate limits, pauses, that they are brittle, and that they are leaving.
//
// # Model
//
// A Registry has one entry for each incarnation of a target that has announced something. A
// rate limit holds from the response that announces it until the response to a later call
// announces none. A pause lasts for the time that the target requested and applies to this
// instance only. A target that is leaving stays so for the rest of its incarnation.
//
// Instances send each other the limits with the age of the response that announced them;
// the one from the latest response applies. A limit applies to all instances together: one
// of them grants the rate to all, from a token bucket (Grants). A request that has to wait
// reserves a future token if it is due within the request's latency target.
//
// A brittle target fails if it has to reject more than a few requests a second for lack of
// room. It is given no more requests at a time than it has slots (Rooms): by the placement
// owner, which knows those of all instances, or by each instance up to its share of the slots
// if the owner does not answer. A rejection withholds a slot, which returns after a while, and
// pauses the target.
//
// # Invariants
//
//   - The response to a call that was sent before a limit was announced does not end the
//     limit.
//   - A pause is never shortened.
//   - A bucket grants at most its rate over any span, plus one burst. Several buckets used
//     one after the other grant one burst each.
//   - A new incarnation of a target starts without an entry.
package advisory
