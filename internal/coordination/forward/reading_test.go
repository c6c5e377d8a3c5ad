// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"testing"
	"time"
)

// TestReading: a fleet whose targets take 20, 150 or 700 ms to read results finds
// a time that is long enough for nearly all sends, and not much longer.
func TestReading(t *testing.T) {
	for _, takes := range []time.Duration{20 * time.Millisecond, 150 * time.Millisecond, 700 * time.Millisecond} {
		t.Run(takes.String(), func(t *testing.T) {
			r := &reading{}
			if r.time() != readingStart {
				t.Fatal(r.time())
			}
			lost := 0
			for range 10000 {
				if r.time() < takes {
					lost++
					r.tooSoon()
				} else {
					r.inTime()
				}
			}
			if lost > 30 {
				t.Errorf("%d of 10,000 sends found results gone", lost)
			}
			if most := max(readingLeast, 2*takes); r.time() > most {
				t.Errorf("%v, more than %v", r.time(), most)
			}
		})
	}
}
