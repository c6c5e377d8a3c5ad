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

var target = hookhall.Target{ID: "target", Pool: "pool", Born: 1}

// observe has f observe answers, and returns the broadcasts and the lives that left.
func observe(t *testing.T, f func(s *Advisories)) (sent [][]advisory.Report, left []hookhall.Life) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		s := &Advisories{
			Book: &advisory.Book{}, Meter: noMeter{}, Log: log.New(io.Discard),
			Leave: func(l hookhall.Life, _ string) { left = append(left, l) },
			Broadcast: func(list []advisory.Report) {
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, list)
			},
		}
		f(s)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
	})
	return sent, left
}

// TestBroadcastOnce: an advisory is broadcast once, however often it is received.
func TestBroadcastOnce(t *testing.T) {
	sent, left := observe(t, func(s *Advisories) {
		for range 100 {
			s.Advised(target, hookhall.Advisory{Leaving: true, Limited: true, Limit: 2}, time.Now())
			s.Merge([]advisory.Report{{Target: target, Leaving: true, Limit: advisory.Limit{Named: true, Rate: 2, Heard: time.Now()}}}, "peer")
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(sent) != 1 || len(sent[0]) != 1 || !sent[0][0].Leaving || sent[0][0].Limit.Rate != 2 {
		t.Errorf("broadcast %+v", sent)
	}
	if len(left) != 1 || left[0] != target.Life() {
		t.Errorf("left: %v", left)
	}
}

// TestBroadcastInterval: a target that names another limit in each answer causes a few
// broadcasts a second, the last one with its last limit.
func TestBroadcastInterval(t *testing.T) {
	sent, _ := observe(t, func(s *Advisories) {
		for n := range 200 {
			s.Advised(target, hookhall.Advisory{Limited: true, Limit: float64(1 + n*n)}, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(sent) > 12 {
		t.Errorf("%d broadcasts in two seconds", len(sent))
	}
	if last := sent[len(sent)-1][0].Limit.Rate; last < 0.9*(1+199*199) {
		t.Errorf("the last limit that was broadcast is %g", last)
	}
}

// TestPauseIsNotBroadcast: a pause is between the target and this instance.
func TestPauseIsNotBroadcast(t *testing.T) {
	sent, left := observe(t, func(s *Advisories) {
		s.Advised(target, hookhall.Advisory{Pause: time.Second}, time.Now())
	})
	if len(sent)+len(left) > 0 {
		t.Errorf("broadcast %v, left %v", sent, left)
	}
}
