// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// slowStore takes slowRangeDelay to list all targets, as in a large fleet.
type slowStore struct {
	*fakeStore
	slow atomic.Bool
}

const slowRangeDelay = 3 * time.Second

func (s *slowStore) Range(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	items, at, err := s.fakeStore.Range(ctx, prefix)
	if s.slow.Load() && prefix != "op/" {
		for i := range items {
			items[i].Revision = 1 // of the first write of each
		}
		time.Sleep(slowRangeDelay)
	}
	return items, at, err
}

// TestReaderTakesOver checks that a process that becomes the first reader, and has all earlier
// updates, learns of changes at once, though listing all targets takes seconds.
func TestReaderTakesOver(t *testing.T) {
	for name, c := range map[string]struct {
		hasUpdates bool // from peers, until the takeover
		wants      []string
	}{
		"with updates of peers": {true, []string{"a", "c"}},
		"without updates":       {false, []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowStore{fakeStore: newFakeStore()}
				s.targets = map[string]string{"a": "", "b": "", "c": ""}
				s.staleTargets = maps.Clone(s.targets)
				s.update(func() {})
				reader, follower := newCatalog(s), newCatalog(s)
				var rank atomic.Int64
				rank.Store(maxRank)
				follower.ReaderRank = func() int { return int(rank.Load()) }
				reader.OnStoreRead = func() {
					if c.hasUpdates {
						follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")
					}
				}
				readerCtx, stopReader := context.WithCancel(t.Context())
				ctx, stop := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { reader.Run(readerCtx) })
				run.Go(func() { follower.Run(ctx) })
				time.Sleep(time.Second)
				s.slow.Store(true)
				stopReader()
				rank.Store(0)
				time.Sleep(100 * time.Millisecond)
				s.update(func() { s.targets["b"] = "leaving" })
				time.Sleep(time.Second)
				expectUsable(t, follower, c.wants...)
				time.Sleep(2 * slowRangeDelay)
				expectUsable(t, follower, "a", "c")
				stop()
				run.Wait()
			})
		})
	}
}

// follow runs f beside a catalog of a store that was made in the same bubble.
func follow(t *testing.T, s hookhall.Store, f func(c *Catalog)) {
	t.Helper()
	c := newCatalog(s)
	ctx, cancel := context.WithCancel(t.Context())
	var run sync.WaitGroup
	run.Go(func() { c.Run(ctx) })
	f(c)
	cancel()
	run.Wait()
}

// TestChangesDuringCheck guards against a first reader that learns of no change while it lists all
// targets to check its watch, and against a list that undoes what the watch brought meanwhile.
func TestChangesDuringCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{fakeStore: newFakeStore()}
		s.targets = map[string]string{"a": "", "b": "", "c": ""}
		s.staleTargets = maps.Clone(s.targets)
		s.update(func() {})
		follow(t, s, func(c *Catalog) {
			time.Sleep(time.Second)
			s.slow.Store(true)
			time.Sleep(fullReadInterval)
			s.update(func() { s.targets["b"] = "leaving"; delete(s.targets, "c"); s.targets["d"] = "" })
			for range 2 * int(slowRangeDelay/time.Second) {
				time.Sleep(time.Second)
				expectUsable(t, c, "a", "d")
				if age := c.TargetsAge(time.Now()); age > readInterval+eventGatherDelay+pollInterval {
					t.Errorf("the targets' age is %v", age)
				}
			}
		})
	})
}

// lossyStore fails the next watches of the targets, as often as losses says.
type lossyStore struct {
	*fakeStore
	losses atomic.Int64
}

func (s *lossyStore) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	if prefix != "op/" && s.losses.Add(-1) >= 0 {
		return nil, 0, hookhall.ErrUnavailable
	}
	return s.fakeStore.Watch(ctx, prefix, since, wait)
}

// TestLostWatch guards against a list of all targets after each watch whose answer is lost.
func TestLostWatch(t *testing.T) {
	for losses, reads := range map[int64]int{1: 0, 2: 1, 5: 1} {
		t.Run(fmt.Sprint(losses), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lossyStore{fakeStore: newFakeStore()}
				s.targets = map[string]string{"a": "", "b": ""}
				s.staleTargets = maps.Clone(s.targets)
				s.update(func() {})
				follow(t, s, func(c *Catalog) {
					time.Sleep(time.Second)
					s.mu.Lock()
					s.targetReads = 0
					s.mu.Unlock()
					s.losses.Store(losses)
					time.Sleep(time.Second)
					s.update(func() { s.targets["b"] = "leaving" })
					time.Sleep(2 * time.Second)
					expectUsable(t, c, "a")
					s.mu.Lock()
					defer s.mu.Unlock()
					if s.targetReads < reads || s.targetReads > int(losses)-1 {
						t.Errorf("all targets were listed %d times", s.targetReads)
					}
				})
			})
		})
	}
}

