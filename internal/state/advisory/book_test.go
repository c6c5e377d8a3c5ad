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
		b.Keep(func(hookhall.Life) bool { return false }, at(0))
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
	if c := b.Merge(advisory.Report{Target: hookhall.Target{ID: life.ID, Born: life.Born}, Leaving: true}, at(time.Second)); c.Notify {
		t.Error("peers are notified again")
	}
	if b.Status(hookhall.Life{ID: life.ID, Born: 2}).Leaving {
		t.Error("its next life is leaving")
	}
}

// TestKeep: what says nothing any more is forgotten, and a book without limits and pauses is
// idle.
func TestKeep(t *testing.T) {
	live := func(hookhall.Life) bool { return true }
	other := hookhall.Life{ID: "other"}
	b := &advisory.Book{}
	hold := func(what string, idle bool) {
		t.Helper()
		if b.Idle() != idle {
			t.Errorf("%s: idle is %v", what, !idle)
		}
	}
	b.Record(other, hookhall.Advisory{Leaving: true}, at(0), at(0))
	hold("one is leaving", true)
	b.Record(life, hookhall.Advisory{Pause: time.Second}, at(0), at(0))
	hold("one pauses", false)
	b.Keep(live, at(2*time.Second))
	hold("the pause is over", true)
	b.Record(life, limited(1), at(0), at(0))
	b.Keep(live, at(time.Hour))
	hold("one is limited", false)
	b.Record(life, hookhall.Advisory{}, at(time.Hour), at(time.Hour))
	hold("the limit has just ended", false)
	b.Keep(live, at(2*time.Hour))
	hold("the limit has ended long ago", true)
	if !b.Status(other).Leaving {
		t.Error("the one that is leaving is forgotten")
	}
	b.Keep(func(hookhall.Life) bool { return false }, at(2*time.Hour))
	if b.Status(other).Leaving {
		t.Error("a life that is over is remembered")
	}
}

// TestPauseAcrossRebirth: a pause that a new life asked for before it was known is the new
// life's; one that was asked for long before is the old life's alone.
func TestPauseAcrossRebirth(t *testing.T) {
	next := hookhall.Life{ID: life.ID, Born: 2}
	for name, c := range map[string]struct {
		heard time.Duration // before the new life is known
		kept  bool
	}{"a moment before": {300 * time.Millisecond, true}, "long before": {30 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			b := &advisory.Book{}
			b.Record(life, hookhall.Advisory{Leaving: true, Pause: time.Minute}, at(0), at(0))
			b.Reborn(life, next, at(c.heard))
			got := b.Status(next)
			if paused := got.PausedUntil.After(at(c.heard)); paused != c.kept {
				t.Errorf("paused: %v", paused)
			}
			if got.Leaving {
				t.Error("the new life is leaving")
			}
		})
	}
}
