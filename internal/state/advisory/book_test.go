// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory_test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

var (
	start = time.Unix(1000, 0)
	life  = hookhall.Life{ID: "target", Born: 1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func limited(rate float64) hookhall.Advisory {
	return hookhall.Advisory{Limited: true, Limit: rate}
}

// holdLimit fails unless the book has a limit, or none if rate is negative.
func holdLimit(t *testing.T, b *advisory.Book, l hookhall.Life, rate float64) {
	t.Helper()
	got := b.Status(l).Limit
	if got.Named != (rate >= 0) || (got.Named && got.Rate != rate) {
		t.Errorf("the limit is %+v, want %g", got, rate)
	}
}

// TestLimitEnds: only an answer to a later call ends a limit.
func TestLimitEnds(t *testing.T) {
	t.Run("by an answer to a later call", func(t *testing.T) {
		b := &advisory.Book{}
		b.Record(life, limited(2), at(0), at(time.Second))
		holdLimit(t, b, life, 2)
		b.Record(life, hookhall.Advisory{}, at(time.Second), at(2*time.Second))
		holdLimit(t, b, life, -1)
	})
	t.Run("not by an answer to an earlier call", func(t *testing.T) {
		b := &advisory.Book{}
		b.Record(life, limited(2), at(0), at(time.Second))
		b.Record(life, hookhall.Advisory{}, at(time.Millisecond), at(2*time.Second))
		holdLimit(t, b, life, 2)
	})
	t.Run("with the life that named it", func(t *testing.T) {
		b := &advisory.Book{}
		b.Record(life, limited(2), at(0), at(0))
		holdLimit(t, b, hookhall.Life{ID: "target", Born: 2}, -1)
		b.Keep(func(hookhall.Life) bool { return false })
		holdLimit(t, b, life, -1)
	})
}

// TestPauseIsNotShortened: a shorter pause does not replace a longer one.
func TestPauseIsNotShortened(t *testing.T) {
	b := &advisory.Book{}
	b.Record(life, hookhall.Advisory{Pause: 3 * time.Second}, at(0), at(0))
	b.Record(life, hookhall.Advisory{Pause: time.Second}, at(0), at(time.Second))
	b.Record(life, hookhall.Advisory{}, at(time.Second), at(time.Second))
	if got := b.Status(life).PausedUntil; !got.Equal(at(3 * time.Second)) {
		t.Errorf("paused until %v after the start", got.Sub(start))
	}
}

// TestLeavingIsFinal: a target that was leaving stays so for its life.
func TestLeavingIsFinal(t *testing.T) {
	b := &advisory.Book{}
	b.Record(life, hookhall.Advisory{Leaving: true}, at(0), at(0))
	b.Record(life, hookhall.Advisory{}, at(time.Second), at(time.Second))
	if !b.Status(life).Leaving {
		t.Error("it is not leaving any more")
	}
	if c := b.Merge(advisory.Report{Target: hookhall.Target{ID: life.ID, Born: life.Born}, Leaving: true}); c.Tell {
		t.Error("what is known is told again")
	}
	if b.Status(hookhall.Life{ID: life.ID, Born: 2}).Leaving {
		t.Error("its next life is leaving")
	}
}
