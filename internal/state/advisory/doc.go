// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisory keeps what targets say in answers about further requests to them.
//
// # Model
//
// A Book has one entry for each life of a target that has said something. A rate limit
// holds from the answer that names it until an answer to a later call names none. A
// pause holds for the time that the target asked for; it concerns this instance alone.
// A target that says that it is leaving says so for the rest of its life.
//
// Limits travel between instances with the time of the answer that they come from, and
// the later one wins.
//
// # Invariants
//
//   - An answer to a call that was sent before a limit was named does not end the limit.
//   - A pause is never shortened.
//   - Another life of a target begins without an entry.
package advisory
