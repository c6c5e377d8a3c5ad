// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisory keeps what targets announce in answers about further requests to them:
// rate limits, pauses, and that they are leaving.
//
// # Model
//
// A Book has one entry for each life of a target that has announced something. A rate limit
// holds from the answer that names it until an answer to a later call names none. A
// pause holds for the time that the target asked for; it concerns this instance alone.
// A target that is leaving does so for the rest of its life.
//
// Limits travel between instances with the age of the answer that they come from, and
// the later one wins. A limit holds for all instances together: one of them grants the
// rate to all, from a token bucket (Grants), and gives those that must wait a place in
// line as long as their aim bears it.
//
// # Invariants
//
//   - An answer to a call that was sent before a limit was named does not end the limit.
//   - A pause is never shortened.
//   - A bucket grants no more than its rate over any span, and one burst. Over several
//     buckets used one after the other it is one burst for each.
//   - Another life of a target begins without an entry.
package advisory
