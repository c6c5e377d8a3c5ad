// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

// moveLate counts the waiting pieces of late jobs in the last level of a report, as they go
// behind all jobs in time. In the level of their urgency they would count as ahead of a new
// request. Started jobs go first, also when they are late.
func (q *Queue) moveLate(waiting *[hookhall.UrgencyLevels]int, now time.Time) {
	for _, j := range q.jobs {
		if j.isLate(now) && !j.isStarted() {
			waiting[hookhall.UrgencyLevel(j.Urgency)] -= len(j.waiting)
			waiting[hookhall.UrgencyLevels-1] += len(j.waiting)
		}
	}
}
