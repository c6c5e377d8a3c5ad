// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

// fakeStore keeps the members' keys and counts calls by kind.
type fakeStore struct {
	hookhall.Store
	mu          sync.Mutex
	revision    hookhall.Revision
	items       map[string]hookhall.Item
	events      []hookhall.Item
	calls       map[string]int
	servesStale bool // stale reads return older copies
	changed     chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]hookhall.Item{}, calls: map[string]int{}, changed: make(chan struct{}), revision: 1}
}

// write writes or removes a member's key.
func (s *fakeStore) write(o hookhall.Member, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := memberItem(o, s.revision)
	if gone {
		i.Deleted, i.Value = true, nil
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls["range"]++
	var list []hookhall.Item
	for _, i := range s.items {
		list = append(list, i)
	}
	return list, s.revision, nil
}

// RangeStale returns the list before the last two changes if servesStale is set, else the
// current one.
func (s *fakeStore) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	s.calls["stale"]++
	previous := max(s.revision, 2) - 2
	if s.servesStale {
		defer s.mu.Unlock()
		s.calls["range"]++
		return s.itemsAsOf(previous), previous, nil
	}
	s.mu.Unlock()
	return s.Range(ctx, prefix)
}

// itemsAsOf returns the items as of a revision. s.mu must be held.
func (s *fakeStore) itemsAsOf(revision hookhall.Revision) []hookhall.Item {
	itemByKey := map[string]hookhall.Item{}
	for _, i := range s.events {
		if i.Revision > revision {
			break
		}
		itemByKey[i.Key] = i
		if i.Deleted {
			delete(itemByKey, i.Key)
		}
	}
	return slices.Collect(maps.Values(itemByKey))
}

func (s *fakeStore) Watch(ctx context.Context, _ string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	end := time.After(wait)
	s.mu.Lock()
	s.calls["watch"]++
	for {
		var list []hookhall.Item
		for _, i := range s.events {
			if i.Revision > since {
				list = append(list, i)
			}
		}
		changed, at := s.changed, s.revision
		s.mu.Unlock()
		if len(list) > 0 {
			return list, at, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, at, nil
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
		s.mu.Lock()
	}
}

func (s *fakeStore) callCount(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

func (s *fakeStore) Grant(context.Context, time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{Number: 1}, nil
}
func (s *fakeStore) Renew(context.Context, hookhall.Lease) error { return nil }
func (s *fakeStore) Put(_ context.Context, _ string, _ []byte, _ hookhall.Lease) error {
	return nil
}

// TestOnlyLeaderWatches guards against processes that watch the store although they receive
// updates from the leader, and against a stale list after the leader has stopped sending.
func TestOnlyLeaderWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		run := func(n int, leads bool) *Members {
			m := New(member(n), s, log.New(io.Discard))
			m.IsLeader = func() bool { return leads }
			done.Add(1)
			go func() { defer done.Done(); m.follow(ctx) }()
			return m
		}
		leader, other := run(1, true), run(2, false)
		s.write(member(1), false)
		s.write(member(2), false)
		sendUpdates := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
				other.ApplyUpdate(leader.OutgoingUpdate(time.Now()), time.Now())
			}
		}
		sendUpdates(2 * time.Second)
		reads, watches := s.callCount("range"), s.callCount("watch")
		s.write(member(3), false)
		sendUpdates(20 * time.Second)
		if other.Count() != 3 {
			t.Errorf("the other process lists %d members, want 3", other.Count())
		}
		if got := s.callCount("range") - reads; got != 0 {
			t.Errorf("the list was read %d times in 20 seconds", got)
		}
		if got := s.callCount("watch") - watches; got > 5 {
			t.Errorf("%d watches were started in 20 seconds by one leader", got)
		}
		s.write(member(3), true)
		time.Sleep(5 * time.Second) // no updates
		if other.Count() != 2 {
			t.Errorf("without updates the other process lists %d members, want 2", other.Count())
		}
		cancel()
		done.Wait()
	})
}

