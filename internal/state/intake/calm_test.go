// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/state/intake"
)

// TestLimitOnCalmSecond guards against callers refused by a gateway that serves all of its requests in time, after a short queue or
// one slow round trip.
func TestLimitOnCalmSecond(t *testing.T) {
	const usual = time.Millisecond
	for _, queue := range []time.Duration{22 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(fmt.Sprint("a queue of ", queue, " for 0.3 s"), func(t *testing.T) {
			l := newLimiter(t, 100)
			l.adjust(100, clear)
			_, change := l.adjust(6, func(began time.Time) intake.Delay {
				return intake.Delay{Trips: queue, Completed: 8, Latest: queue, LatestBegan: began}
			})
			if got := l.Status().Limit; got > 0 || change == intake.Began {
				t.Errorf("limit %g of 100 requests", got)
			}
		})
	}
	t.Run("one slow round trip beside six requests", func(t *testing.T) {
		l := newLimiter(t, 6)
		var m intake.DelayMeter
		m.Completed(m.Begin("target", false, l.now), l.now.Add(usual))
		m.Next(l.now)
		m.Completed(m.Begin("target", false, l.now), l.now.Add(usual+22*time.Millisecond))
		for range 20 {
			l.now = l.now.Add(tick)
			if _, change := l.Adjust(m.Next(l.now), tick, l.now); change == intake.Began {
				t.Errorf("limit %g of 6 requests", l.Status().Limit)
			}
		}
	})
}
