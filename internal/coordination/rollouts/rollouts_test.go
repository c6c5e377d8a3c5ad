// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollouts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/rollout"
)

const (
	service = "recap"
	old     = "v1"
	fresh   = "v2"
	share   = 0.1
	slack   = 50
)

// fakeKeys has orders as "version seconds" and states as "version state".
type fakeKeys struct{}

func (fakeKeys) RolloutService(key string) (string, bool) { return strings.CutPrefix(key, "order/") }

func (k fakeKeys) Rollout(key string, value []byte) (o hookhall.Rollout, ok bool, err error) {
	o.Service, ok = k.RolloutService(key)
	var seconds int
	if _, err := fmt.Sscanf(string(value), "%s %d", &o.Version, &seconds); err != nil {
		return o, ok, err
	}
	o.Time = time.Duration(seconds) * time.Second
	return o, ok, nil
}

func (fakeKeys) StatusKey(service string) string { return "status/" + service }

func (fakeKeys) WriteStatus(s hookhall.RolloutStatus) ([]byte, error) {
	return []byte(s.Version + " " + string(s.State)), nil
}

func (fakeKeys) ReadStatus(value []byte) (hookhall.RolloutStatus, error) {
	version, state, ok := strings.Cut(string(value), " ")
	if !ok {
		return hookhall.RolloutStatus{}, errors.New("no state")
	}
	return hookhall.RolloutStatus{Version: version, State: hookhall.RolloutState(state)}, nil
}

// fakeStore has one state; it can be away.
type fakeStore struct {
	hookhall.Store
	mu   sync.Mutex
	item hookhall.Item
	at   hookhall.Revision
	away bool
}

func (s *fakeStore) Get(_ context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return hookhall.Item{}, 0, hookhall.ErrUnavailable
	}
	return s.item, s.at, nil
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, was hookhall.Revision) (hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.away:
		return 0, hookhall.ErrUnavailable
	case s.item.Revision != was:
		return 0, hookhall.ErrConflict
	}
	s.at++
	s.item = hookhall.Item{Key: key, Value: value, Revision: s.at}
	return s.at, nil
}

func (s *fakeStore) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.item.Value)
}

// process is one gateway of a fleet.
type process struct {
	*Rollouts
	address string
	fleet   *fleet
	end     context.CancelFunc
}

func (p *process) Self() hookhall.Member { return hookhall.Member{Address: p.address} }

// Owner is the first process by address that runs.
func (p *process) Owner(string, map[string]bool, time.Time) hookhall.Member {
	return hookhall.Member{Address: p.fleet.first()}
}

func (p *process) Suspect(string, time.Time) {}

// fleet is some gateways before targets of both versions.
type fleet struct {
	mu        sync.Mutex
	store     *fakeStore
	targets   []hookhall.Target
	processes map[string]*process
	bad       func(t hookhall.Target, age time.Duration) (fails bool, took time.Duration)
	ordered   time.Time
	run       sync.WaitGroup

	sent, exposed, failures int
	lastFresh               time.Time
	fiftieth                time.Time
	atOld                   int
}

func newFleet(bad func(t hookhall.Target, age time.Duration) (bool, time.Duration)) *fleet {
	f := &fleet{store: &fakeStore{at: 10}, processes: map[string]*process{}, bad: bad, ordered: time.Now()}
	for i := range 10 {
		f.targets = append(f.targets,
			hookhall.Target{ID: fmt.Sprint("old-", i), Pool: service, Version: old},
			hookhall.Target{ID: fmt.Sprint("new-", i), Pool: service, Version: fresh})
	}
	return f
}

// Targets implements Directory.
func (f *fleet) Targets(string) []hookhall.Target { return f.targets }

func (f *fleet) first() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := ""
	for a := range f.processes {
		if first == "" || a < first {
			first = a
		}
	}
	return first
}

