// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

// admit excludes targets that are limited or paused from the queue, and refuses jobs that
// end before any target accepts a call. q.mu must be held.
func (q *serviceQueue) admit(now time.Time) {
	grants := q.broker.Grants(q.service)
	rationed := grants.Book.Rationed(q.targets)
	if len(rationed) == 0 {
		q.queue.Admit(nil)
		return
	}
	q.queue.Admit(func(t hookhall.Target) bool { return untilCall(grants, t, now) <= 0 })
	if len(rationed) < len(q.targets) {
		return
	}
	next := untilCall(grants, rationed[0], now)
	for _, t := range rationed[1:] {
		next = min(next, untilCall(grants, t, now))
	}
	if next > 0 {
		q.queue.AbandonBefore(now.Add(next))
	}
}

// untilCall returns how long it takes until a target accepts a call.
func untilCall(grants advisory.Grants, t hookhall.Target, now time.Time) time.Duration {
	return max(grants.Due(t.Life(), now), grants.Book.Status(t.Life()).PausedUntil.Sub(now))
}
