// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPartsAddUp: over all processes of one list the parts are the bound, and each has
// the same but for one unit.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 2000).Draw(t, "processes")
		bound := rapid.IntRange(0, 5000).Draw(t, "bound")
		key := rapid.String().Draw(t, "key")
		sum := 0
		for place := range count {
			part := Sharers{count, place}.Part(bound, key)
			if part < bound/count || part > bound/count+1 {
				t.Fatalf("process %d has %d of %d over %d processes", place, part, bound, count)
			}
			sum += part
		}
		if sum != bound {
			t.Fatalf("the parts add up to %d, not %d", sum, bound)
		}
	})
}

// TestPartsOfLostProcesses: those that left the list a while ago are counted, and hold
// nothing: the others stay within the bound.
func TestPartsOfLostProcesses(t *testing.T) {
	sum := 0
	for place := range 50 {
		sum += Sharers{Count: 60, Place: place}.Part(100, "target")
	}
	if sum > 100 {
		t.Errorf("the parts add up to %d", sum)
	}
}

// TestScarceUnitsAreSpread: a bound of fewer units than processes goes to other
// processes from key to key.
func TestScarceUnitsAreSpread(t *testing.T) {
	held := make([]int, 60)
	for target := range 300 {
		for place := range held {
			held[place] += Sharers{len(held), place}.Part(20, fmt.Sprint("target-", target))
		}
	}
	for place, n := range held {
		if n < 50 || n > 150 { // 100 each, if it were even
			t.Errorf("process %d holds %d of 6000 units", place, n)
		}
	}
}

func TestPartOfNobody(t *testing.T) {
	for name, s := range map[string]Sharers{"a list that is not known": {}, "no place in it": {Count: 5, Place: -1}} {
		t.Run(name, func(t *testing.T) {
			if n := s.Part(100, "target"); n != 0 {
				t.Errorf("a part of %d", n)
			}
		})
	}
}

func BenchmarkPart(b *testing.B) {
	for _, n := range []int{9, 986} {
		b.Run(fmt.Sprint(n, " processes"), func(b *testing.B) {
			for b.Loop() {
				Sharers{n, n / 2}.Part(1000, "10.1.64.7:8080")
			}
		})
	}
}
