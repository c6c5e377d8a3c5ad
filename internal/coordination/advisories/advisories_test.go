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

// observe has f observe answers, and returns the reports that peers were told and the lives
// that left.
func observe(t *testing.T, f func(s *Advisories)) (told [][]advisory.Report, left []hookhall.Life) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		s := &Advisories{
			Book: &advisory.Book{}, Meter: noMeter{}, Log: log.New(io.Discard),
			Leave: func(l hookhall.Life, _ string) { left = append(left, l) },
			Tell: func(list []advisory.Report) {
				mu.Lock()
				defer mu.Unlock()
				told = append(told, list)
			},
		}
		f(s)
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
	})
	return told, left
}

// TestPeersAreToldOnce: a word is told once, however often it comes.
func TestPeersAreToldOnce(t *testing.T) {
	told, left := observe(t, func(s *Advisories) {
		for range 100 {
			s.Advised(target, hookhall.Advisory{Leaving: true, Limited: true, Limit: 2}, time.Now())
			s.Merge([]advisory.Report{{Target: target, Leaving: true, Limit: advisory.Limit{Named: true, Rate: 2, Heard: time.Now()}}}, "peer")
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(told) != 1 || len(told[0]) != 1 || !told[0][0].Leaving || told[0][0].Limit.Rate != 2 {
		t.Errorf("told %+v", told)
	}
	if len(left) != 1 || left[0] != target.Life() {
		t.Errorf("left: %v", left)
	}
}

// TestPeersAreToldSeldom: a target that names another limit in each answer is told a few
// times a second, and the last word stands.
func TestPeersAreToldSeldom(t *testing.T) {
	told, _ := observe(t, func(s *Advisories) {
		for n := range 200 {
			s.Advised(target, hookhall.Advisory{Limited: true, Limit: float64(1 + n*n)}, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
	})
	if len(told) > 12 {
		t.Errorf("peers were told %d times in two seconds", len(told))
	}
	if last := told[len(told)-1][0].Limit.Rate; last < 0.9*(1+199*199) {
		t.Errorf("the last limit that was told is %g", last)
	}
}

// TestPauseIsNotTold: a pause is between the target and this instance.
func TestPauseIsNotTold(t *testing.T) {
	told, left := observe(t, func(s *Advisories) {
		s.Advised(target, hookhall.Advisory{Pause: time.Second}, time.Now())
	})
	if len(told)+len(left) > 0 {
		t.Errorf("told %v, left %v", told, left)
	}
}
