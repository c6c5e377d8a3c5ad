// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package advisories applies what targets announce in answers about further requests: a
// rate limit, a pause, that they are brittle, or that they are leaving.
//
// # Model
//
// All answers of targets pass through one observer: first attempts and retries, streams at
// their head, stage calls, successes and refusals. A change is logged once, with its
// source.
//
// The instances that read a change first broadcast it if a target is leaving, or if a limit or
// a brittle target's bound begins, ends or changes by more than a tenth. Requests for placements carry the limits known
// to their senders, so that a placement owner that has just started learns them as well.
//
// An advisory concerns only the target that sent it: the answer carries the id of a request
// that was sent to that target.
//
// # Invariants
//
//   - A pause holds between one target and one instance, and is not broadcast.
//   - An advisory that is already known is not broadcast again.
package advisories
