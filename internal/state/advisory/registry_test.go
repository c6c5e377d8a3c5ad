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
	start              = time.Unix(1000, 0)
	currentIncarnation = hookhall.Incarnation{ID: "target", Start: 1}
)

func at(d time.Duration) time.Time { return start.Add(d) }

func limited(rate float64) hookhall.Advisory {
	return hookhall.Advisory{Limited: true, Limit: rate}
}

// checkLimit fails unless the limit of an incarnation has the rate, or there is no limit if
// rate is negative.
func checkLimit(t *testing.T, r *advisory.Registry, incarnation hookhall.Incarnation, rate float64) {
	t.Helper()
	got := r.Status(incarnation).Limit
	if got.Named != (rate >= 0) || (got.Named && got.Rate != rate) {
		t.Errorf("limit is %+v, want rate %g", got, rate)
	}
}

// TestLimitEnds guards against a limit that is dropped because of the response to a call that
// was sent before the limit was announced. Such a response can arrive last.
func TestLimitEnds(t *testing.T) {
	t.Run("response to a later call ends it", func(t *testing.T) {
		r := &advisory.Registry{}
		r.Record(currentIncarnation, limited(2), at(0), at(time.Second))
		checkLimit(t, r, currentIncarnation, 2)
		r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Second), at(2*time.Second))
		checkLimit(t, r, currentIncarnation, -1)
	})
	t.Run("response to an earlier call does not", func(t *testing.T) {
		r := &advisory.Registry{}
		r.Record(currentIncarnation, limited(2), at(0), at(time.Second))
		r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Millisecond), at(2*time.Second))
		checkLimit(t, r, currentIncarnation, 2)
	})
	t.Run("ends with the incarnation that announced it", func(t *testing.T) {
		r := &advisory.Registry{}
		r.Record(currentIncarnation, limited(2), at(0), at(0))
		checkLimit(t, r, hookhall.Incarnation{ID: "target", Start: 2}, -1)
		r.Prune(func(hookhall.Incarnation) bool { return false }, at(0))
		checkLimit(t, r, currentIncarnation, -1)
	})
}

// TestPauseIsNotShortened guards against a shorter pause that replaces a longer one.
func TestPauseIsNotShortened(t *testing.T) {
	r := &advisory.Registry{}
	r.Record(currentIncarnation, hookhall.Advisory{Pause: 3 * time.Second}, at(0), at(0))
	r.Record(currentIncarnation, hookhall.Advisory{Pause: time.Second}, at(0), at(time.Second))
	r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Second), at(time.Second))
	if got := r.Status(currentIncarnation).PausedUntil; !got.Equal(at(3 * time.Second)) {
		t.Errorf("pause ends %v after the start, want 3s", got.Sub(start))
	}
}

// TestLeavingIsFinal guards against a target that is used again although it was leaving: it
// stays so for the rest of its incarnation, but not in the next one.
func TestLeavingIsFinal(t *testing.T) {
	r := &advisory.Registry{}
	r.Record(currentIncarnation, hookhall.Advisory{Leaving: true}, at(0), at(0))
	r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Second), at(time.Second))
	if !r.Status(currentIncarnation).Leaving {
		t.Error("target is no longer leaving")
	}
	if c := r.Merge(advisory.Report{Target: hookhall.Target{ID: currentIncarnation.ID, Start: currentIncarnation.Start}, Leaving: true}, at(time.Second)); c.Notify {
		t.Error("peers are notified twice of the same status")
	}
	if r.Status(hookhall.Incarnation{ID: currentIncarnation.ID, Start: 2}).Leaving {
		t.Error("next incarnation is leaving")
	}
}

// TestPrune guards against entries that are never removed, and against a count of limits and
// pauses that disagrees with the entries.
func TestPrune(t *testing.T) {
	allCurrent := func(hookhall.Incarnation) bool { return true }
	other := hookhall.Incarnation{ID: "other"}
	r := &advisory.Registry{}
	check := func(situation string, unrestricted bool) {
		t.Helper()
		if r.Unrestricted() != unrestricted {
			t.Errorf("%s: unrestricted is %v", situation, !unrestricted)
		}
	}
	r.Record(other, hookhall.Advisory{Leaving: true}, at(0), at(0))
	check("one target is leaving", true)
	r.Record(currentIncarnation, hookhall.Advisory{Pause: time.Second}, at(0), at(0))
	check("one target is paused", false)
	r.Prune(allCurrent, at(2*time.Second))
	check("the pause has ended", true)
	r.Record(currentIncarnation, limited(1), at(0), at(0))
	r.Prune(allCurrent, at(time.Hour))
	check("one target is limited", false)
	r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Hour), at(time.Hour))
	check("the limit has just ended", false)
	r.Prune(allCurrent, at(2*time.Hour))
	check("the limit ended long ago", true)
	if !r.Status(other).Leaving {
		t.Error("entry of a target that is leaving was removed")
	}
	r.Prune(func(hookhall.Incarnation) bool { return false }, at(2*time.Hour))
	if r.Status(other).Leaving {
		t.Error("entry of an ended incarnation was kept")
	}
}

// TestPauseAcrossRestart guards against losing a pause that a new incarnation requested
// before it was known here, when it was recorded for the previous incarnation. A pause that
// was requested long before the restart must not be copied.
func TestPauseAcrossRestart(t *testing.T) {
	next := hookhall.Incarnation{ID: currentIncarnation.ID, Start: 2}
	for name, c := range map[string]struct {
		detectedAfter time.Duration // from the pause until the new incarnation is known
		kept          bool
	}{"a moment before": {300 * time.Millisecond, true}, "long before": {30 * time.Second, false}} {
		t.Run(name, func(t *testing.T) {
			r := &advisory.Registry{}
			r.Record(currentIncarnation, hookhall.Advisory{Leaving: true, Pause: time.Minute}, at(0), at(0))
			r.TransferPause(currentIncarnation, next, at(c.detectedAfter))
			got := r.Status(next)
			if paused := got.PausedUntil.After(at(c.detectedAfter)); paused != c.kept {
				t.Errorf("new incarnation is paused: %v", paused)
			}
			if got.Leaving {
				t.Error("new incarnation is leaving")
			}
		})
	}
}
