// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollouts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
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
	service    = "recap"
	oldVersion = "v1"
	newVersion = "v2"
	maxShare   = 0.1
	slack      = 50
)

// fakeKeys encodes rollouts as "version seconds" and statuses as "version state".
type fakeKeys struct{}

func (fakeKeys) RolloutService(key string) (string, bool) { return strings.CutPrefix(key, "order/") }

func (k fakeKeys) Rollout(key string, value []byte) (decoded hookhall.Rollout, ok bool, err error) {
	decoded.Service, ok = k.RolloutService(key)
	var seconds int
	if _, err := fmt.Sscanf(string(value), "%s %d", &decoded.Version, &seconds); err != nil {
		return decoded, ok, err
	}
	decoded.Time = time.Duration(seconds) * time.Second
	return decoded, ok, nil
}

func (fakeKeys) StatusKey(service string) string { return "status/" + service }

func (fakeKeys) WriteStatus(s hookhall.RolloutStatus) ([]byte, error) {
	return []byte(s.Version + " " + string(s.State)), nil
}

func (fakeKeys) ReadStatus(value []byte) (hookhall.RolloutStatus, error) {
	version, state, ok := strings.Cut(string(value), " ")
	if !ok {
		return hookhall.RolloutStatus{}, errors.New("status without a state")
	}
	return hookhall.RolloutStatus{Version: version, State: hookhall.RolloutState(state)}, nil
}

// fakeStore holds the status of one rollout; it can be unavailable.
type fakeStore struct {
	hookhall.Store
	mu          sync.Mutex
	item        hookhall.Item
	revision    hookhall.Revision
	unavailable bool
}

func (s *fakeStore) Get(_ context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return hookhall.Item{}, 0, hookhall.ErrUnavailable
	}
	return s.item, s.revision, nil
}

func (s *fakeStore) Swap(_ context.Context, key string, value []byte, was hookhall.Revision) (hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unavailable:
		return 0, hookhall.ErrUnavailable
	case s.item.Revision != was:
		return 0, hookhall.ErrConflict
	}
	s.revision++
	s.item = hookhall.Item{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

func (s *fakeStore) state() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.item.Value)
}

// process is one gateway of a fleet. It implements Fleet.
type process struct {
	*Rollouts
	address string
	fleet   *fleet
	cancel  context.CancelFunc
}

func (p *process) Self() hookhall.Member { return hookhall.Member{Address: p.address} }

// Owner returns the running process with the lowest address.
func (p *process) Owner(string, map[string]bool, time.Time) hookhall.Member {
	return hookhall.Member{Address: p.fleet.ownerAddress()}
}

func (p *process) Suspect(string, time.Time) {}

// fleet is a number of gateways that send requests to targets of both versions.
type fleet struct {
	mu        sync.Mutex
	store     *fakeStore
	targets   []hookhall.Target
	processes map[string]*process
	// answer returns the outcome of a request at a target, age after the start.
	answer    func(t hookhall.Target, age time.Duration) (fails bool, took time.Duration)
	startedAt time.Time
	running   sync.WaitGroup

	sent, sentToNew, failures int
	lastSentToNewAt           time.Time
	fiftiethFailureAt         time.Time
	inFlightAtOld             int
}

func newFleet(answer func(t hookhall.Target, age time.Duration) (bool, time.Duration)) *fleet {
	f := &fleet{store: &fakeStore{revision: 10}, processes: map[string]*process{}, answer: answer, startedAt: time.Now()}
	for i := range 10 {
		f.targets = append(f.targets,
			hookhall.Target{ID: fmt.Sprint("old-", i), Pool: service, Version: oldVersion},
			hookhall.Target{ID: fmt.Sprint("new-", i), Pool: service, Version: newVersion})
	}
	return f
}

// Targets implements Directory.
func (f *fleet) Targets(string) []hookhall.Target { return f.targets }

func (f *fleet) ownerAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	lowest := ""
	for a := range f.processes {
		if lowest == "" || a < lowest {
			lowest = a
		}
	}
	return lowest
}

