// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/view"
)

const (
	testRetention = time.Minute
	// removalTimeout is the time within which a member that does not answer must be out of the
	// view: that of three heartbeats and two witnesses without an answer.
	removalTimeout = 6 * time.Second
	// settleTimeout is the time within which the view must be stable again after the loss of
	// many members at once.
	settleTimeout = time.Minute
	// cutDuration is how long members stay cut off.
	cutDuration = 10 * time.Second
	// callLatency is how long each call takes.
	callLatency = time.Millisecond
)

// fakePlatform is an in-memory key-value service, whose only key is the view's, and the
// platform's instance list.
type fakePlatform struct {
	mu        sync.Mutex
	entry     hookhall.KeyValueEntry
	changed   chan struct{} // closed at the next write
	down      bool
	instances []hookhall.Instance
}

func (s *fakePlatform) Get(context.Context, string) (hookhall.KeyValueEntry, error) {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return hookhall.KeyValueEntry{}, hookhall.ErrUnavailable
	}
	return s.entry, nil
}

func (s *fakePlatform) CompareAndSwap(_ context.Context, _ string, value []byte, index uint64) (bool, error) {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, hookhall.ErrUnavailable
	}
	if s.entry.Index != index {
		return false, nil
	}
	s.entry.Value, s.entry.Index = value, index+1
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}

func (s *fakePlatform) Delete(context.Context, string) error { return hookhall.ErrUnavailable }

func (s *fakePlatform) Watch(ctx context.Context, key string, index uint64, wait time.Duration) (hookhall.KeyValueEntry, error) {
	s.mu.Lock()
	changed, behind := s.changed, s.entry.Index != index
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !behind {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return hookhall.KeyValueEntry{}, ctx.Err()
		}
	}
	return s.Get(ctx, key)
}

func (s *fakePlatform) List(context.Context) ([]hookhall.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]hookhall.Instance(nil), s.instances...), nil
}

// setDown sets whether the key-value service is unavailable.
func (s *fakePlatform) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// memberGroup holds the members of one view, and the links between them.
type memberGroup struct {
	t        *testing.T
	platform *fakePlatform
	fleets   map[string]*Fleet // by address
	ctx      context.Context
	mu       sync.Mutex
	// cutLinks has the links that carry nothing, as "from>to"; * stands for all members. mu
	// guards it.
	cutLinks map[string]bool
}

// memberLink is one member's client of another.
type memberLink struct {
	hookhall.Peer
	m        *memberGroup
	from, to string
}

// memberPeers gives one member its clients of the others.
type memberPeers struct {
	m    *memberGroup
	from string
}

func (p memberPeers) Peer(address string) hookhall.Peer {
	return memberLink{m: p.m, from: p.from, to: address}
}

// deliver waits for callLatency and returns the member that is called. If the link is cut, it
// waits until ctx ends and returns its error.
func (l memberLink) deliver(ctx context.Context) (*Fleet, error) {
	time.Sleep(callLatency)
	l.m.mu.Lock()
	cut := l.m.cutLinks
	lost := cut[l.from+">"+l.to] || cut["*>"+l.to] || cut[l.from+">*"]
	l.m.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.m.fleets[l.to], nil
}

func (l memberLink) Probe(ctx context.Context, p hookhall.Probe) (hookhall.ProbeReply, error) {
	f, err := l.deliver(ctx)
	if err != nil {
		return hookhall.ProbeReply{}, err
	}
	return f.HandleProbe(ctx, p), nil
}

func (l memberLink) ProbeFor(ctx context.Context, address string) (bool, error) {
	f, err := l.deliver(ctx)
	if err != nil {
		return false, err
	}
	return f.HandleProbeFor(ctx, address), nil
}

func (l memberLink) Fetch(ctx context.Context, q hookhall.FetchRequest) (hookhall.FetchReply, error) {
	f, err := l.deliver(ctx)
	if err != nil {
		return hookhall.FetchReply{}, err
	}
	return f.HandleFetch(q), nil
}

func (l memberLink) IsComplete(ctx context.Context, epoch uint64) (bool, error) {
	f, err := l.deliver(ctx)
	if err != nil {
		return false, err
	}
	return f.store.IsComplete(epoch), nil
}

// newMemberGroup starts n members, and returns when all are in the view.
func newMemberGroup(t *testing.T, n int) *memberGroup {
	m := &memberGroup{
		t: t, platform: &fakePlatform{changed: make(chan struct{})}, fleets: map[string]*Fleet{}, cutLinks: map[string]bool{},
	}
	quiet := log.New(io.Discard)
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		self := hookhall.Member{ID: name + "#1", Instance: name, Hall: name, Address: name}
		m.platform.instances = append(m.platform.instances, hookhall.Instance{ID: name, Role: hookhall.RoleEntry, Hall: name, Address: name})
		m.fleets[name] = New(Config{
			Self: self, KV: m.platform, InstanceList: m.platform, Peers: memberPeers{m, name},
			Store: claim.New(self.ID, testRetention), Tables: tables.NewFollower(m.platform, quiet), Log: quiet,
		})
	}
	ctx, stop := context.WithCancel(t.Context())
	m.ctx = ctx
	var all sync.WaitGroup
	for _, f := range m.fleets {
		all.Go(func() { f.Run(ctx) })
		if err := f.Join(ctx); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { stop(); all.Wait() })
	m.awaitMembers(removalTimeout, n)
	return m
}