// TestTableIsPulled guards against a gateway that no update reaches and the store does not answer, and
// that goes on with its table although peers have a newer one; and against readings of the store by
// all that missed an update.
func TestTableIsPulled(t *testing.T) {
	for name, c := range map[string]struct {
		rank     int
		gateways int
		down     bool // the store does not answer
		pulled   bool
	}{
		"the store does not answer":       {maxRank, 3, true, true},
		"the store answers a large fleet": {maxRank, 20000, false, true},
		"a small fleet":                   {maxRank, 3, false, false},
		"by the standby, which reads":     {1, 20000, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.targets = map[string]string{"a": ""}
				s.staleTargets = maps.Clone(s.targets)
				s.setTable(1)
				cat := newCatalog(s)
				cat.ReaderRank, cat.GatewayCount = func() int { return c.rank }, func() int { return c.gateways }
				newer, err := json.Marshal(hookhall.Routing{Version: 2})
				if err != nil {
					t.Fatal(err)
				}
				var pulls atomic.Int64
				var helps atomic.Bool
				cat.PullTable = func(context.Context) {
					pulls.Add(1)
					if helps.Load() {
						cat.ApplyTable(newer, 100, "peer", time.Now())
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { cat.Run(ctx) })
				time.Sleep(time.Second)
				s.update(func() { s.down = c.down })
				time.Sleep(5 * time.Second)
				if cat.Table().Version() != 1 || (pulls.Load() > 0) != c.pulled {
					t.Errorf("version %d after %d pulls", cat.Table().Version(), pulls.Load())
				}
				helps.Store(true)
				s.mu.Lock()
				s.operatorReads = 0
				s.mu.Unlock()
				time.Sleep(5 * time.Second)
				want := int64(1)
				if c.pulled {
					want = 2
				}
				if cat.Table().Version() != want {
					t.Errorf("version %d, not %d", cat.Table().Version(), want)
				}
				s.mu.Lock()
				if c.pulled && s.operatorReads > 1 {
					t.Errorf("the store was read %d times", s.operatorReads)
				}
				s.mu.Unlock()
				cancel()
				run.Wait()
			})
		})
	}
}

// TestReadingsAreSpread guards against a fleet whose gateways all list the targets at the same time,
// again and again, because updates are late: the store's link bears a few of them.
func TestReadingsAreSpread(t *testing.T) {
	const targets, period = 100, time.Minute
	cases := map[string]struct {
		gateways   int
		peersHelp  bool
		watchLost  bool
		from, upTo int // lists of all targets within the period
		calls      int // at most, of other kinds
	}{
		"a small fleet":                                {10, false, false, 20, 60, 0},
		"a large fleet asks for the changes":           {10000, false, false, 0, 0, 60},
		"a large fleet that gets no changes":           {10000, false, true, 3, 9, 20},
		"a large fleet, while peers know the newest":   {10000, true, false, 0, 0, 0},
		"the largest fleet, within the longest spread": {1000000, false, true, 1, 3, 10},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &lossyStore{fakeStore: newFakeStore()}
				for i := range targets {
					s.targets[fmt.Sprint("target-", i)] = ""
				}
				s.staleTargets = maps.Clone(s.targets)
				s.update(func() {})
				cat := newCatalog(s)
				cat.ReaderRank, cat.GatewayCount = func() int { return maxRank }, func() int { return c.gateways }
				cat.PullTargets = func(context.Context) {
					if c.peersHelp {
						cat.ApplyUpdate(Update{Revision: cat.Snapshot().Revision, Began: time.Now(), Digest: cat.Snapshot().Digest}, "peer")
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { cat.Run(ctx) })
				time.Sleep(maxReadSpread + 5*time.Second) // until the copy of the start has been replaced
				const allWatches = 1 << 40
				if c.watchLost {
					s.losses.Store(allWatches)
				}
				s.mu.Lock()
				s.targetReads, s.targetWatches = 0, 0
				s.mu.Unlock()
				time.Sleep(period)
				s.mu.Lock()
				lists, calls := s.targetReads, s.targetWatches
				s.mu.Unlock()
				if c.watchLost {
					calls = int(allWatches - s.losses.Load())
				}
				if lists < c.from || lists > c.upTo || calls > c.calls {
					t.Errorf("%d lists of all targets and %d other calls in %v, want %d to %d, and %d", lists, calls, period, c.from, c.upTo, c.calls)
				}
				if age := cat.TargetsAge(time.Now()); !c.watchLost && age > 4*time.Second {
					t.Errorf("the targets' age is %v", age)
				}
				cancel()
				run.Wait()
			})
		})
	}
}
