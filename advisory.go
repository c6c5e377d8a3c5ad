// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Advisory is what a target announces in an answer about further requests to it. The zero
// value announces nothing.
type Advisory struct {
	// Leaving is set when the target accepts no new requests.
	Leaving bool
	// Limited is set when the target announces a rate limit, which is Limit.
	Limited bool
	// Limit is the rate limit in requests per second, for all instances together. It is
	// not negative.
	Limit float64
	// Brittle is set when the target announces that it fails if it has to reject more than
	// MaxRejections requests in a second, of all instances together, because it is full.
	Brittle bool
	// MaxRejections is not negative.
	MaxRejections float64
	// Pause is how long this instance should send the target no requests, 0 for no pause.
	Pause time.Duration
}

// AdvisoryObserver receives the advisories of targets.
type AdvisoryObserver interface {
	// HandleAdvisory is called for each answer, also with the zero Advisory. t is the target
	// that answered, sent is when the call was sent to it. It must not block.
	HandleAdvisory(t Target, a Advisory, sent time.Time)
}

// AdvisorySource reads advisories from answers.
type AdvisorySource interface {
	// SetObserver registers the observer. It must be called before the first call of a target.
	SetObserver(o AdvisoryObserver)
}
