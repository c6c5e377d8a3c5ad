// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// TestRecordPerIncarnation guards against applying the state of a target to a later
// incarnation: a restarted target has lost its cached prompts and its calls in progress,
// and neither its pauses nor its latency say anything about the new process.
func TestRecordPerIncarnation(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		before   func(b *Tracker, t hookhall.Target)
		criteria Criteria
		other    bool // the other target is chosen in the same incarnation
	}{
		"a cached prompt": {func(b *Tracker, t hookhall.Target) {
			b.Begin(t, prompt("p", 10000, 100), now).End()
		}, prompt("p", 10000, 100), false},
		"work in progress": {func(b *Tracker, t hookhall.Target) {
			b.Begin(t, prompt("q", 0, 60000), now)
		}, prompt("", 0, 100), true},
		"failures that eject": {func(b *Tracker, t hookhall.Target) {
			b.Begin(t, prompt("", 0, 0), now).Failed(true, now)
		}, prompt("", 0, 100), true},
		"a refusal": {func(b *Tracker, t hookhall.Target) {
			b.Begin(t, prompt("", 0, 0), now).Refused(now)
		}, prompt("", 0, 100), true},
		"a slow pace": {func(b *Tracker, t hookhall.Target) {
			call := b.Begin(t, Criteria{}, now)
			call.Succeeded(10*time.Second, now)
			call.End()
		}, Criteria{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTracker()
			list := []hookhall.Target{{ID: "t0", Start: 5, Slots: 4}, {ID: "t1", Start: 5, Slots: 4}}
			if c.other {
				// The other target is a little worse than one without a record.
				b.Begin(list[1], prompt("", 0, 2000), now)
				call := b.Begin(list[1], Criteria{}, now)
				call.Succeeded(100*time.Millisecond, now)
				call.End()
			}
			c.before(b, list[0])
			choose := func() string {
				got, _ := b.Choose(list, c.criteria, now)
				return got.ID
			}
			if got := choose(); (got == "t1") != c.other {
				t.Errorf("in the same incarnation, %s is chosen", got)
			}
			list[0].Start = 3 // earlier than before: the clock of its host was set back
			if got := choose(); c.other && got != "t0" {
				t.Errorf("in another incarnation, %s is chosen", got)
			}
			call := b.Begin(list[0], prompt("p", 10000, 100), now)
			if call.unreadTokens != 10100 || call.record.inflight != 1 {
				t.Errorf("in another incarnation, %d unread tokens and %d calls in progress, want 10100 and 1", call.unreadTokens, call.record.inflight)
			}
		})
	}
}
