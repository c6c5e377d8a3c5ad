// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// leavingReportLifetime is how long a peer's report of a leaving target counts. It
	// spans several heartbeats, each of which renews the report.
	leavingReportLifetime = 5 * time.Second
	// maxLeavingTargets bounds the leaving targets in one heartbeat, and so its size.
	maxLeavingTargets = 64
)

// leavingReports holds the peers' reports of leaving targets. They are not passed on to
// other peers: two processes would renew each other's reports endlessly.
type leavingReports struct{ expiryByTarget sync.Map } // target ID to time.Time

// add records a peer's report of leaving targets, received at now.
func (r *leavingReports) add(ids []string, now time.Time) {
	for _, id := range ids[:min(len(ids), maxLeavingTargets)] {
		r.expiryByTarget.Store(id, now.Add(leavingReportLifetime))
	}
}

// has reports whether a report of the target is valid at now, and deletes it if it has expired.
func (r *leavingReports) has(id string, now time.Time) bool {
	expiry, ok := r.expiryByTarget.Load(id)
	if !ok {
		return false
	}
	if now.Before(expiry.(time.Time)) {
		return true
	}
	r.expiryByTarget.Delete(id)
	return false
}

// IsReportedLeaving reports whether a peer's recent heartbeat reported the target as leaving. The
// instance list lags, so peers may know it earlier.
func (f *Fleet) IsReportedLeaving(id string, now time.Time) bool {
	return f.leavingReports.has(id, now)
}

// listedLeaving returns the IDs of the targets that are leaving by the instance list that this
// process has read, at most maxLeavingTargets.
func (f *Fleet) listedLeaving() []string {
	listing := f.listing.Load()
	if listing == nil {
		return nil
	}
	var ids []string
	for _, i := range listing.Instances {
		if i.Role == hookhall.RoleTarget && i.State == hookhall.InstanceLeaving && len(ids) < maxLeavingTargets {
			ids = append(ids, i.ID)
		}
	}
	return ids
}