// cut cuts the named links and restores all others.
func (m *memberGroup) cut(links ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cutLinks)
	for _, link := range links {
		m.cutLinks[link] = true
	}
}

// view returns the view in the key-value service.
func (m *memberGroup) view() *hookhall.View {
	m.platform.mu.Lock()
	defer m.platform.mu.Unlock()
	v, err := view.Decode(m.platform.entry.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	return v
}

// awaitMembers waits until the view has n members, and fails the test after timeout.
func (m *memberGroup) awaitMembers(timeout time.Duration, n int) {
	m.t.Helper()
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(10 * time.Millisecond) {
		if len(m.view().Members) == n {
			return
		}
	}
	m.t.Fatalf("the view has %d members after %v, want %d", len(m.view().Members), timeout, n)
}

// expectNoChange fails the test if the view's epoch changes within a time.
func (m *memberGroup) expectNoChange(during time.Duration) {
	m.t.Helper()
	before := m.view().Epoch
	time.Sleep(during)
	if after := m.view().Epoch; after != before {
		m.t.Errorf("the epoch changed from %d to %d", before, after)
	}
}

// TestMembership guards against views that keep changing, or that have the wrong members,
// when members can't reach one another or the key-value service: for instance, isolated
// members that remove the others and are removed in turn, again and again.
func TestMembership(t *testing.T) {
	for _, c := range []struct {
		name     string
		n        int
		scenario func(m *memberGroup)
	}{
		{"a fleet without faults keeps its view", 5, func(m *memberGroup) { m.expectNoChange(time.Minute) }},
		{"a dead member is removed", 5, func(m *memberGroup) {
			m.cut("*>m2", "m2>*")
			m.awaitMembers(removalTimeout, 4)
			m.expectNoChange(time.Minute)
		}},
		{"a member that a single other one can't reach stays", 5, func(m *memberGroup) {
			m.cut("m0>m1", "m1>m0")
			m.expectNoChange(time.Minute)
		}},
		{"a member that was cut off rejoins once", 5, func(m *memberGroup) {
			m.cut("*>m2", "m2>*")
			m.awaitMembers(removalTimeout, 4)
			m.expectNoChange(cutDuration)
			m.cut()
			m.awaitMembers(maxRejoinPause, 5)
			m.expectNoChange(time.Minute)
		}},
		{"a member that can send and not be reached stays out", 5, func(m *memberGroup) {
			m.cut("*>m2")
			m.awaitMembers(removalTimeout, 4)
			m.expectNoChange(time.Minute)
		}},
		{"two members that reach only each other are removed", 5, func(m *memberGroup) {
			m.cut("m0>m2", "m0>m3", "m0>m4", "m1>m2", "m1>m3", "m1>m4", "m2>m0", "m2>m1", "m3>m0", "m3>m1", "m4>m0", "m4>m1")
			time.Sleep(settleTimeout)
			m.expectNoChange(time.Minute)
		}},
		{"the only member that is left removes the others", 5, func(m *memberGroup) {
			m.cut("*>m1", "m1>*", "*>m2", "m2>*", "*>m3", "m3>*", "*>m4", "m4>*")
			for _, dead := range []string{"m1", "m2", "m3", "m4"} {
				m.fleets[dead].leaving.Store(true) // a leaving member removes nobody and does not rejoin
			}
			m.awaitMembers(settleTimeout, 1)
		}},
		{"of two members, one removes the other when that is gone", 2, func(m *memberGroup) {
			m.cut("*>m1", "m1>*")
			m.awaitMembers(removalTimeout, 1)
		}},
		{"a member that leaves is removed, and the others hold its claims", 5, func(m *memberGroup) {
			ctx, cancel := context.WithTimeout(m.ctx, removalTimeout)
			defer cancel()
			if err := m.fleets["m3"].Leave(ctx); err != nil {
				m.t.Errorf("Leave: %v", err)
			}
			m.awaitMembers(removalTimeout, 4)
			m.expectNoChange(time.Minute)
		}},
		{"Leave fails while the key-value service is unavailable", 3, func(m *memberGroup) {
			m.platform.setDown(true)
			ctx, cancel := context.WithTimeout(m.ctx, removalTimeout)
			defer cancel()
			if err := m.fleets["m1"].Leave(ctx); err == nil {
				m.t.Error("Leave succeeded without the key-value service")
			}
			m.platform.setDown(false)
			m.awaitMembers(time.Second, 3)
		}},
		{"a member that dies during an outage of the key-value service is removed after it", 5, func(m *memberGroup) {
			m.platform.setDown(true)
			m.cut("*>m2", "m2>*")
			m.expectNoChange(cutDuration)
			m.platform.setDown(false)
			m.awaitMembers(removalTimeout, 4)
			m.expectNoChange(time.Minute)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.scenario(newMemberGroup(t, c.n)) })
		})
	}
}
