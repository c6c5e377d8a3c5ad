// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"testing"
	"time"
)

func TestStageStarts(t *testing.T) {
	t.Run("a longer answer brings every stage forward by as much", func(t *testing.T) {
		b := newBench(2, 1, 3, 4)
		short, err := newWalk(b.runner, b.graph)
		if err != nil {
			t.Fatal(err)
		}
		b.graph.Answer = 600 * time.Millisecond
		long, err := newWalk(b.runner, b.graph)
		if err != nil {
			t.Fatal(err)
		}
		for i := range chain {
			if d := long.rest[i] - short.rest[i]; d != b.graph.Answer {
				t.Errorf("stage %d begins %v earlier, not %v", i, d, b.graph.Answer)
			}
		}
	})
}
