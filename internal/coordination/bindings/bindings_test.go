// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	service = "llm"
	window  = 10 * time.Second
	ttl     = 20 * time.Second
	// recordCalls are the calls for the first record at the owner of a journal: a ping and the record.
	recordCalls = 2
	// roundTrip is the time of a call between two gateways.
	roundTrip = time.Millisecond
)

// fleet is a fleet of gateways in one process.
type fleet struct {
	gateways map[string]*gateway
	order    []string
	store    *fakeStore
	mu       sync.Mutex // guards gateways and order while calls are under way
	// generation counts the restarts of all gateways.
	generation int
}

// gateway is one of them, and its own view of the fleet.
type gateway struct {
	*bindings.Bindings
	fleet    *fleet
	address  string
	isDead   bool // it does not answer
	isKilled atomic.Bool
	refuses  atomic.Bool     // it has ended, and is listed
	isGone   bool            // it is not listed
	listAge  atomic.Int64    // of the list of targets, a time.Duration
	suspects map[string]bool // gateways that have not answered it lately
	// knowsPeersAt is when the gateway learns of the others.
	knowsPeersAt time.Time
	calls        atomic.Int64
}

// newFleet returns gateways that list targets of the given versions.
func newFleet(n int, versions ...string) *fleet {
	f := &fleet{gateways: map[string]*gateway{}, store: newFakeStore()}
	for i := range n {
		f.add(fmt.Sprintf("10.0.0.%d:1", i), versions...)
	}
	return f
}

// add adds a gateway.
func (f *fleet) add(address string, versions ...string) *gateway {
	g := &gateway{fleet: f, address: address}
	table, history, logger := &binding.Table{}, &binding.History{}, log.New(io.Discard)
	toPeer := func(address string) bindings.Remote { return remote{f.gateway(address)} }
	f.store.mu.Lock()
	startedAt := f.store.at()
	f.store.mu.Unlock()
	journal := &bindings.Journal{Store: storeClient{f.store, g}, Era: f.store.Era, Writer: address, History: history, Log: logger}
	g.Bindings = &bindings.Bindings{
		Table: table, History: history, Fleet: g, Meter: g, Log: logger, Remote: toPeer,
		ListAge:   func(time.Time) time.Duration { return time.Duration(g.listAge.Load()) },
		StartedAt: func() hookhall.Revision { return startedAt },
		Recorder:  &bindings.Recorder{Journal: journal, Table: table, Fleet: g, Remote: toPeer, Log: logger},
	}
	g.list(versions...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways[address] = g
	f.order = append(f.order, address)
	return g
}

// gateway returns the gateway at an address.
func (f *fleet) gateway(address string) *gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gateways[address]
}

// list makes the gateway list targets of the given versions.
func (g *gateway) list(versions ...string) {
	set := map[string]bool{}
	for _, version := range versions {
		set[version] = true
	}
	g.History.Observe(service, set, clock.Now())
	g.Recorder.Observe(service, set)
}

func (g *gateway) StreamTakenUp(string)  {}
func (g *gateway) Self() hookhall.Member { return hookhall.Member{Address: g.address} }

func (g *gateway) HasList() bool { return !clock.Now().Before(g.knowsPeersAt) }

func (g *gateway) List(time.Time) []hookhall.Member {
	return slices.DeleteFunc(g.All(), func(m hookhall.Member) bool { return g.suspects[m.Address] })
}

func (g *gateway) All() []hookhall.Member {
	if !g.HasList() {
		return []hookhall.Member{g.Self()}
	}
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	var list []hookhall.Member
	for _, address := range g.fleet.order {
		if !g.fleet.gateways[address].isGone {
			list = append(list, hookhall.Member{Address: address})
		}
	}
	return list
}

// Owner returns the first gateway in the order of the key, as members.Owner does.
func (g *gateway) Owner(key string, skip map[string]bool, _ time.Time) hookhall.Member {
	for _, member := range binding.Rank(binding.KeyOf(key, ""), g.All()) {
		if !skip[member.Address] && !g.suspects[member.Address] {
			return member
		}
	}
	return g.Self()
}

