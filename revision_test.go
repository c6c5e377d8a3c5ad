// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall_test

import (
	"testing"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestRevisionOrder guards against a Revision that loses a part of its era or count, and against
// an order that puts an answer of an earlier era after one of a later era.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (era, count uint64, r hookhall.Revision) {
			era = rapid.Uint64Range(0, 1<<16-1).Draw(t, name+" era")
			count = rapid.Uint64Range(0, 1<<48-1).Draw(t, name+" count")
			r, err := hookhall.NewRevision(era, count)
			if err != nil || r.Era() != era || r.Count() != count {
				t.Fatalf("%d/%d resulted in %v: %v", era, count, r, err)
			}
			return era, count, r
		}
		era, count, a := draw("a")
		otherEra, otherCount, b := draw("b")
		earlier := era < otherEra || (era == otherEra && count < otherCount)
		if earlier != (a < b) {
			t.Fatalf("%v before %v: %v", a, b, a < b)
		}
	})
}

// TestRevisionRange guards against an era or a count that is too large being truncated to
// another, valid revision instead of an error.
func TestRevisionRange(t *testing.T) {
	for _, c := range [][2]uint64{{1 << 16, 0}, {0, 1 << 48}, {1<<64 - 1, 1<<64 - 1}} {
		if r, err := hookhall.NewRevision(c[0], c[1]); !errors.Is(err, hookhall.ErrRevisionRange) || r != 0 {
			t.Errorf("%d/%d resulted in %v: %v", c[0], c[1], r, err)
		}
	}
}