// TestSilentLeaders guards against a process that reads the list every few seconds, and knows of no
// change between, while no leader sends updates.
func TestSilentLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		m := New(member(1), s, log.New(io.Discard))
		m.IsLeader = func() bool { return false }
		done.Go(func() { m.follow(ctx) })
		s.write(member(1), false)
		time.Sleep(2 * maxUpdateAge) // the updates have stopped
		reads := s.callCount("range")
		for n := 2; n < 12; n++ {
			s.write(member(n), false)
			time.Sleep(maxUpdateAge / 4)
			if m.Count() != n {
				t.Errorf("%d members are listed %v after the change, want %d", m.Count(), maxUpdateAge/4, n)
			}
		}
		if got := s.callCount("range") - reads; got != 0 {
			t.Errorf("the list was read %d times", got)
		}
		cancel()
		done.Wait()
	})
}

// TestRandomUpdateLoss guards against a process that misses updates without noticing: whatever
// update is lost, it has the leader's list if its digest matches, and reads if it does not.
func TestRandomUpdateLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, other := newEstablished(1), newEstablished(1)
		now := time.Now()
		for at := hookhall.Revision(2); at < 40; at++ {
			o := member(rapid.IntRange(2, 6).Draw(t, "member"))
			i := memberItem(o, at)
			i.Deleted = rapid.Bool().Draw(t, "gone")
			leader.applyEvents([]hookhall.Item{i}, at)
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			update := leader.OutgoingUpdate(now)
			other.hasGap = false
			other.ApplyUpdate(update, now)
			same := fmt.Sprint(leader.All()) == fmt.Sprint(other.All())
			if !other.hasGap && !same {
				t.Fatalf("different lists with the same digest: %v and %v", leader.All(), other.All())
			}
			if other.hasGap && other.revision == update.Revision {
				t.Fatal("a list with a gap was confirmed")
			}
		}
	})
}

// TestFirstReadIsNotReported guards against a leader that sends the whole list as changes after
// its first read, and against updates from a process that is no leader.
func TestFirstReadIsNotReported(t *testing.T) {
	s := newFakeStore()
	for i := range 9 {
		s.write(member(i+1), false)
	}
	m := New(member(1), s, log.New(io.Discard))
	if _, err := m.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if update := m.OutgoingUpdate(time.Now()); len(update.Changed) != 0 || update.Revision == 0 {
		t.Errorf("after the first read the update has %d changes as of %d", len(update.Changed), update.Revision)
	}
	m.IsLeader = func() bool { return false }
	if update := m.OutgoingUpdate(time.Now()); update.Revision != 0 {
		t.Errorf("a process that is no leader sends an update as of %d", update.Revision)
	}
}

// TestStaleFirstRead guards against a process that keeps a stale list after its first read: that
// read may return an older copy which lacks the last changes.
func TestStaleFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.servesStale = true
		for n := 1; n <= 4; n++ {
			s.write(member(n), false)
		}
		s.write(member(4), true)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		run := func(n int, leads bool) *Members {
			m := New(member(n), s, log.New(io.Discard))
			m.IsLeader = func() bool { return leads }
			done.Go(func() { m.follow(ctx) })
			return m
		}
		leader, other := run(1, true), run(2, false)
		time.Sleep(50 * time.Millisecond)
		if leader.Count() != 3 {
			t.Errorf("the leader lists %d members, want 3", leader.Count())
		}
		other.ApplyUpdate(leader.OutgoingUpdate(time.Now()), time.Now())
		if other.Count() != 3 {
			t.Errorf("the other process lists %d members, want 3", other.Count())
		}
		s.write(member(5), false)
		time.Sleep(2 * batchDelay)
		other.ApplyUpdate(leader.OutgoingUpdate(time.Now()), time.Now())
		other.ApplyUpdate(Update{Revision: 99, Digest: 1}, time.Now()) // a gap: it reads the list again, from an older copy
		time.Sleep(time.Second)
		if other.Count() != 4 {
			t.Errorf("the other process lists %d members, want 4: an older copy undid changes", other.Count())
		}
		if got := s.callCount("range") - s.callCount("stale"); got != 0 {
			t.Errorf("the current list was read %d times", got)
		}
		cancel()
		done.Wait()
	})
}

// TestRemovedKeysExpire guards against the keys of all gateways that ever left, which a process that
// is no leader kept.
func TestRemovedKeysExpire(t *testing.T) {
	m := New(member(1), nil, log.New(io.Discard))
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range 100 {
		m.removeKey(fmt.Sprint("gone-", i), now.Add(time.Duration(i)*updateRetention))
	}
	if len(m.keyRemovedAt) > 2 {
		t.Errorf("%d removed keys are kept", len(m.keyRemovedAt))
	}
}
