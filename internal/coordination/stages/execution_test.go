// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"testing"
	"time"
)

// TestAnswerTimeMovesStageStarts guards against a latest start of stages that ignores how
// long the answer takes to begin, so that the answer to a long prompt begins late.
func TestAnswerTimeMovesStageStarts(t *testing.T) {
	t.Run("a later first byte moves the start of every stage forward by as much", func(t *testing.T) {
		f := newFixture(2, 1, 3, 4)
		short, err := newExecution(f.runner, f.graph)
		if err != nil {
			t.Fatal(err)
		}
		f.graph.TimeToFirstByte = 600 * time.Millisecond
		long, err := newExecution(f.runner, f.graph)
		if err != nil {
			t.Fatal(err)
		}
		for i := range chain {
			if d := long.timeToAnswer[i] - short.timeToAnswer[i]; d != f.graph.TimeToFirstByte {
				t.Errorf("stage %d begins %v earlier, not %v", i, d, f.graph.TimeToFirstByte)
			}
		}
	})
}
