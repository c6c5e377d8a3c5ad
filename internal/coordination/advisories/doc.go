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
package advisories
