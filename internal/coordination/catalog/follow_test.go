// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// TestTargetsAreWatched: the reader learns of a change at once, and reads all targets
// seldom, whatever the store's watch does.
func TestTargetsAreWatched(t *testing.T) {
	begun := func() *fakeStore {
		s := newFakeStore()
		s.targets = map[string]string{"a": "", "b": "", "c": "", "d": "", "e": ""}
		s.staleTargets = maps.Clone(s.targets)
		s.update(func() {})
		return s
	}
	t.Run("a change is known in a moment", func(t *testing.T) {
		s := begun()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(2 * time.Second)
			s.update(func() { s.targets["b"] = "leaving"; delete(s.targets, "c"); s.targets["new"] = "" })
			time.Sleep(time.Millisecond)
			expectUsable(t, c, "a", "d", "e", "new")
		})
	})
	t.Run("in calm, all are read every ten seconds, and the age stays low", func(t *testing.T) {
		s := begun()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.mu.Lock()
			s.targetReads, s.targetWatches = 0, 0
			s.mu.Unlock()
			for range 60 {
				time.Sleep(time.Second)
				if age := c.TargetsAge(time.Now()); age > readInterval+pollInterval {
					t.Fatalf("the targets' age is %v", age)
				}
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.targetReads > 7 || s.targetWatches > 160 {
				t.Errorf("%d readings and %d watches in a minute", s.targetReads, s.targetWatches)
			}
		})
	})
	t.Run("what a watch hides is known with the next reading", func(t *testing.T) {
		s := begun()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.mu.Lock()
			delete(s.targets, "c")
			s.targetsByRevision[s.revision] = maps.Clone(s.targets) // as if the watch had told it
			s.revision++
			s.targetsByRevision[s.revision] = s.targetsByRevision[s.revision-1]
			s.mu.Unlock()
			time.Sleep(2 * time.Second)
			expectUsable(t, c, "a", "b", "c", "d", "e")
			time.Sleep(fullReadInterval)
			expectUsable(t, c, "a", "b", "d", "e")
		})
	})
	t.Run("a store that forgets its history is read whole at once", func(t *testing.T) {
		s := begun()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.mu.Lock()
			s.revision += 5
			delete(s.targets, "c")
			s.oldestRevision = s.revision
			s.mu.Unlock()
			time.Sleep(time.Second)
			expectUsable(t, c, "a", "b", "d", "e")
		})
	})
	t.Run("those that lapsed in an outage stay for two seconds", func(t *testing.T) {
		s := begun()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.update(func() { s.down = true })
			time.Sleep(3 * time.Second)
			s.update(func() { s.down = false; s.targets = map[string]string{"a": ""} })
			time.Sleep(1500 * time.Millisecond)
			expectUsable(t, c, "a", "b", "c", "d", "e")
			time.Sleep(3 * time.Second)
			expectUsable(t, c, "a")
		})
	})
}

// TestRepair: whatever was lost, a repair of the differing buckets brings the peer's
// list, and digests always sum up what is listed.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.Learn(readyReading(1, "x0"), "store")
		follower.Learn(readyReading(1, "x0"), "store")
		summed := func(c *Catalog) {
			var want Digests
			for key, e := range c.entriesByKey {
				if e.missingSince.IsZero() {
					want[bucketOf(key)] ^= e.digest
				}
			}
			if want != c.bucketDigests {
				t.Fatal("the digests are not those of what is listed")
			}
		}
		for at := hookhall.Revision(2); at < 12; at++ {
			r := Reading{Revision: at, Began: time.Now()}
			for i := range rapid.IntRange(0, 200).Draw(t, "targets") {
				value := rapid.SampledFrom([]string{"ready", "leaving", "cold 1 2000", "cold 2 0"}).Draw(t, "value")
				r.Items = append(r.Items, hookhall.Item{Key: fmt.Sprint("t/x", i*rapid.IntRange(1, 3).Draw(t, "step")), Value: []byte(value)})
			}
			reader.Learn(r, "store")
			n := reader.News(time.Now())
			if rapid.Bool().Draw(t, "part of the news is lost") {
				n.Gone = nil
				n.Changed = n.Changed[:len(n.Changed)/2]
			}
			if _, gap := follower.LearnNews(n, "reader"); gap {
				if !follower.LearnRepair(reader.Differing(follower.Digests()), "reader") {
					t.Fatal("the repair left a gap")
				}
			}
			summed(reader)
			summed(follower)
			if follower.Picture().Digest != reader.Picture().Digest || follower.Picture().Revision != at {
				t.Fatal("the follower is not up to date")
			}
		}
	})
}

// TestBadRepair: a repair that does not fit changes neither age nor revision.
func TestBadRepair(t *testing.T) {
	c := newCatalog(newFakeStore())
	c.Learn(readyReading(5, "a", "b"), "store")
	for name, r := range map[string]Repair{
		"older":               {Reading: readyReading(4, "a"), Buckets: []int{0}},
		"an unknown bucket":   {Reading: readyReading(6, "a"), Buckets: []int{Buckets}},
		"another digest":      {Reading: readyReading(6, "a", "c"), Buckets: []int{bucketOf("t/c")}, Digest: 1},
		"nothing from nobody": {},
	} {
		t.Run(name, func(t *testing.T) {
			if c.LearnRepair(r, "peer") || c.Picture().Revision != 5 {
				t.Error("it was taken for a whole list")
			}
		})
	}
}

// BenchmarkChange is news at a follower that one target of n has changed.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
			r := Reading{Revision: 1, Began: time.Now()}
			for i := range n {
				r.Items = append(r.Items, hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte("ready")})
			}
			reader.Learn(r, "store")
			follower.Learn(r, "store")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				value := []string{"leaving", "ready"}[i%2]
				began := time.Now()
				reader.Follow([]hookhall.Item{{Key: "t/target-7", Value: []byte(value)}}, hookhall.Revision(i+2), began)
				changed := hookhall.Item{Key: "t/target-7", Value: []byte(value)}
				follower.LearnNews(News{Revision: hookhall.Revision(i + 2), Began: began, Digest: reader.Picture().Digest, Changed: []hookhall.Item{changed}}, "reader")
			}
		})
	}
}

// TestNoTableRetryDelay: while operators have written no table, those that others
// tell leave the store alone.
func TestNoTableRetryDelay(t *testing.T) {
	for rank, most := range map[int]int{0: 60, maxRank: 15} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				c := newCatalog(s)
				c.Rank = func() int { return rank }
				ctx, cancel := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { c.Run(ctx) })
				time.Sleep(14 * time.Second)
				s.mu.Lock()
				if s.operatorReads > most || s.operatorReads < 5 {
					t.Errorf("asked %d times in 14 s", s.operatorReads)
				}
				s.mu.Unlock()
				s.setTable(1)
				time.Sleep(3 * time.Second)
				if c.Table() == nil {
					t.Error("the first table is not known three seconds later")
				}
				cancel()
				run.Wait()
			})
		})
	}
}
