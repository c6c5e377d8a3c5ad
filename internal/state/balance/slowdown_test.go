// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// TestReportedSlowdown guards against calls of plain services that go to a target which reports
// that it is slow, against old reports, and against reports that outweigh what this process
// measures.
func TestReportedSlowdown(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		latencies [2]time.Duration // as measured
		slowdowns [2]float64
		age       time.Duration
		invalid   bool // an invalid report follows
		want      string
	}{
		"the slow one is avoided":                    {[2]time.Duration{100e6, 110e6}, [2]float64{1.5, 1}, 0, false, "t1"},
		"also after an invalid report":               {[2]time.Duration{100e6, 110e6}, [2]float64{1.5, 1}, 0, true, "t1"},
		"the fast one is preferred":                  {[2]time.Duration{100e6, 110e6}, [2]float64{1, 0.7}, 0, false, "t1"},
		"reports of half a second do not count":      {[2]time.Duration{100e6, 110e6}, [2]float64{1.5, 1}, 500 * time.Millisecond, false, "t0"},
		"a target is at most taken as twice as slow": {[2]time.Duration{100e6, 210e6}, [2]float64{100, 1}, 0, false, "t0"},
		"a target is at most taken as twice as fast": {[2]time.Duration{100e6, 210e6}, [2]float64{1, 0.01}, 0, false, "t0"},
		"without reports":                            {[2]time.Duration{100e6, 110e6}, [2]float64{}, 0, false, "t0"},
	} {
		t.Run(name, func(t *testing.T) {
			b, list := NewTracker(), targets(2)
			for i, target := range list {
				call := b.Begin(target, Criteria{}, now)
				call.LoadReported(hookhall.LoadReport{Slowdown: c.slowdowns[i]}, now)
				if c.invalid {
					if first, second := call.LoadInvalid(), call.LoadInvalid(); !first || second {
						t.Errorf("two invalid reports count as first: %v, %v", first, second)
					}
				}
				call.Succeeded(c.latencies[i], now)
				call.End()
			}
			for range 10 {
				if got, _ := b.Choose(list, Criteria{}, now.Add(c.age)); got.ID != c.want {
					t.Fatalf("%s was chosen, want %s", got.ID, c.want)
				}
			}
		})
	}
}
