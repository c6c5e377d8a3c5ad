// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// startWithCopy runs a catalog whose initial copy of the targets lacks the last change: "new"
// was listed, and "old" left.
func startWithCopy(t *testing.T, rank int, f func(s *fakeStore, c *Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.setTable(1)
		s.update(func() {
			s.staleTargets = map[string]string{"a": "", "old": ""}
			s.targets = map[string]string{"a": "", "new": ""}
		})
		c := newCatalog(s)
		c.ReaderRank = func() int { return rank }
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { c.Run(ctx) })
		f(s, c)
		cancel()
		run.Wait()
	})
}

// expectUsable checks which targets are usable.
func expectUsable(t *testing.T, c *Catalog, want ...string) {
	t.Helper()
	got := map[string]bool{}
	for _, o := range c.Targets("pool") {
		got[o.ID] = true
	}
	expected := map[string]bool{}
	for _, id := range want {
		expected[id] = true
	}
	if !maps.Equal(got, expected) {
		t.Errorf("%v are usable, not %v", got, want)
	}
}

// TestStartWithCopy guards against a full read by every process when a whole fleet starts at once.
func TestStartWithCopy(t *testing.T) {
	t.Run("ready with the copy, then brought up to date by updates without a read", func(t *testing.T) {
		startWithCopy(t, maxRank, func(s *fakeStore, c *Catalog) {
			time.Sleep(100 * time.Millisecond)
			if !c.Ready() {
				t.Fatal("not ready")
			}
			expectUsable(t, c, "a", "old")
			reader := newCatalog(s)
			copied, at, _ := s.RangeStale(t.Context(), "t/")
			reader.ApplyReading(Reading{at, copied, time.Now()}, "store")
			for range 8 {
				time.Sleep(readInterval)
				reader.ApplyReading(readingOf(t, s), "store")
				c.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")
			}
			expectUsable(t, c, "a", "new")
			if s.targetReads != 8 {
				t.Errorf("%d full reads, of which the reader made 8", s.targetReads)
			}
		})
	})
	t.Run("reads the store without updates from peers", func(t *testing.T) {
		startWithCopy(t, maxRank, func(s *fakeStore, c *Catalog) {
			time.Sleep(confirmTimeout + 2*pollInterval)
			expectUsable(t, c, "a", "new")
		})
	})
	t.Run("the first reader reads the store at once", func(t *testing.T) {
		startWithCopy(t, 0, func(s *fakeStore, c *Catalog) {
			time.Sleep(3 * pollInterval)
			expectUsable(t, c, "a", "new")
		})
	})
}

// TestFirstReadingIsNoChange checks that a process that has just started sends what changed since
// its first reading, not the whole reading. When all of 295 gateways before 285 targets start at
// once, sending all of it for three seconds would take half of a link of 20 Mbit/s.
func TestFirstReadingIsNoChange(t *testing.T) {
	s := newFakeStore()
	s.update(func() { s.targets = map[string]string{"a": "", "b": ""} })
	c := newCatalog(s)
	c.ApplyReading(readingOf(t, s), "store")
	if update := c.RecentUpdate(time.Now()); len(update.Changed) != 0 || update.Digest == 0 {
		t.Errorf("%d targets are sent after the first reading, digest %x", len(update.Changed), update.Digest)
	}
	s.update(func() { s.targets["c"] = "" })
	c.ApplyReading(readingOf(t, s), "store")
	if update := c.RecentUpdate(time.Now()); len(update.Changed) != 1 || update.Changed[0].Key != "t/c" {
		t.Errorf("%v is sent after the second", update.Changed)
	}
}

// readingOf reads all targets as the first reader does.
func readingOf(t *testing.T, s *fakeStore) Reading {
	t.Helper()
	began := time.Now()
	items, at, err := s.Range(t.Context(), "t/")
	if err != nil {
		t.Fatal(err)
	}
	return Reading{at, items, began}
}
