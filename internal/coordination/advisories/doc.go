// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisories applies what targets announce in answers about further requests: a
// rate limit, a pause, or that they are leaving.
//
// # Model
//
// All answers of targets pass through one observer: first tries and retries, streams at
// their head, stage calls, successes and refusals. A change is logged once, with its
// source.
//
// The instances that read it first broadcast that a target is leaving, and that a limit
// begins, ends or changes by a tenth. Requests for placements carry the limits known to
// their senders, so that a placer that has just started learns them as well.
//
// An advisory concerns the target that sent it alone: the answer bears the id of a request
// that was sent to that target.
//
// # Invariants
//
//   - A pause is between one target and one instance; it is not broadcast.
//   - What is known already is not broadcast again.
package advisories
