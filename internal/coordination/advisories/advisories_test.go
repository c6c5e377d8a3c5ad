// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisories

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

type noMeter struct{}

func (noMeter) Advised(string, string) {}

var target = hookhall.Target{ID: "target", Pool: "pool", Start: 1}

// observe calls f, and returns the broadcasts within the second after it and the incarnations
// that were marked as leaving.
func observe(t *testing.T, f func(s *Advisories)) (broadcasts [][]advisory.Report, left []hookhall.Incarnation) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		s := &Advisories{
			Registry: &advisory.Registry{}, Meter: noMeter{}, Log: log.New(io.Discard),
			MarkLeaving: func(incarnation hookhall.Incarnation, _ string) { left = append(left, incarnation) },
			Broadcast: func(list []advisory.Report) {
				mu.Lock()
				defer mu.Unlock()
				broadcasts = append(broadcasts, list)
			},
		}
		f(s)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
	})
	return broadcasts, left
}

// TestBroadcastOnce guards against a flood of broadcasts between instances: an advisory is
// broadcast once, however often answers and peers repeat it.
func TestBroadcastOnce(t *testing.T) {
	broadcasts, left := observe(t, func(s *Advisories) {
		for range 100 {
			s.HandleAdvisory(target, hookhall.Advisory{Leaving: true, Limited: true, Limit: 2}, time.Now())
			s.Merge([]advisory.Report{{Target: target, Leaving: true, Limit: advisory.Limit{Named: true, Rate: 2, Heard: time.Now()}}}, "peer")
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(broadcasts) != 1 || len(broadcasts[0]) != 1 || !broadcasts[0][0].Leaving || broadcasts[0][0].Limit.Rate != 2 {
		t.Errorf("broadcasts: %+v", broadcasts)
	}
	if len(left) != 1 || left[0] != target.Incarnation() {
		t.Errorf("left: %v", left)
	}
}

// TestBroadcastInterval guards against a broadcast for each answer of a target that sets
// another limit in each one: at most a few are sent per second, and the last has the last limit.
func TestBroadcastInterval(t *testing.T) {
	broadcasts, _ := observe(t, func(s *Advisories) {
		for n := range 200 {
			s.HandleAdvisory(target, hookhall.Advisory{Limited: true, Limit: float64(1 + n*n)}, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(broadcasts) > 12 {
		t.Errorf("%d broadcasts in two seconds", len(broadcasts))
	}
	if last := broadcasts[len(broadcasts)-1][0].Limit.Rate; last < 0.9*(1+199*199) {
		t.Errorf("the last limit broadcast is %g", last)
	}
}

// TestPauseIsNotBroadcast guards against a pause that all instances keep though the target
// asked only one of them.
func TestPauseIsNotBroadcast(t *testing.T) {
	broadcasts, left := observe(t, func(s *Advisories) {
		s.HandleAdvisory(target, hookhall.Advisory{Pause: time.Second}, time.Now())
	})
	if len(broadcasts)+len(left) > 0 {
		t.Errorf("broadcasts %v, left %v", broadcasts, left)
	}
}
