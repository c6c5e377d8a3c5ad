// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"slices"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
)

// reportTime is how long the end of a limit is reported with requests for placements.
const reportTime = 30 * time.Second

// Report is a target's status as it is sent to a peer.
type Report struct {
	Target  hookhall.Target
	Leaving bool
	Limit   Limit
}

// All returns reports of all targets that are leaving or limited, in no order.
func (b *Book) All() []Report {
	var list []Report
	b.entries.Range(func(k, v any) bool {
		l, e := k.(hookhall.Life), v.(*entry)
		e.mu.Lock()
		defer e.mu.Unlock()
		if s := e.status; s.Leaving || s.Limit.Named {
			list = append(list, Report{Target: hookhall.Target{ID: l.ID, Born: l.Born}, Leaving: s.Leaving, Limit: s.Limit})
		}
		return true
	})
	return list
}

// Rationed returns those of the targets that may have a limit or a pause. The targets are
// sorted by id.
func (b *Book) Rationed(targets []hookhall.Target) []hookhall.Target {
	if b.Idle() {
		return nil
	}
	var list []hookhall.Target
	b.entries.Range(func(k, _ any) bool {
		l := k.(hookhall.Life)
		at, found := slices.BinarySearchFunc(targets, l.ID, func(t hookhall.Target, id string) int { return strings.Compare(t.ID, id) })
		if found && targets[at].Life() == l {
			list = append(list, targets[at])
		}
		return true
	})
	return list
}

// Reports returns the limits among targets that hold or ended a short while ago, and
// whether any holds. The targets are sorted by id.
func (b *Book) Reports(targets []hookhall.Target, now time.Time) (list []Report, limited bool) {
	for _, t := range b.Rationed(targets) {
		l := b.Status(t.Life()).Limit
		if l.Named || now.Sub(l.Heard) < reportTime {
			list = append(list, Report{Target: t, Limit: l})
		}
		limited = limited || l.Named
	}
	return list, limited
}

// Paused returns the ids of those targets that have asked this instance for a pause which
// goes on, and how long it takes until the first of these pauses ends. It returns nil if
// there are none. The targets are sorted by id.
func (b *Book) Paused(targets []hookhall.Target, now time.Time) (ids map[string]bool, next time.Duration) {
	for _, t := range b.Rationed(targets) {
		left := b.Status(t.Life()).PausedUntil.Sub(now)
		if left <= 0 {
			continue
		}
		if ids == nil {
			ids, next = map[string]bool{}, left
		}
		ids[t.ID] = true
		next = min(next, left)
	}
	return ids, next
}
