// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"time"

	"github.com/hookhall/hookhall"
)

// reportTime is how long the end of a limit is reported with requests for placements.
const reportTime = 30 * time.Second

// Report is what one instance tells another of a target.
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

// Reports returns the limits among targets that hold or ended a short while ago, and
// whether any holds.
func (b *Book) Reports(targets []hookhall.Target, now time.Time) (list []Report, limited bool) {
	if b.Empty() {
		return nil, false
	}
	for _, t := range targets {
		l := b.Status(t.Life()).Limit
		if l.Named || now.Sub(l.Heard) < reportTime {
			list = append(list, Report{Target: t, Limit: l})
		}
		limited = limited || l.Named
	}
	return list, limited
}
