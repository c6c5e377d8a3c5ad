// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"slices"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

// limitEndReportTime is how long the end of an announcement is reported with placement requests, so
// that a placement owner learns of it even if it missed the broadcast.
const limitEndReportTime = 30 * time.Second

// Report is a target's status as sent to a peer.
type Report struct {
	Target  hookhall.Target
	Leaving bool
	Limit   Limit
	Brittle Brittle
}

// All returns reports of all targets that are leaving, limited or brittle, in no particular order.
// Only ID and Start are set in their targets.
func (r *Registry) All() []Report {
	var reports []Report
	r.entries.Range(func(k, v any) bool {
		incarnation, e := k.(hookhall.Incarnation), v.(*entry)
		e.mu.Lock()
		defer e.mu.Unlock()
		if s := e.status; s.Leaving || s.Limit.Named || s.Brittle.Named {
			reports = append(reports, Report{Target: hookhall.Target{ID: incarnation.ID, Start: incarnation.Start}, Leaving: s.Leaving, Limit: s.Limit, Brittle: s.Brittle})
		}
		return true
	})
	return reports
}

// Restricted returns those of the targets that may have a limit or a pause, or be brittle, in no
// particular order. The targets must be sorted by ID.
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

// Reports returns what the targets announced, or withdrew less than limitEndReportTime ago, of
// limits and of being brittle, and whether any is limited or brittle now. The targets must be
// sorted by ID.
func (r *Registry) Reports(targets []hookhall.Target, now time.Time) (reports []Report, limited, brittle bool) {
	for _, t := range r.Restricted(targets) {
		s := r.Status(t.Incarnation())
		if s.Limit.Named || s.Brittle.Named || now.Sub(s.Limit.Heard) < limitEndReportTime || now.Sub(s.Brittle.Heard) < limitEndReportTime {
			reports = append(reports, Report{Target: t, Limit: s.Limit, Brittle: s.Brittle})
		}
		limited, brittle = limited || s.Limit.Named, brittle || s.Brittle.Named
	}
	return reports, limited, brittle
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
