// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// blockTime is enough for another goroutine to reach a lock that is held.
const blockTime = 50 * time.Millisecond

// TestRecordDuringPrune guards against an advisory that is recorded in an entry which a concurrent
// prune removes: the limit or pause was lost, and the target counted as restricted for good.
func TestRecordDuringPrune(t *testing.T) {
	incarnation, previous := hookhall.Incarnation{ID: "target", Start: 2}, hookhall.Incarnation{ID: "target", Start: 1}
	now := time.Unix(1000, 0)
	for name, record := range map[string]func(r *Registry){
		"an answer": func(r *Registry) {
			r.Record(incarnation, hookhall.Advisory{Limited: true, Limit: 1}, now, now)
		},
		"a report": func(r *Registry) {
			r.Merge(Report{Target: hookhall.Target{ID: "target", Start: 2}, Limit: Limit{Named: true, Rate: 1, Heard: now}}, now)
		},
		"a pause of the previous incarnation": func(r *Registry) { r.TransferPause(previous, incarnation, now) },
	} {
		t.Run(name, func(t *testing.T) {
			var r Registry
			r.Record(previous, hookhall.Advisory{Pause: time.Minute}, now, now)
			r.lock(incarnation).mu.Unlock()
			recorded := make(chan struct{})
			r.Prune(func(i hookhall.Incarnation) bool {
				if i != incarnation {
					return true
				}
				go func() { record(&r); close(recorded) }()
				time.Sleep(blockTime) // it has found the entry, which is locked
				return false
			}, now)
			<-recorded
			if s := r.Status(incarnation); !s.Limit.Named && !s.PausedUntil.After(now) {
				t.Errorf("the advisory is lost: %+v", s)
			}
			r.Prune(func(hookhall.Incarnation) bool { return false }, now)
			if !r.Unrestricted() {
				t.Error("targets count as restricted though none is known")
			}
		})
	}
}
