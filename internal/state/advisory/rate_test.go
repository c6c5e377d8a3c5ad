// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"pgregory.net/rapid"
)

const (
	window = 4 * time.Second
	step   = 20 * time.Millisecond
	// listTime is the least time between two changes of the list of members.
	listTime = time.Second
)

// allowed is how many requests a target with a rate limit may get within a window.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }

// holdWindows fails if a window has more grants than a rate allows.
func holdWindows(t interface{ Fatalf(string, ...any) }, grants []time.Time, rate float64) {
	first := 0
	for i, at := range grants {
		for at.Sub(grants[first]) >= window {
			first++
		}
		if n := i - first + 1; n > allowed(rate) {
			t.Fatalf("%d grants within %v at a limit of %g/s; %d are allowed", n, window, rate, allowed(rate))
		}
	}
}

// reportOf is a peer's report of a limit.
func reportOf(l advisory.Limit) advisory.Report {
	return advisory.Report{Target: hookhall.Target{ID: life.ID, Born: life.Born}, Limit: l}
}

// granter is one instance's book with a limit that all know.
func granter(rate float64) *advisory.Book {
	b := &advisory.Book{}
	b.Merge(reportOf(advisory.Limit{Named: true, Rate: rate, Heard: start}), start)
	return b
}

// TestGrantsOverOwnersInSeries: owners that are killed at any pace, or that change as often
// as lists of members do, grant no more than the bound, with a stand-in beside them.
func TestGrantsOverOwnersInSeries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.25, 1, 2.5, 10, 60}).Draw(r, "rate")
		owners := rapid.IntRange(1, 3).Draw(r, "owners")
		books := make([]*advisory.Book, owners)
		for i := range books {
			books[i] = granter(rate)
		}
		standIn := granter(rate)
		owner, changed := 0, start
		var grants []time.Time
		ask := func(b *advisory.Book, share float64, now time.Time) {
			g := advisory.Grants{Book: b, Share: share}
			for range 3 {
				if _, ok := g.Reserve(life, 0, now); ok {
					grants = append(grants, now)
				}
			}
		}
		for now := start; now.Before(at(20 * time.Second)); now = now.Add(step) {
			switch rapid.IntRange(0, 60).Draw(r, "event") {
			case 0: // another instance is the owner
				if now.Sub(changed) >= listTime {
					owner, changed = rapid.IntRange(0, owners-1).Draw(r, "owner"), now
				}
			case 1: // the owner is killed, and one that starts takes its place
				books[owner] = granter(rate)
			}
			ask(books[owner], 1, now)
			ask(standIn, 0.25, now)
		}
		holdWindows(r, grants, rate)
	})
}

// TestGrantsUseTheRate: a steady demand gets the whole rate.
func TestGrantsUseTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 4} {
		g, n := advisory.Grants{Book: granter(rate), Share: 1}, 0
		for now := start; now.Before(at(20 * time.Second)); now = now.Add(step) {
			if _, ok := g.Reserve(life, 0, now); ok {
				n++
			}
		}
		if want := int(rate*20) - 1; n < want {
			t.Errorf("%d grants in 20 s at a limit of %g/s", n, rate)
		}
	}
}

// TestReservations: requests that may wait get their turns one after the other, and the
// first that would have to wait too long is told when its turn would be.
func TestReservations(t *testing.T) {
	g := advisory.Grants{Book: granter(2), Share: 1}
	g.Due(life, at(0)) // from now on the bucket fills
	for i, want := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		if wait, ok := g.Reserve(life, 2*time.Second, at(0)); !ok || wait != want {
			t.Errorf("turn %d is after %v, %v; want %v", i, wait, ok, want)
		}
	}
	if wait, ok := g.Reserve(life, time.Second, at(0)); ok || wait != 2*time.Second {
		t.Errorf("a request that can't wait got %v, %v", wait, ok)
	}
	if wait, ok := g.Reserve(life, 2*time.Second, at(time.Second)); !ok || wait != time.Second {
		t.Errorf("a second later the next turn is after %v, %v", wait, ok)
	}
}

// TestGrantsOfNoShare: an instance without a share grants limited targets nothing, and
// others anything.
func TestGrantsOfNoShare(t *testing.T) {
	g := advisory.Grants{Book: granter(100)}
	if wait, ok := g.Reserve(life, time.Hour, at(time.Hour)); ok || wait != advisory.Never {
		t.Errorf("a limited target is due after %v, %v", wait, ok)
	}
	if wait, ok := g.Reserve(hookhall.Life{ID: "other"}, 0, at(0)); !ok || wait != 0 {
		t.Errorf("another target is due after %v, %v", wait, ok)
	}
}

// TestMerge: the limit that was heard last wins, and peers are notified once.
func TestMerge(t *testing.T) {
	b := &advisory.Book{}
	hold := func(what string, c advisory.Change, notify bool, rate float64) {
		t.Helper()
		if c.Notify != notify {
			t.Errorf("%s: notify is %v", what, c.Notify)
		}
		holdLimit(t, b, life, rate)
	}
	hold("begins", b.Merge(reportOf(advisory.Limit{Named: true, Rate: 2, Heard: at(time.Second)}), at(10*time.Second)), true, 2)
	hold("again", b.Merge(reportOf(advisory.Limit{Named: true, Rate: 2, Heard: at(2 * time.Second)}), at(10*time.Second)), false, 2)
	hold("older", b.Merge(reportOf(advisory.Limit{Named: true, Rate: 9, Heard: at(time.Second)}), at(10*time.Second)), false, 2)
	hold("own, a little less", b.Record(life, limited(1.9), at(3*time.Second), at(3*time.Second)), false, 1.9)
	hold("own, much less", b.Record(life, limited(1), at(4*time.Second), at(4*time.Second)), true, 1)
	hold("ends", b.Merge(reportOf(advisory.Limit{Heard: at(5 * time.Second)}), at(10*time.Second)), true, -1)
}

// BenchmarkChoice is what a choice among many targets costs while one of them is limited.
func BenchmarkChoice(b *testing.B) {
	book := granter(1)
	g := advisory.Grants{Book: book, Share: 1}
	targets := make([]hookhall.Target, 620)
	for i := range targets {
		targets[i] = hookhall.Target{ID: fmt.Sprintf("%04d", i), Born: 1}
	}
	book.Record(targets[7].Life(), hookhall.Advisory{Pause: time.Hour}, start, start)
	for b.Loop() {
		book.Reports(targets, start)
		book.Paused(targets, start)
		for _, t := range targets {
			g.Due(t.Life(), start)
		}
	}
}
