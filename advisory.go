// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Advisory is what a target announces in an answer about further requests to it. The zero
// value announces nothing.
type Advisory struct {
	// Leaving is set when the target takes no new requests.
	Leaving bool
	// Limited is set when the target names a rate limit.
	Limited bool
	// Limit is the rate limit in requests a second, from all instances together. It is
	// not negative.
	Limit float64
	// Pause is how long the target wants no requests from this instance, 0 for no pause.
	Pause time.Duration
}

// AdvisoryObserver receives the advisories of targets.
type AdvisoryObserver interface {
	// Advised is called with the advisory of each answer, the zero one included. The
	// answer is t's to a call that was sent at sent. Advised must not block.
	Advised(t Target, a Advisory, sent time.Time)
}

// AdvisorySource reads advisories from answers.
type AdvisorySource interface {
	// Observe registers the observer. It must be called before the first call of a target.
	Observe(o AdvisoryObserver)
}
