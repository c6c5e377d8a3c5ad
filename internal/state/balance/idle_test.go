// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// answerOnce has a target answer a call that begins at now.
func answerOnce(b *Tracker, target hookhall.Target, latency time.Duration, now time.Time) {
	call := b.Begin(target, Criteria{}, now)
	call.Succeeded(latency, now.Add(latency))
	call.End()
}

// countChoices has each chosen target answer with its latency, one call after the other, and
// returns how many calls each got.
func countChoices(b *Tracker, list []hookhall.Target, calls int, interval time.Duration, latency map[string]time.Duration, now time.Time) map[string]int {
	chosen := map[string]int{}
	for i := range calls {
		at := now.Add(time.Duration(i) * interval)
		target, _ := b.Choose(list, Criteria{}, at)
		chosen[target.ID]++
		answerOnce(b, target, latency[target.ID], at)
	}
	return chosen
}

// TestTargetWithoutAnswersGetsCalls guards against a target that gets nothing because others
// answered first.
func TestTargetWithoutAnswersGetsCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, latency := range map[string]time.Duration{"fast": 300 * time.Microsecond, "slow": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			b, list := NewTracker(), targets(2)
			answerOnce(b, list[1], latency, now)
			chosen := countChoices(b, list, 100, 10*time.Millisecond, map[string]time.Duration{"t0": latency, "t1": latency}, now)
			if chosen["t0"] == 0 {
				t.Errorf("chosen: %v", chosen)
			}
		})
	}
}

// TestRecoveredTargetGetsCalls guards against a target that gets nothing for good because its last
// answers were slow or failures.
func TestRecoveredTargetGetsCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	usual := map[string]time.Duration{"t0": 10 * time.Millisecond, "t1": 10 * time.Millisecond}
	for name, disturb := range map[string]func(b *Tracker, target hookhall.Target){
		"after slow answers": func(b *Tracker, target hookhall.Target) { answerOnce(b, target, 2*time.Second, now) },
		"after failures": func(b *Tracker, target hookhall.Target) {
			answerOnce(b, target, usual[target.ID], now)
			for range 20 {
				call := b.Begin(target, Criteria{}, now)
				call.Failed(true, now)
				call.End()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, list := NewTracker(), targets(2)
			disturb(b, list[0])
			answerOnce(b, list[1], usual["t1"], now)
			chosen := countChoices(b, list, 100, 10*time.Millisecond, usual, now.Add(5*time.Second))
			if chosen["t0"] > 0 {
				t.Errorf("chosen within seconds: %v", chosen)
			}
			countChoices(b, list, 1000, 100*time.Millisecond, usual, now.Add(6*time.Second))
			chosen = countChoices(b, list, 100, 10*time.Millisecond, usual, now.Add(110*time.Second))
			if chosen["t0"] < 20 {
				t.Errorf("chosen after recovery: %v", chosen)
			}
		})
	}
	t.Run("still slow", func(t *testing.T) {
		b, list := NewTracker(), targets(2)
		answerOnce(b, list[0], 200*time.Millisecond, now)
		answerOnce(b, list[1], 10*time.Millisecond, now)
		latency := map[string]time.Duration{"t0": 200 * time.Millisecond, "t1": 10 * time.Millisecond}
		if chosen := countChoices(b, list, 1000, 100*time.Millisecond, latency, now); chosen["t0"] == 0 || chosen["t0"] > 10 {
			t.Errorf("chosen: %v", chosen)
		}
	})
}
