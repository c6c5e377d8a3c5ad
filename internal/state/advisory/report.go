// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"slices"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

// limitEndReportTime is how long the end of a limit is reported with placement requests, so
// that a placement owner learns of it even if it missed the broadcast.
const limitEndReportTime = 30 * time.Second

// Report is a target's status as sent to a peer.
type Report struct {
	Target  hookhall.Target
	Leaving bool
	Limit   Limit
}

// All returns reports of all targets that are leaving or limited, in no particular order.
// Only ID and Start are set in their targets.
func (r *Registry) All() []Report {
	var reports []Report
	r.entries.Range(func(k, v any) bool {
		incarnation, e := k.(hookhall.Incarnation), v.(*entry)
		e.mu.Lock()
		defer e.mu.Unlock()
		if s := e.status; s.Leaving || s.Limit.Named {
			reports = append(reports, Report{Target: hookhall.Target{ID: incarnation.ID, Start: incarnation.Start}, Leaving: s.Leaving, Limit: s.Limit})
		}
		return true
	})
	return reports
}

// Restricted returns those of the targets that may have a limit or a pause, in no particular
// order. The targets must be sorted by ID.
func (r *Registry) Restricted(targets []hookhall.Target) []hookhall.Target {
	if r.Unrestricted() {
		return nil
	}
	var restricted []hookhall.Target
	r.entries.Range(func(k, _ any) bool {
		incarnation := k.(hookhall.Incarnation)
		i, found := slices.BinarySearchFunc(targets, incarnation.ID, func(t hookhall.Target, id string) int { return strings.Compare(t.ID, id) })
		if found && targets[i].Incarnation() == incarnation {
			restricted = append(restricted, targets[i])
		}
		return true
	})
	return restricted
}

// Reports returns the limits of the targets that hold or ended less than limitEndReportTime
// ago, and whether any holds. The targets must be sorted by ID.
func (r *Registry) Reports(targets []hookhall.Target, now time.Time) (reports []Report, limited bool) {
	for _, t := range r.Restricted(targets) {
		limit := r.Status(t.Incarnation()).Limit
		if limit.Named || now.Sub(limit.Heard) < limitEndReportTime {
			reports = append(reports, Report{Target: t, Limit: limit})
		}
		limited = limited || limit.Named
	}
	return reports, limited
}

// Paused returns the IDs of those targets whose requested pause for this instance has not
// ended, and the time until the first of these pauses ends. It returns nil and 0 if there
// are none. The targets must be sorted by ID.
func (r *Registry) Paused(targets []hookhall.Target, now time.Time) (pausedIDs map[string]bool, firstEnd time.Duration) {
	for _, t := range r.Restricted(targets) {
		remaining := r.Status(t.Incarnation()).PausedUntil.Sub(now)
		if remaining <= 0 {
			continue
		}
		if pausedIDs == nil {
			pausedIDs, firstEnd = map[string]bool{}, remaining
		}
		pausedIDs[t.ID] = true
		firstEnd = min(firstEnd, remaining)
	}
	return pausedIDs, firstEnd
}
