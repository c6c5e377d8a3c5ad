// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings_test

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

// fakeStore is the store of a fleet. It answers at once.
type fakeStore struct {
	hookhall.Store // nil: methods that are not expected panic

	mu     sync.Mutex
	items  map[string]hookhall.Item
	count  uint64 // of changes in this era
	era    uint64
	isDown bool
	lease  uint64
	// lostLease is the last lease that has ended before its time.
	lostLease uint64
	writes    int
	reads     int
	// isLate is set while writes get no answer and are done later; late has them.
	isLate bool
	late   []func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]hookhall.Item{}, era: 1, count: 10}
}

// Era returns the store's era.
func (s *fakeStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// at returns the present revision. s.mu must be held.
func (s *fakeStore) at() hookhall.Revision {
	r, _ := hookhall.NewRevision(s.era, s.count)
	return r
}

// set injects a state under the store's lock.
func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// calls returns the numbers of writes and of reads.
func (s *fakeStore) calls() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}

// copyItems returns the present items.
func (s *fakeStore) copyItems() map[string]hookhall.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items)
}

// restore puts back the items of an earlier moment, in the next era.
func (s *fakeStore) restore(items map[string]hookhall.Item) {
	s.set(func() { s.items, s.era, s.count = items, s.era+1, 10 })
}

// doLate does the writes that got no answer.
func (s *fakeStore) doLate() {
	s.set(func() {
		for _, write := range s.late {
			write()
		}
		s.late = nil
	})
}

func (s *fakeStore) Get(_ context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return hookhall.Item{}, 0, hookhall.ErrUnavailable
	}
	s.reads++
	return s.items[key], s.at(), nil
}

func (s *fakeStore) Range(_ context.Context, prefix string) (list []hookhall.Item, at hookhall.Revision, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return nil, 0, hookhall.ErrUnavailable
	}
	s.reads++
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, item)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, s.at(), nil
}

// write changes a key. s.mu must be held.
func (s *fakeStore) write(key string, value []byte) hookhall.Revision {
	s.writes++
	s.count++
	item := hookhall.Item{Key: key, Value: value, Revision: s.at(), Created: s.items[key].Created}
	if item.Created == 0 {
		item.Created = s.at()
	}
	s.items[key] = item
	return s.at()
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, lease hookhall.Lease) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDown:
		return hookhall.ErrUnavailable
	case lease.Era < s.era || lease.Number <= s.lostLease:
		return hookhall.ErrLeaseGone
	case s.isLate:
		s.late = append(s.late, func() { s.write(key, value) })
		return hookhall.ErrUnavailable
	}
	s.write(key, value)
	return nil
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, previous hookhall.Revision) (hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isDown:
		return 0, hookhall.ErrUnavailable
	case s.items[key].Revision != previous:
		return 0, hookhall.ErrConflict
	case s.isLate:
		s.late = append(s.late, func() {
			if s.items[key].Revision == previous {
				s.write(key, value)
			}
		})
		return 0, hookhall.ErrUnavailable
	}
	return s.write(key, value), nil
}

func (s *fakeStore) Grant(context.Context, time.Duration) (hookhall.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return hookhall.Lease{}, hookhall.ErrUnavailable
	}
	s.lease++
	return hookhall.Lease{Era: s.era, Number: s.lease}, nil
}

// storeClient is the store as one gateway reaches it: not any more once the gateway was killed.
type storeClient struct {
	*fakeStore
	gateway *gateway
}

func (c storeClient) Put(ctx context.Context, key string, value []byte, lease hookhall.Lease) error {
	if c.gateway.isKilled.Load() {
		return hookhall.ErrUnavailable
	}
	return c.fakeStore.Put(ctx, key, value, lease)
}

func (c storeClient) Swap(ctx context.Context, key string, value []byte, previous hookhall.Revision) (hookhall.Revision, error) {
	if c.gateway.isKilled.Load() {
		return 0, hookhall.ErrUnavailable
	}
	return c.fakeStore.Swap(ctx, key, value, previous)
}