func (f *fleet) at(address string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// start starts a process, which another one tells of the orders unless it is the first.
func (f *fleet) start(address string, told Orders) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{address: address, fleet: f, end: cancel}
	p.Rollouts = &Rollouts{
		Keys: fakeKeys{}, Store: f.store, Fleet: p, Directory: f, Share: share, Log: log.New(io.Discard),
		Remote: func(to string) Remote { return remote{f, to} },
	}
	if told.Revision == 0 {
		p.Read([]hookhall.Item{{Key: "order/" + service, Value: []byte(fresh + " 16"), Revision: 5}}, 10, true)
	} else {
		p.Learn(told, "peer")
	}
	f.mu.Lock()
	f.processes[address] = p
	f.mu.Unlock()
	f.run.Go(func() { p.Run(ctx) })
	f.run.Go(func() { f.traffic(ctx, p) })
}

func (f *fleet) kill(address string) {
	f.mu.Lock()
	p := f.processes[address]
	delete(f.processes, address)
	f.mu.Unlock()
	p.end()
}

func (f *fleet) stop() {
	f.mu.Lock()
	for _, p := range f.processes {
		p.end()
	}
	f.mu.Unlock()
	f.run.Wait()
}

type remote struct {
	fleet *fleet
	to    string
}

func (r remote) Tally(_ context.Context, report Report) ([]Standing, error) {
	p := r.fleet.at(r.to)
	if p == nil {
		return nil, errors.New("it does not run")
	}
	return p.Take(report), nil
}

// traffic sends ten requests a second through a process until ctx ends.
func (f *fleet) traffic(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.Float64() * float64(200*time.Millisecond)))
		if ctx.Err() == nil {
			f.run.Go(func() { f.request(p) })
		}
	}
}

func (f *fleet) request(p *process) {
	versions := p.Versions(service, true)
	var may []hookhall.Target
	for _, t := range f.targets {
		if versions.Allow(t) {
			may = append(may, t)
		}
	}
	t := may[rand.IntN(len(may))]
	u := p.Begin("route", t)
	fails, took := f.bad(t, time.Since(f.ordered))
	f.mu.Lock()
	f.sent++
	if t.Version == fresh {
		f.exposed++
		f.lastFresh = time.Now()
		if fails {
			if f.failures++; f.failures == 50 {
				f.fiftieth = time.Now()
			}
		}
	} else {
		f.atOld++
	}
	f.mu.Unlock()
	time.Sleep(took)
	u.Answered(clock.Since(u.startOr(clock.Now())), fails)
	u.End()
	if t.Version != fresh {
		f.mu.Lock()
		f.atOld--
		f.mu.Unlock()
	}
}

// startOr is when a use began, or another time when nothing is counted.
func (u *Use) startOr(otherwise time.Time) time.Time {
	if u == nil {
		return otherwise
	}
	return u.began
}

// sound answers within some hundred milliseconds.
func sound(hookhall.Target, time.Duration) (bool, time.Duration) {
	return false, time.Duration(50+rand.IntN(300)) * time.Millisecond
}

// failing is a new version that fails half of its answers from an age on.
func failing(from time.Duration) func(hookhall.Target, time.Duration) (bool, time.Duration) {
	return func(t hookhall.Target, age time.Duration) (bool, time.Duration) {
		_, took := sound(t, age)
		return t.Version == fresh && age >= from && rand.IntN(2) == 0, took
	}
}

// slow is a new version that takes eight times as long for half of its answers.
func slow(t hookhall.Target, age time.Duration) (bool, time.Duration) {
	_, took := sound(t, age)
	if t.Version == fresh && rand.IntN(2) == 0 {
		took *= 8
	}
	return false, took
}

