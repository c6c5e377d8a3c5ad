// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestTurns: while the news of the first that asks the store gets around, few others begin
// to ask, however many there are; and one begins at once.
func TestTurns(t *testing.T) {
	for _, n := range []int{9, 90, 300, 986, 2000, 10000} {
		t.Run(fmt.Sprint(n, " processes"), func(t *testing.T) {
			first, early := 1.0, 0
			for i := range n {
				at := turn((float64(i)+0.5)/float64(n), n)
				if at < 0 || at > 1 {
					t.Fatalf("a turn at %v", at)
				}
				first = min(first, at)
				if at <= 0.25 {
					early++
				}
			}
			if first > 0 || early > 12 {
				t.Errorf("the first turn is at %v, and %d are in the first quarter", first, early)
			}
		})
	}
}

// TestOthersAskForChanges: a process that others have told reads no list when their news
// ceases, but asks what has changed since then.
func TestOthersAskForChanges(t *testing.T) {
	beginsWithCopy(t, rankMost, func(s *fakeStore, c *Catalog) {
		time.Sleep(100 * time.Millisecond)
		reader := newCatalog(s)
		copied, at, _ := s.RangeStale(t.Context(), "t/")
		reader.Learn(Reading{at, copied, time.Now()}, "store")
		reader.Learn(readingOf(t, s), "store")
		c.LearnNews(reader.News(time.Now()), "reader")
		knows(t, c, "a", "new")
		s.mu.Lock()
		s.ranges, s.watches = 0, 0
		s.mu.Unlock()
		s.change(func() { delete(s.targets, "a"); s.targets["b"] = "" })
		time.Sleep(4 * time.Second)
		knows(t, c, "b", "new")
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ranges > 0 || s.watches == 0 || s.watches > 6 {
			t.Errorf("%d readings, %d watches", s.ranges, s.watches)
		}
	})
}

// TestManyChanges: what many changes at once mean to one that does not read for all.
func TestManyChanges(t *testing.T) {
	many := func(s *fakeStore) {
		for i := range partMost + 1 {
			s.targets[fmt.Sprint("more-", i)] = ""
		}
	}
	t.Run("those that came are taken from the answer", func(t *testing.T) {
		beginsWithCopy(t, rankMost, func(s *fakeStore, c *Catalog) {
			time.Sleep(2 * time.Second) // it has read for itself
			s.change(func() { many(s) })
			time.Sleep(4 * time.Second)
			s.mu.Lock()
			defer s.mu.Unlock()
			if n := len(c.Targets("pool")); n != partMost+3 || s.ranges != 1 {
				t.Errorf("%d targets are usable after %d readings", n, s.ranges)
			}
		})
	})
	t.Run("those that went are read whole", func(t *testing.T) {
		beginsWithCopy(t, rankMost, func(s *fakeStore, c *Catalog) {
			time.Sleep(2 * time.Second) // it has read for itself
			s.change(func() { many(s) })
			time.Sleep(4 * time.Second)
			s.change(func() { s.targets = map[string]string{"a": ""} })
			time.Sleep(2500 * time.Millisecond)
			if n := len(c.Targets("pool")); n != partMost+3 {
				t.Errorf("%d targets are usable, though leases may have run out", n)
			}
			time.Sleep(4 * time.Second)
			knows(t, c, "a")
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.ranges != 2 {
				t.Errorf("%d readings", s.ranges)
			}
		})
	})
}

// TestFirstTableIsTold: a fleet that starts before the operators' first table leaves it to
// those that read for all, as long as they say that there is none.
func TestFirstTableIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		c := newCatalog(s)
		c.Rank = func() int { return rankMost }
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { c.Run(ctx) })
		for range 50 {
			time.Sleep(readEvery)
			c.LearnNoTable(time.Now())
		}
		s.mu.Lock()
		if s.gets > 2 {
			t.Errorf("it asked %d times in 20 s", s.gets)
		}
		s.mu.Unlock()
		s.setTable(1)
		time.Sleep(noTableKeeps + 2*look)
		if c.Table() == nil {
			t.Error("it does not ask for itself when nobody tells it any more")
		}
		cancel()
		run.Wait()
	})
}

// TestTellers: of all that read for themselves, a few tell it to everybody.
func TestTellers(t *testing.T) {
	const n = 986
	for rank, want := range map[int]int{0: n, 1: n, rankMost: tellersMost} {
		told := 0
		for i := range n {
			c := newCatalog(newFakeStore())
			c.Rank, c.Fleet = func() int { return rank }, func() int { return n }
			c.Read = func() { told++ }
			c.place = float64(i+1) / n
			c.tell()
		}
		if told != want {
			t.Errorf("%d of %d with rank %d tell others, not %d", told, n, rank, want)
		}
	}
}

// TestNewsOfThousands: what changed by thousands is not told with the news, and its digest
// shows others that they lack it.
func TestNewsOfThousands(t *testing.T) {
	s := newFakeStore()
	c, other := newCatalog(s), newCatalog(s)
	for _, x := range []*Catalog{c, other} {
		x.Learn(Reading{Revision: 1, Began: time.Now()}, "store")
	}
	s.change(func() {
		s.at = 5
		for i := range newsMost + 1 {
			s.targets[fmt.Sprint("more-", i)] = ""
		}
	})
	c.Learn(readingOf(t, s), "store")
	n := c.News(time.Now())
	if len(n.Changed) > 0 {
		t.Errorf("%d changes are told", len(n.Changed))
	}
	if _, gap := other.LearnNews(n, "reader"); !gap {
		t.Error("the other does not see that it lacks something")
	}
	other.LearnRepair(c.Differing(other.Digests()), "reader")
	if got := len(other.Targets("pool")); got != newsMost+1 {
		t.Errorf("%d targets are known after the repair", got)
	}
}