// remote is a client of a gateway.
type remote struct{ *gateway }

// reach returns after a round trip, with an error if the gateway does not answer.
func (r remote) reach(ctx context.Context) error {
	if r.refuses.Load() {
		return errors.New("connection refused")
	}
	if r.isDead || r.isKilled.Load() {
		<-ctx.Done()
		return errors.New("no answer")
	}
	time.Sleep(roundTrip)
	r.calls.Add(1)
	return nil
}

// Bind implements bindings.Remote.
func (r remote) Bind(ctx context.Context, list []binding.Binding) error {
	if err := r.reach(ctx); err != nil {
		return err
	}
	r.Merge(list)
	return nil
}

// FindBinding implements bindings.Remote.
func (r remote) FindBinding(ctx context.Context, q bindings.Query) (bindings.Known, error) {
	if err := r.reach(ctx); err != nil {
		return bindings.Known{}, err
	}
	return r.Known(q), nil
}

// Ping implements bindings.Remote.
func (r remote) Ping(ctx context.Context) error { return r.reach(ctx) }

// RecordStreams implements bindings.Remote.
func (r remote) RecordStreams(ctx context.Context, service string, list []binding.Binding) (bindings.Base, error) {
	if err := r.reach(ctx); err != nil {
		return bindings.Base{}, err
	}
	return r.Recorder.Journal.Record(ctx, service, list)
}

// at returns the ith gateway.
func (f *fleet) at(i int) *gateway { return f.gateways[f.order[i]] }

// bind begins the stream of a call at a version.
func (g *gateway) bind(t *testing.T, call, version string) {
	t.Helper()
	g.Bind(t.Context(), binding.Binding{Key: binding.KeyOf("", call), Service: service, Version: version, ExpiresAt: clock.Now().Add(ttl)}, window)
}

// bindAsync is bind without waiting for copies and records.
func (g *gateway) bindAsync(call, version string) {
	go g.Bind(context.Background(), binding.Binding{Key: binding.KeyOf("", call), Service: service, Version: version, ExpiresAt: clock.Now().Add(ttl)}, window)
}

// checkFound checks the version and the source that a gateway finds for the stream of a call.
func (g *gateway) checkFound(t *testing.T, call, version string, sources ...bindings.Source) {
	t.Helper()
	found := g.Find(t.Context(), bindings.Query{Key: binding.KeyOf("", call), Service: service, Window: window})
	if found.Version != version || !slices.Contains(sources, found.Source) || found.Service != service {
		t.Errorf("%s: %+v, want %q from %v", call, found, version, sources)
	}
}

// holders returns the other gateways that hold the binding of a call.
func (f *fleet) holders(call string, except *gateway) []*gateway {
	var list []*gateway
	for _, address := range f.order {
		g := f.gateways[address]
		if _, ok := g.Table.Get(binding.KeyOf("", call), clock.Now()); ok && g != except {
			list = append(list, g)
		}
	}
	return list
}

// run runs a test in virtual time.
func run(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t)
			time.Sleep(2 * ttl) // until all streams have expired, and nothing is left to record
		})
	})
}