func (f *fleet) process(address string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// start starts a process. It learns the rollout from known, or, if that is empty, from the
// store.
func (f *fleet) start(address string, known Snapshot) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{address: address, fleet: f, cancel: cancel}
	p.Rollouts = &Rollouts{
		Keys: fakeKeys{}, Store: f.store, Fleet: p, Directory: f, MaxCanaryShare: maxShare, Log: log.New(io.Discard),
		Remote: func(to string) Remote { return remote{f, to} },
	}
	if known.Revision == 0 {
		p.ApplyItems([]hookhall.Item{{Key: "order/" + service, Value: []byte(newVersion + " 16"), Revision: 5}}, 10, true)
	} else {
		p.ApplySnapshot(known, "peer")
	}
	f.mu.Lock()
	f.processes[address] = p
	f.mu.Unlock()
	f.running.Go(func() { p.Run(ctx) })
	f.running.Go(func() { f.traffic(ctx, p) })
}

func (f *fleet) kill(address string) {
	f.mu.Lock()
	p := f.processes[address]
	delete(f.processes, address)
	f.mu.Unlock()
	p.cancel()
}

func (f *fleet) stop() {
	f.mu.Lock()
	for _, p := range f.processes {
		p.cancel()
	}
	f.mu.Unlock()
	f.running.Wait()
}

type remote struct {
	fleet *fleet
	to    string
}

func (r remote) Tally(_ context.Context, report Report) ([]Progress, error) {
	p := r.fleet.process(r.to)
	if p == nil {
		return nil, errors.New("the process is not running")
	}
	return p.MergeReport(report), nil
}

// traffic sends ten requests a second through a process until ctx ends.
func (f *fleet) traffic(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.Float64() * float64(200*time.Millisecond)))
		if ctx.Err() == nil {
			f.running.Go(func() { f.request(p) })
		}
	}
}

func (f *fleet) request(p *process) {
	versions := p.Versions(service, true)
	var allowed []hookhall.Target
	for _, target := range f.targets {
		if versions.Allow(target) {
			allowed = append(allowed, target)
		}
	}
	target := allowed[rand.IntN(len(allowed))]
	attempt := p.Begin("route", target)
	fails, took := f.answer(target, time.Since(f.startedAt))
	f.mu.Lock()
	f.sent++
	if target.Version == newVersion {
		f.sentToNew++
		f.lastSentToNewAt = time.Now()
		if fails {
			if f.failures++; f.failures == 50 {
				f.fiftiethFailureAt = time.Now()
			}
		}
	} else {
		f.inFlightAtOld++
	}
	f.mu.Unlock()
	time.Sleep(took)
	attempt.Answered(clock.Since(attempt.startedAtOr(clock.Now())), fails)
	attempt.End()
	if target.Version != newVersion {
		f.mu.Lock()
		f.inFlightAtOld--
		f.mu.Unlock()
	}
}

// startedAtOr returns when an attempt began, or otherwise for nil.
func (a *Attempt) startedAtOr(otherwise time.Time) time.Time {
	if a == nil {
		return otherwise
	}
	return a.startedAt
}

// healthy is a version that answers every request, after 50 to 350 ms.
func healthy(hookhall.Target, time.Duration) (bool, time.Duration) {
	return false, time.Duration(50+rand.IntN(300)) * time.Millisecond
}

// failing returns a new version that fails half of its requests once the age reaches from.
func failing(from time.Duration) func(hookhall.Target, time.Duration) (bool, time.Duration) {
	return func(t hookhall.Target, age time.Duration) (bool, time.Duration) {
		_, took := healthy(t, age)
		return t.Version == newVersion && age >= from && rand.IntN(2) == 0, took
	}
}

// slow is a new version that takes eight times as long for half of its requests.
func slow(t hookhall.Target, age time.Duration) (bool, time.Duration) {
	_, took := healthy(t, age)
	if t.Version == newVersion && rand.IntN(2) == 0 {
		took *= 8
	}
	return false, took
}

