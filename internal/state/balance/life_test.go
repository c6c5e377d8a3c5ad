// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// TestRecordOfLife: what is believed of a target ends with its life.
func TestRecordOfLife(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		before func(b *Tracker, t hookhall.Target)
		wish   Wish
		other  bool // the other target is chosen in the same life
	}{
		"a prompt that it has read": {func(b *Tracker, t hookhall.Target) {
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
			u := b.Begin(t, Wish{}, now)
			u.Succeeded(10 * time.Second)
			u.End()
		}, Wish{}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewTracker()
			list := []hookhall.Target{{ID: "t0", Born: 5, Slots: 4}, {ID: "t1", Born: 5, Slots: 4}}
			if c.other {
				// The other one is a little worse than one of which nothing is known.
				b.Begin(list[1], prompt("", 0, 2000), now)
				u := b.Begin(list[1], Wish{}, now)
				u.Succeeded(100 * time.Millisecond)
				u.End()
			}
			c.before(b, list[0])
			choose := func() string {
				got, _ := b.Choose(list, c.wish, now)
				return got.ID
			}
			if got := choose(); (got == "t1") != c.other {
				t.Errorf("in the same life, %s is chosen", got)
			}
			list[0].Born = 3 // its clock was set back
			if got := choose(); c.other && got != "t0" {
				t.Errorf("in another life, %s is chosen", got)
			}
			u := b.Begin(list[0], prompt("p", 10000, 100), now)
			if u.unread != 10100 || u.record.inflight != 1 {
				t.Errorf("in another life, %d tokens are to be read, %d calls in progress", u.unread, u.record.inflight)
			}
		})
	}
}
