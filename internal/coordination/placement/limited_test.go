// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// oneTarget is a Directory with one target and no routing table.
type oneTarget struct{}

func (oneTarget) Table() *routetable.Table { return nil }

func (oneTarget) Targets(string) []hookhall.Target { return []hookhall.Target{{ID: "target"}} }

// TestPlaceAtLimitedTarget guards against requests that are placed at a rate-limited target
// although they can't wait for it, and against refusals without the time after which the
// client should retry. That time is 0 if this process grants nothing.
func TestPlaceAtLimitedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		share  float64
		slack  time.Duration
		placed bool
		retry  bool
	}{
		"it can wait":                             {1, time.Minute, true, false},
		"it can't wait":                           {1, time.Millisecond, false, true},
		"past its latency target":                 {1, 0, false, true},
		"another process grants most of the rate": {0.25, time.Minute, true, false},
		"nothing is granted":                      {0, time.Minute, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			registry := &advisory.Registry{}
			registry.Record(hookhall.Incarnation{ID: "target"}, hookhall.Advisory{Limited: true, Limit: 1}, clock.Now(), clock.Now())
			owner := NewOwner(oneTarget{}, balance.ColdLimits{})
			owner.Grants = func(string) advisory.Grants { return advisory.Grants{Registry: registry, Share: c.share} }
			got := owner.Place("ticket", "service", balance.Criteria{LatencyBudget: c.slack})
			if placed := got.Target != ""; placed != c.placed || (got.Wait > 0) != c.placed {
				t.Errorf("placed at %q after %v", got.Target, got.Wait)
			}
			if (got.RetryAfter > 0) != c.retry || got.RetryAfter > time.Minute {
				t.Errorf("retry after %v", got.RetryAfter)
			}
		})
	}
}
