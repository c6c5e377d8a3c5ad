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
	// minOwnerTime is the minimum time between two changes of the list of members, and so of
	// the owner.
	minOwnerTime = time.Second
)

// allowed returns how many requests a target may get within a window at a limit of rate
// requests per second.
func allowed(rate float64) int { return int(1.5*rate*window.Seconds() + 5) }

// checkWindows fails if any window has more grants than the rate allows.
func checkWindows(t interface{ Fatalf(string, ...any) }, grants []time.Time, rate float64) {
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

// reportOf returns a peer's report of a limit.
func reportOf(l advisory.Limit) advisory.Report {
	return advisory.Report{Target: hookhall.Target{ID: currentIncarnation.ID, Start: currentIncarnation.Start}, Limit: l}
}

// newLimitedRegistry returns the registry of one instance with a limit that all instances know.
func newLimitedRegistry(rate float64) *advisory.Registry {
	r := &advisory.Registry{}
	r.Merge(reportOf(advisory.Limit{Named: true, Rate: rate, Heard: start}), start)
	return r
}

// TestGrantsOverOwnersInSeries guards against exceeding a limit while its owner changes.
// Owners are killed at random times or change as often as the list of members does, and a
// stand-in grants a quarter of the rate at the same time.
func TestGrantsOverOwnersInSeries(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.25, 1, 2.5, 10, 60}).Draw(r, "rate")
		owners := rapid.IntRange(1, 3).Draw(r, "owners")
		registries := make([]*advisory.Registry, owners)
		for i := range registries {
			registries[i] = newLimitedRegistry(rate)
		}
		standIn := newLimitedRegistry(rate)
		owner, changedAt := 0, start
		var grants []time.Time
		reserve := func(registry *advisory.Registry, share float64, now time.Time) {
			g := advisory.Grants{Registry: registry, Share: share}
			for range 3 {
				if _, ok := g.Reserve(currentIncarnation, 0, now); ok {
					grants = append(grants, now)
				}
			}
		}
		for now := start; now.Before(at(20 * time.Second)); now = now.Add(step) {
			switch rapid.IntRange(0, 60).Draw(r, "event") {
			case 0: // another instance becomes the owner
				if now.Sub(changedAt) >= minOwnerTime {
					owner, changedAt = rapid.IntRange(0, owners-1).Draw(r, "owner"), now
				}
			case 1: // the owner is killed and replaced by a new process
				registries[owner] = newLimitedRegistry(rate)
			}
			reserve(registries[owner], 1, now)
			reserve(standIn, 0.25, now)
		}
		checkWindows(r, grants, rate)
	})
}

// TestGrantsUseTheRate guards against a rate that is not used up by steady demand.
func TestGrantsUseTheRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 4} {
		g, n := advisory.Grants{Registry: newLimitedRegistry(rate), Share: 1}, 0
		for now := start; now.Before(at(20 * time.Second)); now = now.Add(step) {
			if _, ok := g.Reserve(currentIncarnation, 0, now); ok {
				n++
			}
		}
		if want := int(rate*20) - 1; n < want {
			t.Errorf("%d grants within 20 s at a limit of %g/s", n, rate)
		}
	}
}

// TestReservations guards against requests that reserve the same token. Waiting requests get
// tokens one after the other; one that would have to wait too long takes none and gets the
// time until the next one.
func TestReservations(t *testing.T) {
	g := advisory.Grants{Registry: newLimitedRegistry(2), Share: 1}
	g.Due(currentIncarnation, at(0)) // starts to fill the bucket
	for i, want := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		if wait, ok := g.Reserve(currentIncarnation, 2*time.Second, at(0)); !ok || wait != want {
			t.Errorf("token %d is due after %v, %v; want %v", i, wait, ok, want)
		}
	}
	if wait, ok := g.Reserve(currentIncarnation, time.Second, at(0)); ok || wait != 2*time.Second {
		t.Errorf("request with too short a wait got %v, %v", wait, ok)
	}
	if wait, ok := g.Reserve(currentIncarnation, 2*time.Second, at(time.Second)); !ok || wait != time.Second {
		t.Errorf("a second later the next token is due after %v, %v", wait, ok)
	}
}

// TestGrantsOfNoShare guards against an instance without a share that grants requests to
// limited targets, or that refuses them to others.
func TestGrantsOfNoShare(t *testing.T) {
	g := advisory.Grants{Registry: newLimitedRegistry(100)}
	if wait, ok := g.Reserve(currentIncarnation, time.Hour, at(time.Hour)); ok || wait != advisory.Never {
		t.Errorf("limited target is due after %v, %v", wait, ok)
	}
	if wait, ok := g.Reserve(hookhall.Incarnation{ID: "other"}, 0, at(0)); !ok || wait != 0 {
		t.Errorf("unlimited target is due after %v, %v", wait, ok)
	}
}

// TestMerge guards against an old report that replaces a more recent limit, and against
// notifying peers of what they already know.
func TestMerge(t *testing.T) {
	r := &advisory.Registry{}
	check := func(situation string, c advisory.Change, notify bool, rate float64) {
		t.Helper()
		if c.Notify != notify {
			t.Errorf("%s: notify is %v", situation, c.Notify)
		}
		checkLimit(t, r, currentIncarnation, rate)
	}
	check("first report", r.Merge(reportOf(advisory.Limit{Named: true, Rate: 2, Heard: at(time.Second)}), at(10*time.Second)), true, 2)
	check("same limit again", r.Merge(reportOf(advisory.Limit{Named: true, Rate: 2, Heard: at(2 * time.Second)}), at(10*time.Second)), false, 2)
	check("older report", r.Merge(reportOf(advisory.Limit{Named: true, Rate: 9, Heard: at(time.Second)}), at(10*time.Second)), false, 2)
	check("own response, slightly lower", r.Record(currentIncarnation, limited(1.9), at(3*time.Second), at(3*time.Second)), false, 1.9)
	check("own response, much lower", r.Record(currentIncarnation, limited(1), at(4*time.Second), at(4*time.Second)), true, 1)
	check("report of the end", r.Merge(reportOf(advisory.Limit{Heard: at(5 * time.Second)}), at(10*time.Second)), true, -1)
}

// BenchmarkChoice measures the cost of a choice among 620 targets while one is limited.
func BenchmarkChoice(b *testing.B) {
	registry := newLimitedRegistry(1)
	g := advisory.Grants{Registry: registry, Share: 1}
	targets := make([]hookhall.Target, 620)
	for i := range targets {
		targets[i] = hookhall.Target{ID: fmt.Sprintf("%04d", i), Start: 1}
	}
	registry.Record(targets[7].Incarnation(), hookhall.Advisory{Pause: time.Hour}, start, start)
	for b.Loop() {
		registry.Reports(targets, start)
		registry.Paused(targets, start)
		for _, t := range targets {
			g.Due(t.Incarnation(), start)
		}
	}
}
