// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// digest names the request's content. It is made when it is first needed.
func (r *request) digest() crashes.Digest {
	if r.content == (crashes.Digest{}) {
		r.content = crashes.Sum(r.accountName(), r.call.Host, r.call.URI, r.call.Body)
	}
	return r.content
}

// shunCrashing keeps the request from targets that would end by it, and refuses it when
// all would. A request is judged by its content, whichever gateway it comes to and under
// whichever id: judged by itself, one that came again and again ended 43 of the engines
// of a day, 28 of them later than three seconds after its third.
func (r *request) shunCrashing() *hookhall.Error {
	s := r.Quarantine.Standing(r.digest)
	if !s.Refused() {
		return nil
	}
	left := 0
	for _, t := range r.Catalog.Targets(r.service) {
		if s.RefusedBy(t.Software()) {
			r.tried[t.ID] = true
		} else {
			left++
		}
	}
	if left > 0 {
		return nil
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCrashes,
		"%d targets of %s ended while they ran this request, the first %s ago; it is not sent again",
		s.Ends, r.service, clock.Since(s.Since).Round(time.Second))
}