func TestBinding(t *testing.T) {
	run(t, "a stream is taken up at any gateway", func(t *testing.T) {
		f := newFleet(9, "v1", "v2")
		for i := range 50 {
			f.at(i%9).bind(t, strconv.Itoa(i), "v2")
			for j := range f.order {
				f.at(j).checkFound(t, strconv.Itoa(i), "v2", bindings.SourceOwn, bindings.SourcePeer)
			}
		}
	})
	run(t, "several gateways die at once", func(t *testing.T) {
		f := newFleet(9, "v1", "v2")
		for i := range 20 {
			f.at(0).bind(t, strconv.Itoa(i), "v2")
		}
		synctest.Wait()
		time.Sleep(time.Second)
		for i := range 3 { // with the one that began the streams
			f.at(i).isDead = true
		}
		for i := range 20 {
			f.at(8).checkFound(t, strconv.Itoa(i), "v2", bindings.SourceOwn, bindings.SourcePeer)
		}
	})
	run(t, "all that hold copies die", func(t *testing.T) {
		f := newFleet(9, "v1", "v2")
		f.at(0).bind(t, "a", "v2")
		time.Sleep(time.Second)
		holders := f.holders("a", f.at(0))
		for _, g := range holders {
			g.isDead = true
		}
		for i := range f.order {
			if g := f.at(i); !slices.Contains(holders, g) {
				g.checkFound(t, "a", "v2", bindings.SourceOwn, bindings.SourcePeer)
			}
		}
	})
	run(t, "dead gateways get no copy, and others do instead", func(t *testing.T) {
		f := newFleet(9, "v1", "v2")
		f.at(1).isDead, f.at(2).isDead = true, true
		for i := range 20 {
			call := strconv.Itoa(i)
			f.at(0).bind(t, call, "v1")
			time.Sleep(time.Second)
			if n := len(f.holders(call, f.at(0))); n != bindings.Copies {
				t.Errorf("%d copies", n)
			}
		}
	})
	run(t, "gateways have joined since", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		for i := range 20 {
			f.at(0).bind(t, strconv.Itoa(i), "v1")
		}
		synctest.Wait()
		time.Sleep(time.Second)
		f.at(0).isDead, f.at(0).isGone = true, true
		for i := range 4 {
			f.add(fmt.Sprintf("10.0.1.%d:1", i), "v1", "v2")
		}
		for i := range 20 {
			f.at(8).checkFound(t, strconv.Itoa(i), "v1", bindings.SourceOwn, bindings.SourcePeer)
		}
	})
	run(t, "gateways are replaced one after the other", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		for i := range 20 {
			f.at(0).bind(t, strconv.Itoa(i), "v2")
		}
		time.Sleep(time.Second)
		for i := range 5 {
			f.at(i).isGone = true // it leaves the list before it stops
			f.at(i).HandOver(t.Context())
			f.at(i).isDead = true
			f.add(fmt.Sprintf("10.0.1.%d:1", i), "v1", "v2")
			time.Sleep(time.Second)
		}
		for i := range 20 {
			f.at(9).checkFound(t, strconv.Itoa(i), "v2", bindings.SourceOwn, bindings.SourcePeer)
		}
	})
	run(t, "a gateway that does not know the others yet", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.at(0).bind(t, "a", "v2")
		synctest.Wait()
		time.Sleep(time.Second)
		newcomer := f.add("10.0.1.0:1", "v1", "v2")
		newcomer.knowsPeersAt = clock.Now().Add(300 * time.Millisecond)
		newcomer.checkFound(t, "a", "v2", bindings.SourcePeer)
	})
	run(t, "a binding expires", func(t *testing.T) {
		f := newFleet(3, "v1", "v2")
		f.at(0).bind(t, "a", "v2")
		time.Sleep(ttl)
		f.at(1).checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "a single gateway", func(t *testing.T) {
		f := newFleet(1, "v1", "v2")
		f.at(0).bind(t, "a", "v2")
		f.at(0).checkFound(t, "a", "v2", bindings.SourceOwn)
		f.at(0).checkFound(t, "b", "", bindings.SourceUnknown)
	})
}