// TestRollouts: orders over a fleet of 40, whose processes are killed in series, the one
// that decides first, while the store is away for a while.
func TestRollouts(t *testing.T) {
	for _, c := range []struct {
		name  string
		bad   func(hookhall.Target, time.Duration) (bool, time.Duration)
		want  hookhall.RolloutState
		kills bool
		away  bool
	}{
		{name: "a good version", bad: sound, want: hookhall.RolloutCompleted},
		{name: "a good version, kills", bad: sound, want: hookhall.RolloutCompleted, kills: true},
		{name: "a good version, store away", bad: sound, want: hookhall.RolloutCompleted, away: true},
		{name: "failures", bad: failing(0), want: hookhall.RolloutRolledBack},
		{name: "failures after a while", bad: failing(4 * time.Second), want: hookhall.RolloutRolledBack},
		{name: "failures, kills", bad: failing(0), want: hookhall.RolloutRolledBack, kills: true},
		{name: "failures, kills, store away", bad: failing(0), want: hookhall.RolloutRolledBack, kills: true, away: true},
		{name: "slow answers", bad: slow, want: hookhall.RolloutRolledBack},
		{name: "slow answers, kills", bad: slow, want: hookhall.RolloutRolledBack, kills: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c.bad)
				f.store.away = c.away
				for i := range 40 {
					f.start(fmt.Sprintf("10.0.0.%02d:1", i), Orders{})
				}
				for second := range 17 {
					if second == 5 {
						f.store.mu.Lock()
						f.store.away = false
						f.store.mu.Unlock()
					}
					time.Sleep(time.Second)
					if c.kills {
						first := f.first()
						told := f.at(first).Orders()
						f.kill(first)
						f.start(fmt.Sprintf("10.0.1.%02d:1", second), told)
					}
					checkState(t, f)
				}
				if got, want := f.store.state(), fresh+" "+string(c.want); got != want {
					t.Errorf("operators are told %q, not %q", got, want)
				}
				f.stop()
				if most := share*float64(f.sent) + slack; c.want == hookhall.RolloutRolledBack && float64(f.exposed) > most {
					t.Errorf("the new version got %d of %d requests", f.exposed, f.sent)
				}
				if !f.fiftieth.IsZero() && f.lastFresh.Sub(f.fiftieth) > 2*time.Second {
					t.Errorf("it got requests until %v after its 50th failure", f.lastFresh.Sub(f.fiftieth))
				}
			})
		})
	}
}

// checkState: operators stop the old targets when they are told that it is completed.
func checkState(t *testing.T, f *fleet) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store.state() == fresh+" "+string(hookhall.RolloutCompleted) && f.atOld > 0 {
		t.Errorf("%d requests run at old targets of a roll-out that is completed", f.atOld)
	}
}

// TestTwoOwners: of two processes that both decide, the second takes over what the first
// has told operators.
func TestTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(sound)
		f.store.item = hookhall.Item{Value: []byte(fresh + " " + string(hookhall.RolloutRolledBack)), Revision: 20}
		f.start("10.0.0.1:1", Orders{})
		time.Sleep(time.Second)
		standing := f.at("10.0.0.1:1").Orders().List[0]
		if standing.Phase != rollout.RolledBack {
			t.Errorf("phase %d", standing.Phase)
		}
		f.stop()
		if f.exposed > 0 {
			t.Errorf("the new version got %d requests", f.exposed)
		}
	})
}

// TestStateOfAnotherOrder: what operators were told of the version before says nothing.
func TestStateOfAnotherOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(sound)
		f.store.item = hookhall.Item{Value: []byte("v0 " + string(hookhall.RolloutRolledBack)), Revision: 20}
		f.start("10.0.0.1:1", Orders{})
		time.Sleep(time.Second)
		if got := f.store.state(); got != fresh+" "+string(hookhall.RolloutRunning) {
			t.Errorf("operators are told %q", got)
		}
		f.stop()
	})
}

// TestOrders: which orders are in force, by what is read.
func TestOrders(t *testing.T) {
	r := &Rollouts{Keys: fakeKeys{}, Log: log.New(io.Discard)}
	order := func(version string, revision hookhall.Revision) hookhall.Item {
		return hookhall.Item{Key: "order/" + service, Value: []byte(version + " 16"), Revision: revision}
	}
	hold := func(when, want string) {
		t.Helper()
		got := ""
		for _, s := range r.Orders().List {
			got += s.Version
		}
		if got != want {
			t.Errorf("%s: %q, not %q", when, got, want)
		}
	}
	r.Read([]hookhall.Item{order("a", 5), {Key: "other", Revision: 6}}, 7, true)
	hold("an order", "a")
	r.Read(nil, 8, false)
	hold("a watch without events", "a")
	r.Read([]hookhall.Item{order("b", 9)}, 9, false)
	hold("a later one", "b")
	r.Learn(Orders{Revision: 7}, "peer")
	hold("older news", "b")
	r.Read([]hookhall.Item{{Key: "order/" + service, Value: []byte("nonsense"), Revision: 10}}, 10, false)
	hold("one that can't be read", "b")
	r.Read([]hookhall.Item{{Key: "order/" + service, Gone: true, Revision: 11}}, 11, false)
	hold("withdrawn", "")
}