// TestRollouts guards against a wrong end of a rollout, too many requests at a bad version,
// and a completion that is published while requests still run at old targets. It runs one
// rollout in a fleet of 40, in which the owner is killed every second or the store is
// unavailable for the first five seconds.
func TestRollouts(t *testing.T) {
	for _, c := range []struct {
		name        string
		answer      func(hookhall.Target, time.Duration) (bool, time.Duration)
		want        hookhall.RolloutState
		kills       bool
		unavailable bool
	}{
		{name: "a good version", answer: healthy, want: hookhall.RolloutCompleted},
		{name: "a good version, owner killed", answer: healthy, want: hookhall.RolloutCompleted, kills: true},
		{name: "a good version, store unavailable", answer: healthy, want: hookhall.RolloutCompleted, unavailable: true},
		{name: "failures", answer: failing(0), want: hookhall.RolloutRolledBack},
		{name: "failures after a while", answer: failing(4 * time.Second), want: hookhall.RolloutRolledBack},
		{name: "failures, owner killed", answer: failing(0), want: hookhall.RolloutRolledBack, kills: true},
		{name: "failures, owner killed, store unavailable", answer: failing(0), want: hookhall.RolloutRolledBack, kills: true, unavailable: true},
		{name: "slow answers", answer: slow, want: hookhall.RolloutRolledBack},
		{name: "slow answers, owner killed", answer: slow, want: hookhall.RolloutRolledBack, kills: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(c.answer)
				f.store.unavailable = c.unavailable
				for i := range 40 {
					f.start(fmt.Sprintf("10.0.0.%02d:1", i), Snapshot{})
				}
				for second := range 17 {
					if second == 5 {
						f.store.mu.Lock()
						f.store.unavailable = false
						f.store.mu.Unlock()
					}
					time.Sleep(time.Second)
					if c.kills {
						owner := f.ownerAddress()
						known := f.process(owner).Snapshot()
						f.kill(owner)
						f.start(fmt.Sprintf("10.0.1.%02d:1", second), known)
					}
					checkNoneAtOld(t, f)
				}
				if got, want := f.store.state(), newVersion+" "+string(c.want); got != want {
					t.Errorf("status in the store is %q, want %q", got, want)
				}
				f.stop()
				if limit := maxShare*float64(f.sent) + slack; c.want == hookhall.RolloutRolledBack && float64(f.sentToNew) > limit {
					t.Errorf("the new version got %d of %d requests", f.sentToNew, f.sent)
				}
				if !f.fiftiethFailureAt.IsZero() && f.lastSentToNewAt.Sub(f.fiftiethFailureAt) > 2*time.Second {
					t.Errorf("the new version got requests until %v after its 50th failure", f.lastSentToNewAt.Sub(f.fiftiethFailureAt))
				}
			})
		})
	}
}

// checkNoneAtOld checks that no request runs at an old target once the store has the rollout
// as completed: operators then stop the old targets.
func checkNoneAtOld(t *testing.T, f *fleet) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store.state() == newVersion+" "+string(hookhall.RolloutCompleted) && f.inFlightAtOld > 0 {
		t.Errorf("%d requests run at old targets of a completed rollout", f.inFlightAtOld)
	}
}

// TestFinalStatusInStore guards against two different ends of a rollout: of two processes
// that both decide, the second adopts the state that the first has written to the store.
func TestFinalStatusInStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(healthy)
		f.store.item = hookhall.Item{Value: []byte(newVersion + " " + string(hookhall.RolloutRolledBack)), Revision: 20}
		f.start("10.0.0.1:1", Snapshot{})
		time.Sleep(time.Second)
		got := f.process("10.0.0.1:1").Snapshot().List[0]
		if got.Phase != rollout.RolledBack {
			t.Errorf("phase %d, want RolledBack", got.Phase)
		}
		f.stop()
		if f.sentToNew > 0 {
			t.Errorf("the new version got %d requests", f.sentToNew)
		}
	})
}

// TestStatusOfAnotherVersion guards against ending a rollout by the status that the store
// still has of the previous one, to another version.
func TestStatusOfAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(healthy)
		f.store.item = hookhall.Item{Value: []byte("v0 " + string(hookhall.RolloutRolledBack)), Revision: 20}
		f.start("10.0.0.1:1", Snapshot{})
		time.Sleep(time.Second)
		if got := f.store.state(); got != newVersion+" "+string(hookhall.RolloutRunning) {
			t.Errorf("status in the store is %q", got)
		}
		f.stop()
	})
}

// TestRolloutsInForce checks which rollouts are in force after items of the store and updates of
// peers. It guards against losing a rollout to an older update or to an undecodable item.
func TestRolloutsInForce(t *testing.T) {
	r := &Rollouts{Keys: fakeKeys{}, Log: log.New(io.Discard)}
	item := func(version string, revision hookhall.Revision) hookhall.Item {
		return hookhall.Item{Key: "order/" + service, Value: []byte(version + " 16"), Revision: revision}
	}
	check := func(when, want string) {
		t.Helper()
		got := ""
		for _, s := range r.Snapshot().List {
			got += s.Version
		}
		if got != want {
			t.Errorf("%s: got versions %q, want %q", when, got, want)
		}
	}
	r.ApplyItems([]hookhall.Item{item("a", 5), {Key: "other", Revision: 6}}, 7, true)
	check("one rollout", "a")
	r.ApplyItems(nil, 8, false)
	check("a watch without events", "a")
	r.ApplyItems([]hookhall.Item{item("b", 9)}, 9, false)
	check("a later revision", "b")
	r.ApplySnapshot(Snapshot{Revision: 7}, "peer")
	check("an older update of a peer", "b")
	r.ApplyItems([]hookhall.Item{{Key: "order/" + service, Value: []byte("nonsense"), Revision: 10}}, 10, false)
	check("an undecodable item", "b")
	r.ApplyItems([]hookhall.Item{{Key: "order/" + service, Deleted: true, Revision: 11}}, 11, false)
	check("a withdrawn rollout", "")
}

