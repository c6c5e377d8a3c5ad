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

// fakeStore has the members' keys and counts who asks.
type fakeStore struct {
	hookhall.Store
	mu       sync.Mutex
	revision hookhall.Revision
	items    map[string]hookhall.Item
	events   []hookhall.Item
	calls    map[string]int
	copies   bool // stale reads are
	changed  chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]hookhall.Item{}, calls: map[string]int{}, changed: make(chan struct{}), revision: 1}
}

// write makes or removes a member's key.
func (s *fakeStore) write(o hookhall.Member, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := registered(o, s.revision)
	if gone {
		i.Gone, i.Value = true, nil
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

// RangeStale brings what the store had two changes ago.
func (s *fakeStore) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	s.calls["stale"]++
	old := max(s.revision, 2) - 2
	if s.copies {
		defer s.mu.Unlock()
		s.calls["range"]++
		return s.asOf(old), old, nil
	}
	s.mu.Unlock()
	return s.Range(ctx, prefix)
}

// asOf are the keys as of a revision. The caller holds s.mu.
func (s *fakeStore) asOf(revision hookhall.Revision) []hookhall.Item {
	was := map[string]hookhall.Item{}
	for _, i := range s.events {
		if i.Revision > revision {
			break
		}
		was[i.Key] = i
		if i.Gone {
			delete(was, i.Key)
		}
	}
	return slices.Collect(maps.Values(was))
}

func (s *fakeStore) Watch(ctx context.Context, _ string, since hookhall.Revision, most time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	end := time.After(most)
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

func (s *fakeStore) count(call string) int {
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

// TestOneFollows: of processes that are told, only the leader watches the store;
// when it falls silent, the others read for themselves.
func TestOneFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		run := func(n int, leads bool) *Members {
			m := New(member(n), s, log.New(io.Discard))
			m.Leads = func() bool { return leads }
			done.Add(1)
			go func() { defer done.Done(); m.follow(ctx) }()
			return m
		}
		leader, other := run(1, true), run(2, false)
		s.write(member(1), false)
		s.write(member(2), false)
		tell := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
				other.LearnNews(leader.News(time.Now()), time.Now())
			}
		}
		tell(2 * time.Second)
		reads, watches := s.count("range"), s.count("watch")
		s.write(member(3), false)
		tell(20 * time.Second)
		if other.Count() != 3 {
			t.Errorf("the other one lists %d members, not 3", other.Count())
		}
		if got := s.count("range") - reads; got != 0 {
			t.Errorf("the list was read %d times in twenty seconds", got)
		}
		if got := s.count("watch") - watches; got > 5 {
			t.Errorf("%d watches were begun in twenty seconds by one leader", got)
		}
		s.write(member(3), true)
		time.Sleep(5 * time.Second) // nobody tells
		if other.Count() != 2 {
			t.Errorf("the other one lists %d members, not 2, though nobody told it anything", other.Count())
		}
		cancel()
		done.Wait()
	})
}

// TestRandomNews: whatever news is lost, a process whose digest agrees has the
// leader's list, and one whose digest does not is to read.
func TestRandomNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader, other := listed(1), listed(1)
		now := time.Now()
		for at := hookhall.Revision(2); at < 40; at++ {
			o := member(rapid.IntRange(2, 6).Draw(t, "member"))
			i := registered(o, at)
			i.Gone = rapid.Bool().Draw(t, "gone")
			leader.change([]hookhall.Item{i}, at)
			now = now.Add(time.Second)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			n := leader.News(now)
			other.gap = false
			other.LearnNews(n, now)
			same := fmt.Sprint(leader.All()) == fmt.Sprint(other.All())
			if !other.gap && !same {
				t.Fatalf("%v and %v under one digest", leader.All(), other.All())
			}
			if other.gap && other.revision == n.Revision {
				t.Fatal("a gap was confirmed")
			}
		}
	})
}

// TestNewcomersNews: a process that has just read the list for the first time has
// nothing to tell of it, and one that is told by others never has.
func TestNewcomersNews(t *testing.T) {
	s := newFakeStore()
	for i := range 9 {
		s.write(member(i+1), false)
	}
	m := New(member(1), s, log.New(io.Discard))
	if _, err := m.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := m.News(time.Now()); len(n.Changed) != 0 || n.Revision == 0 {
		t.Errorf("a newcomer tells %d changes as of %d", len(n.Changed), n.Revision)
	}
	m.Leads = func() bool { return false }
	if n := m.News(time.Now()); n.Revision != 0 {
		t.Errorf("one that is told by others tells as of %d", n.Revision)
	}
}

// TestCopy: a process begins with a copy of the list that lacks the last changes.
func TestCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.copies = true
		for n := 1; n <= 4; n++ {
			s.write(member(n), false)
		}
		s.write(member(4), true)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		run := func(n int, leads bool) *Members {
			m := New(member(n), s, log.New(io.Discard))
			m.Leads = func() bool { return leads }
			done.Go(func() { m.follow(ctx) })
			return m
		}
		leader, other := run(1, true), run(2, false)
		time.Sleep(50 * time.Millisecond)
		if leader.Count() != 3 {
			t.Errorf("the leader lists %d members, not 3", leader.Count())
		}
		other.LearnNews(leader.News(time.Now()), time.Now())
		if other.Count() != 3 {
			t.Errorf("the other one lists %d members, not 3", other.Count())
		}
		s.write(member(5), false)
		time.Sleep(2 * gather)
		other.LearnNews(leader.News(time.Now()), time.Now())
		other.LearnNews(News{Revision: 99, Digest: 1}, time.Now()) // a gap: it reads a copy, which is older
		time.Sleep(time.Second)
		if other.Count() != 4 {
			t.Errorf("the other one lists %d members, not 4: an older copy took some back", other.Count())
		}
		if got := s.count("range") - s.count("stale"); got != 0 {
			t.Errorf("the list itself was read %d times", got)
		}
		cancel()
		done.Wait()
	})
}