func TestUnknownBinding(t *testing.T) {
	run(t, "several versions", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		time.Sleep(time.Minute)
		f.at(0).checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "one version all the time", func(t *testing.T) {
		f := newFleet(5, "v1")
		time.Sleep(window)
		f.at(0).checkFound(t, "a", "v1", bindings.SourceSole)
	})
	run(t, "one version, and this gateway has just started", func(t *testing.T) {
		f := newFleet(5, "v1")
		time.Sleep(window)
		f.add("10.0.1.0:1", "v1").checkFound(t, "a", "v1", bindings.SourceSole)
	})
	run(t, "one version is left, and this gateway has just started", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		time.Sleep(window)
		for i := range f.order {
			f.at(i).list("v1")
		}
		f.add("10.0.1.0:1", "v1").checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "all gateways have just started, and one version is listed", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.at(0).checkFound(t, "a", "v1", bindings.SourceSole)
	})
	run(t, "all gateways have just started, and two are listed", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.at(0).checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "all have just started but one, which no holder is and which remembers another version", func(t *testing.T) {
		f := newFleet(1, "v1", "v2")
		f.at(0).list("v2")
		for i := range 8 {
			f.add(fmt.Sprintf("10.0.1.%d:1", i), "v2")
		}
		for i := range 20 {
			f.at(8).checkFound(t, strconv.Itoa(i), "", bindings.SourceUnknown)
		}
	})
	run(t, "another version is listed while peers that don't answer are asked", func(t *testing.T) {
		f := newFleet(2, "v1")
		time.Sleep(window)
		f.at(1).isDead = true
		time.AfterFunc(roundTrip, func() { f.at(0).list("v1", "v2") })
		f.at(0).checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "this gateway lists no target", func(t *testing.T) {
		f := newFleet(5, "v1")
		time.Sleep(window)
		f.add("10.0.1.0:1").checkFound(t, "a", "", bindings.SourceUnknown)
	})
	oldLists := func() *fleet {
		f := newFleet(5, "v1")
		time.Sleep(window)
		for i := range f.order {
			f.at(i).listAge.Store(int64(5 * time.Second))
		}
		return f
	}
	run(t, "one version, and the store is unavailable", func(t *testing.T) {
		oldLists().at(0).checkFound(t, "a", "v1", bindings.SourceSole)
	})
	run(t, "one version, and this gateway is cut off", func(t *testing.T) {
		f := oldLists()
		f.at(0).suspects = map[string]bool{}
		for i := range 4 {
			f.at(i + 1).isDead = true
			f.at(0).suspects[f.order[i+1]] = true
		}
		f.at(0).checkFound(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "one version, and gateways have died", func(t *testing.T) {
		f := oldLists()
		f.at(0).listAge.Store(int64(roundTrip)) // it is read while they are asked
		f.at(1).isDead, f.at(2).isDead = true, true
		f.at(0).checkFound(t, "a", "v1", bindings.SourceSole)
	})
	run(t, "one version, gateways have died, and the list was read before", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.at(0).bind(t, "a", "v1")
		time.Sleep(ttl)
		synctest.Wait()
		f.at(0).listAge.Store(int64(time.Second))
		f.at(1).isDead, f.at(2).isDead = true, true
		began := clock.Now()
		f.at(0).checkFound(t, "b", "v1", bindings.SourceBase)
		if took := clock.Since(began); took > 250*time.Millisecond {
			t.Errorf("it took %v", took)
		}
	})
	// The others list v2, which has joined since this gateway was cut off from them, and a stream began there.
	cutOff := func(t *testing.T) *fleet {
		f := newFleet(5, "v1")
		f.at(0).bind(t, "a", "v1")
		time.Sleep(ttl)
		synctest.Wait()
		for i := range 4 {
			f.at(i+1).list("v1", "v2")
		}
		f.at(0).isDead = true
		f.at(1).bind(t, "b", "v2")
		time.Sleep(time.Second) // until the binding is copied and recorded
		synctest.Wait()
		f.at(0).isDead = false
		for i := range 4 {
			f.at(i + 1).isDead = true
		}
		f.at(0).listAge.Store(int64(3 * time.Second))
		return f
	}
	run(t, "another version has joined while this gateway is cut off from the others", func(t *testing.T) {
		cutOff(t).at(0).checkFound(t, "b", "v2", bindings.SourceStore)
	})
	run(t, "another version has joined while this gateway is cut off from the others and the store", func(t *testing.T) {
		f := cutOff(t)
		f.store.set(func() { f.store.isDown = true })
		f.at(0).checkFound(t, "b", "", bindings.SourceUnknown)
	})
	run(t, "another version has joined, and the list is read again", func(t *testing.T) {
		f := cutOff(t)
		f.store.set(func() { f.store.isDown = true })
		time.AfterFunc(300*time.Millisecond, func() {
			f.at(0).list("v1", "v2")
			f.at(0).listAge.Store(0)
		})
		f.at(0).checkFound(t, "b", "", bindings.SourceUnknown)
	})
	run(t, "a version that this gateway does not list yet", func(t *testing.T) {
		f := newFleet(5, "v1")
		time.Sleep(window)
		f.at(0).list("v1", "v2")
		f.at(0).bind(t, "a", "v2")
		f.at(1).checkFound(t, "a", "v2", bindings.SourceOwn, bindings.SourcePeer)
	})
	run(t, "nobody answers", func(t *testing.T) {
		f := newFleet(9, "v1", "v2")
		for i := range 8 {
			f.at(i).isDead = true
		}
		began := clock.Now()
		f.at(8).checkFound(t, "a", "", bindings.SourceUnknown)
		if took := clock.Since(began); took > 250*time.Millisecond {
			t.Errorf("it took %v", took)
		}
	})
	run(t, "a gateway that never learns of the others", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.at(0).knowsPeersAt = clock.Now().Add(time.Hour)
		began := clock.Now()
		f.at(0).checkFound(t, "a", "", bindings.SourceUnknown)
		if took := clock.Since(began); took > 600*time.Millisecond {
			t.Errorf("it took %v", took)
		}
	})
}

