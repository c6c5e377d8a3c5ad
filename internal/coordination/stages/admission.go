// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

// updateAdmission lets the queue use only targets that accept a call now, which no rate
// limit and no pause prevents, and fails jobs whose deadline is before any target accepts
// a call. q.mu must be held.
func (q *serviceQueue) updateAdmission(now time.Time) {
	grants := q.broker.Grants(q.service)
	restricted := grants.Registry.Restricted(q.targets)
	if len(restricted) == 0 {
		q.queue.SetAdmission(nil)
		return
	}
	q.queue.SetAdmission(func(t hookhall.Target) bool { return delayUntilCall(grants, t, now) <= 0 })
	if len(restricted) < len(q.targets) {
		return
	}
	next := delayUntilCall(grants, restricted[0], now)
	for _, t := range restricted[1:] {
		next = min(next, delayUntilCall(grants, t, now))
	}
	if next > 0 {
		q.queue.AbandonBefore(now.Add(next))
	}
}

// delayUntilCall returns how long it takes until t accepts a call; 0 or less means that it
// accepts one now.
func delayUntilCall(grants advisory.Grants, t hookhall.Target, now time.Time) time.Duration {
	incarnation := t.Incarnation()
	return max(grants.Due(incarnation, now), grants.Registry.Status(incarnation).PausedUntil.Sub(now), grants.Registry.RejectionPause(incarnation, now))
}