// TestMergeReport checks reports that an owner receives before it has read any rollout, and
// reports about rollouts that were withdrawn or replaced: the former ended the process, and the
// latter put a withdrawn rollout in force again.
func TestMergeReport(t *testing.T) {
	at := func(revision hookhall.Revision) Progress {
		return Progress{Rollout: hookhall.Rollout{Service: service, Version: newVersion, Revision: revision}}
	}
	for _, c := range []struct {
		name     string
		known    Snapshot
		reported hookhall.Revision
		want     []hookhall.Revision // of the rollouts that are known afterwards
	}{
		{"before the first read", Snapshot{}, 5, []hookhall.Revision{5}},
		{"not read yet", Snapshot{Revision: 4}, 5, []hookhall.Revision{5}},
		{"later than the known one", Snapshot{Revision: 4, List: []Progress{at(3)}}, 5, []hookhall.Revision{5}},
		{"withdrawn", Snapshot{Revision: 6}, 5, nil},
		{"replaced", Snapshot{Revision: 6, List: []Progress{at(6)}}, 5, []hookhall.Revision{6}},
		{"known", Snapshot{Revision: 6, List: []Progress{at(5)}}, 5, []hookhall.Revision{5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Rollouts{Keys: fakeKeys{}, Log: log.New(io.Discard)}
			r.ApplySnapshot(c.known, "a peer")
			r.MergeReport(Report{Reporter: "10.0.0.2:1", Tallies: []Tally{{Progress: at(c.reported)}}})
			checkRevisions(t, r, c.want)
		})
	}
}

// checkRevisions checks which rollouts r knows, by their revisions.
func checkRevisions(t *testing.T, r *Rollouts, want []hookhall.Revision) {
	t.Helper()
	var got []hookhall.Revision
	for _, progress := range r.Snapshot().List {
		got = append(got, progress.Revision)
	}
	if !slices.Equal(got, want) {
		t.Errorf("revisions of known rollouts: %v, want %v", got, want)
	}
}

// listing is a Directory with one target of each version.
type listing []string

// Targets implements Directory.
func (l listing) Targets(string) []hookhall.Target {
	var targets []hookhall.Target
	for _, version := range l {
		targets = append(targets, hookhall.Target{ID: version, Pool: service, Version: version})
	}
	return targets
}

// TestBegunStreams checks at which version a begun stream may go on while operators roll another one
// out.
func TestBegunStreams(t *testing.T) {
	both := listing{oldVersion, newVersion}
	for name, c := range map[string]struct {
		targets  listing
		phase    rollout.Phase
		old, new bool
	}{
		"the phase is not known":               {both, rollout.Unknown, true, false},
		"canary":                               {both, rollout.Canary, true, true},
		"draining":                             {both, rollout.Draining, true, true},
		"completed":                            {both, rollout.Completed, false, true},
		"rolled back":                          {both, rollout.RolledBack, true, false},
		"rolled back, all targets run the new": {listing{newVersion}, rollout.RolledBack, true, true},
		"completed, all targets run the old":   {listing{oldVersion}, rollout.Completed, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Rollouts{Directory: c.targets, Log: log.New(io.Discard)}
			r.ApplySnapshot(Snapshot{Revision: 1, List: []Progress{{Rollout: hookhall.Rollout{Service: service, Version: newVersion, Time: time.Minute}, Phase: c.phase}}}, "peer")
			if got := r.MayGoOn(service, oldVersion); got != c.old {
				t.Errorf("at the old version: %v", got)
			}
			if got := r.MayGoOn(service, newVersion); got != c.new {
				t.Errorf("at the new version: %v", got)
			}
		})
	}
	t.Run("no rollout", func(t *testing.T) {
		if r := (&Rollouts{Directory: both}); !r.MayGoOn(service, oldVersion) || !r.MayGoOn(service, newVersion) {
			t.Error("a version is excluded")
		}
	})
}