// TestFirstEventWaits guards against first events that leave before their binding can be found, and against
// those that wait where no other version can run.
func TestFirstEventWaits(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		dead     int // of eight peers
		want     time.Duration
	}{
		"one version":                       {[]string{"v1"}, 0, 0},
		"several versions":                  {[]string{"v1", "v2"}, 0, roundTrip},
		"several versions, nobody is there": {[]string{"v1", "v2"}, 8, 50 * time.Millisecond},
	} {
		run(t, name, func(t *testing.T) {
			f := newFleet(9, c.versions...)
			for i := range c.dead {
				f.at(i + 1).isDead = true
			}
			began := clock.Now()
			f.at(0).bind(t, "a", "v1")
			if took := clock.Since(began); took != c.want {
				t.Errorf("it waited %v, want %v", took, c.want)
			}
			time.Sleep(5 * time.Second) // until all calls have ended
		})
	}
}

// TestCallsPerStream guards against calls to more gateways than needed: their number decides what
// streams cost a large fleet.
func TestCallsPerStream(t *testing.T) {
	run(t, "a stream that begins", func(t *testing.T) {
		f := newFleet(60, "v1", "v2")
		f.at(0).bind(t, "a", "v1")
		time.Sleep(time.Second)
		f.checkCalls(t, bindings.Copies+recordCalls)
	})
	run(t, "a further stream at the base version", func(t *testing.T) {
		f := newFleet(60, "v1", "v2")
		for _, call := range []string{"a", "b"} {
			f.at(0).bind(t, call, "v1")
			time.Sleep(time.Second)
		}
		f.checkCalls(t, 2*bindings.Copies+recordCalls)
	})
	run(t, "one that is taken up", func(t *testing.T) {
		f := newFleet(60, "v1", "v2")
		f.at(0).bind(t, "a", "v1")
		time.Sleep(time.Second)
		for i := range f.order {
			if f.at(i).Table.Len() == 0 {
				f.at(i).checkFound(t, "a", "v1", bindings.SourcePeer)
				break
			}
		}
		time.Sleep(time.Second)
		f.checkCalls(t, 2*bindings.Copies+recordCalls)
	})
}

// checkCalls checks how many calls all gateways have got.
func (f *fleet) checkCalls(t *testing.T, want int64) {
	t.Helper()
	got := int64(0)
	for _, g := range f.gateways {
		got += g.calls.Load()
	}
	if got != want {
		t.Errorf("%d calls, want %d", got, want)
	}
}
