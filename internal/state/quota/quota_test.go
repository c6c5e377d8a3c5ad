// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestPartsAddUp guards against parts that exceed the limit, leave units of it unused, or
// differ by more than one unit between two processes.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 2000).Draw(t, "processes")
		limit := rapid.IntRange(0, 5000).Draw(t, "bound")
		key := rapid.String().Draw(t, "key")
		sum := 0
		for index := range count {
			part := Position{count, index}.Share(limit, key)
			if part < limit/count || part > limit/count+1 {
				t.Fatalf("process %d has %d of %d units; there are %d processes", index, part, limit, count)
			}
			sum += part
		}
		if sum != limit {
			t.Fatalf("parts add up to %d, want %d", sum, limit)
		}
	})
}

// TestPartsOfLostProcesses guards against exceeding the limit while processes that have ended
// are still counted; their parts are unused.
func TestPartsOfLostProcesses(t *testing.T) {
	sum := 0
	for index := range 50 {
		sum += Position{Count: 60, Index: index}.Share(100, "target")
	}
	if sum > 100 {
		t.Errorf("parts add up to %d, want at most 100", sum)
	}
}

// TestScarceUnitsAreSpread guards against a limit of fewer units than processes that goes to
// the same processes for every key.
func TestScarceUnitsAreSpread(t *testing.T) {
	held := make([]int, 60)
	for target := range 300 {
		for index := range held {
			held[index] += Position{len(held), index}.Share(20, fmt.Sprint("target-", target))
		}
	}
	for index, n := range held {
		if n < 50 || n > 150 { // 100 for an even distribution
			t.Errorf("process %d holds %d of 6000 units", index, n)
		}
	}
}

// TestPartOfUnknownPosition guards against a process that holds units although it does not
// know its position, so that the parts of all would exceed the limit.
func TestPartOfUnknownPosition(t *testing.T) {
	for name, p := range map[string]Position{"unknown number of processes": {}, "process not listed": {Count: 5, Index: -1}} {
		t.Run(name, func(t *testing.T) {
			if n := p.Share(100, "target"); n != 0 {
				t.Errorf("part is %d, want 0", n)
			}
		})
	}
}

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{9, 986} {
		b.Run(fmt.Sprint(n, " processes"), func(b *testing.B) {
			for b.Loop() {
				Position{n, n / 2}.Share(1000, "10.1.64.7:8080")
			}
		})
	}
}
