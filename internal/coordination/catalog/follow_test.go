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

// TestTargetsAreWatched checks that the first reader learns of a change at once and rarely lists
// all targets, and that a full read corrects whatever the watch missed.
func TestTargetsAreWatched(t *testing.T) {
	newStore := func() *fakeStore {
		s := newFakeStore()
		s.targets = map[string]string{"a": "", "b": "", "c": "", "d": "", "e": ""}
		s.staleTargets = maps.Clone(s.targets)
		s.update(func() {})
		return s
	}
	t.Run("a change is applied when the watch returns", func(t *testing.T) {
		s := newStore()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(2 * time.Second)
			s.update(func() { s.targets["b"] = "leaving"; delete(s.targets, "c"); s.targets["new"] = "" })
			time.Sleep(time.Millisecond)
			expectUsable(t, c, "a", "d", "e", "new")
		})
	})
	t.Run("without changes, full reads are ten seconds apart and the age stays low", func(t *testing.T) {
		s := newStore()
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
				t.Errorf("%d full reads and %d watches in a minute", s.targetReads, s.targetWatches)
			}
		})
	})
	t.Run("a change that the watch missed is applied at the next full read", func(t *testing.T) {
		s := newStore()
		runCatalog(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.mu.Lock()
			delete(s.targets, "c")
			s.targetsByRevision[s.revision] = maps.Clone(s.targets) // as if the watch had returned it
			s.revision++
			s.targetsByRevision[s.revision] = s.targetsByRevision[s.revision-1]
			s.mu.Unlock()
			time.Sleep(2 * time.Second)
			expectUsable(t, c, "a", "b", "c", "d", "e")
			time.Sleep(fullReadInterval)
			expectUsable(t, c, "a", "b", "d", "e")
		})
	})
	t.Run("after the store loses its history, all targets are read at once", func(t *testing.T) {
		s := newStore()
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
	t.Run("targets that lapsed in an outage stay usable for two seconds", func(t *testing.T) {
		s := newStore()
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

// TestRepair checks that a repair brings the peer's list, whatever updates were lost, by the
// changes since the own revision and by the differing buckets, and that the digests always match
// the listed targets.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		first := readyReading(1, "x0")
		first.Items[0].Revision = 1
		reader.ApplyReading(first, "store")
		follower.ApplyReading(first, "store")
		checkDigests := func(c *Catalog) {
			var want Digests
			for key, e := range c.entriesByKey {
				if e.missingSince.IsZero() {
					want[bucketOf(key)] ^= e.digest
				}
			}
			if want != c.bucketDigests {
				t.Fatal("the digests do not match the listed targets")
			}
		}
		lastChange := map[string]hookhall.Item{first.Items[0].Key: first.Items[0]} // as the store has it
		for at := hookhall.Revision(2); at < 12; at++ {
			r := Reading{Revision: at, Began: time.Now()}
			listed := map[string]bool{}
			for i := range rapid.IntRange(0, 200).Draw(t, "targets") {
				value := rapid.SampledFrom([]string{"ready", "leaving", "cold 1 2000", "cold 2 0"}).Draw(t, "value")
				item := hookhall.Item{Key: fmt.Sprint("t/x", i*rapid.IntRange(1, 3).Draw(t, "step")), Value: []byte(value), Revision: at}
				if listed[item.Key] {
					continue
				}
				listed[item.Key] = true
				if last, ok := lastChange[item.Key]; ok && string(last.Value) == value {
					item = last
				}
				lastChange[item.Key] = item
				r.Items = append(r.Items, item)
			}
			for key := range lastChange {
				if !listed[key] {
					delete(lastChange, key)
				}
			}
			reader.ApplyReading(r, "store")
			update := reader.RecentUpdate(time.Now())
			if rapid.Bool().Draw(t, "part of the update is lost") {
				update.Gone = nil
				update.Changed = update.Changed[:len(update.Changed)/2]
			}
			if _, gap := follower.ApplyUpdate(update, "reader"); gap {
				request := follower.RepairRequest()
				if rapid.Bool().Draw(t, "by buckets") {
					request.Since = 0
				}
				repair := reader.RepairFor(request)
				if !follower.ApplyRepair(repair, "reader") {
					t.Fatal("the repair left a gap")
				}
				for _, i := range repair.Items {
					if repair.Since > 0 && i.Revision <= repair.Since {
						t.Fatal("a repair has a change that the follower knows")
					}
				}
			}
			checkDigests(reader)
			checkDigests(follower)
			if follower.Snapshot().Digest != reader.Snapshot().Digest || follower.Snapshot().Revision != at {
				t.Fatal("the follower is not up to date")
			}
		}
	})
}

// TestBadRepair checks that an invalid repair changes neither age nor revision.
func TestBadRepair(t *testing.T) {
	c := newCatalog(newFakeStore())
	c.ApplyReading(readyReading(5, "a", "b"), "store")
	for name, r := range map[string]Repair{
		"older":             {Reading: readyReading(4, "a"), Buckets: []int{0}},
		"an unknown bucket": {Reading: readyReading(6, "a"), Buckets: []int{BucketCount}},
		"another digest":    {Reading: readyReading(6, "a", "c"), Buckets: []int{bucketOf("t/c")}, Digest: 1},
		"empty":             {},
	} {
		t.Run(name, func(t *testing.T) {
			if c.ApplyRepair(r, "peer") || c.Snapshot().Revision != 5 {
				t.Error("an invalid repair was accepted")
			}
		})
	}
}

// BenchmarkChange measures a change of one target of n, at the reader and at a follower.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 3000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
			r := Reading{Revision: 1, Began: time.Now()}
			for i := range n {
				r.Items = append(r.Items, hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte("ready")})
			}
			reader.ApplyReading(r, "store")
			follower.ApplyReading(r, "store")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				value := []string{"leaving", "ready"}[i%2]
				began := time.Now()
				reader.ApplyEvents([]hookhall.Item{{Key: "t/target-7", Value: []byte(value)}}, hookhall.Revision(i+2), began)
				changed := hookhall.Item{Key: "t/target-7", Value: []byte(value)}
				follower.ApplyUpdate(Update{Revision: hookhall.Revision(i + 2), Began: began, Digest: reader.Snapshot().Digest, Changed: []hookhall.Item{changed}}, "reader")
			}
		})
	}
}

// TestNoTableRetryDelay checks that processes that rely on peers rarely ask the store for the
// table while operators have not written one.
func TestNoTableRetryDelay(t *testing.T) {
	for rank, maxReads := range map[int]int{0: 60, maxRank: 15} {
		t.Run(fmt.Sprint("rank ", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				c := newCatalog(s)
				c.ReaderRank = func() int { return rank }
				ctx, cancel := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { c.Run(ctx) })
				time.Sleep(14 * time.Second)
				s.mu.Lock()
				if s.operatorReads > maxReads || s.operatorReads < 5 {
					t.Errorf("%d reads in 14 s", s.operatorReads)
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
