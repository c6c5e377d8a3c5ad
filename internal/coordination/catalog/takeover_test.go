// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
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
