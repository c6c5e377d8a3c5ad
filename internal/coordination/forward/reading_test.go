// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"
)

// TestReadTimeEstimate guards against an estimate that releases results too early or holds them
// too long: with targets that take 20, 150 or 700 ms to read results, at most 30 of 10,000
// attempts find them released, and the estimate ends at no more than twice that time, or at
// minReadTime if that is longer.
func TestReadTimeEstimate(t *testing.T) {
	for _, readTime := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(readTime.String(), func(t *testing.T) {
			estimate := &readTimeEstimate{}
			if estimate.duration() != initialReadTime {
				t.Fatal(estimate.duration())
			}
			lost := 0
			for range 10000 {
				if estimate.duration() < readTime {
					lost++
					estimate.recordTooShort()
				} else {
					estimate.recordLongEnough()
				}
			}
			if lost > 30 {
				t.Errorf("%d of 10,000 attempts found results released", lost)
			}
			if limit := max(minReadTime, 2*readTime); estimate.duration() > limit {
				t.Errorf("estimate is %v, want at most %v", estimate.duration(), limit)
			}
		})
	}
}
