// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisories takes in what targets say in answers about further requests: a rate
// limit, a pause, or that they are leaving.
//
// # Model
//
// All answers of targets pass through one observer: first tries and retries, streams at
// their head, stage calls, successes and refusals. What changes is logged once, with the
// instance that it was heard from.
//
// All instances are told of a target that is leaving, and of a limit that begins, ends or
// changes by a tenth, by those that read it first. Requests for placements bring the limits
// that their senders know of, so that a placer that has just started learns them as well.
//
// A target's word concerns that target alone: the answer bears the id of a request that
// was sent to it.
//
// # Invariants
//
//   - A pause is between one target and one instance; it is not told.
//   - What was known already is not told again.
package advisories
