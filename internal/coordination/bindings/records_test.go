// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// recordDelay is longer than a binding takes to reach the store.
const recordDelay = time.Second

// restartAll kills all gateways and starts others, which know what the store has and list the given
// versions.
func (f *fleet) restartAll(versions ...string) {
	count := len(f.order)
	f.mu.Lock()
	for _, g := range f.gateways {
		g.isKilled.Store(true)
	}
	f.gateways, f.order = maps.Clone(f.gateways), nil
	f.mu.Unlock()
	f.generation++
	for i := range count {
		f.add(fmt.Sprintf("10.0.%d.%d:1", f.generation, i), versions...)
	}
}

// listAll makes all gateways list targets of the given versions.
func (f *fleet) listAll(versions ...string) {
	for i := range f.order {
		f.at(i).list(versions...)
	}
}

// bindAt begins streams at a version, at all gateways in turn.
func (f *fleet) bindAt(t *testing.T, version string, calls ...string) {
	t.Helper()
	for i, call := range calls {
		f.at(i%len(f.order)).bind(t, call, version)
	}
}

// checkAll checks that all gateways find the same version for a stream.
func (f *fleet) checkAll(t *testing.T, call, version string, sources ...bindings.Source) {
	t.Helper()
	for i := range f.order {
		f.at(i).checkFound(t, call, version, append(sources, bindings.SourceOwn, bindings.SourcePeer)...)
	}
}

// checkUnnamed checks what a gateway finds for a client that does not say which stream it takes up.
func (f *fleet) checkUnnamed(t *testing.T, version string, source bindings.Source) {
	t.Helper()
	found := f.at(0).Find(t.Context(), bindings.Query{Key: binding.KeyOf("", ""), Service: service, Window: window, IsUnnamed: true})
	if found.Version != version || found.Source != source {
		t.Errorf("%+v, want %q from %s", found, version, source)
	}
}

// TestStreamsAfterAllGatewaysDied guards against streams that go on at another version, or are refused though
// their version could be known, when no gateway is left that knew them.
func TestStreamsAfterAllGatewaysDied(t *testing.T) {
	run(t, "two versions side by side", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a", "b")
		f.bindAt(t, "v2", "c", "d")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		for call, version := range map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2"} {
			f.checkAll(t, call, version, bindings.SourceStore, bindings.SourceBase)
		}
	})
	run(t, "a version has taken the place of another", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a", "b")
		time.Sleep(recordDelay)
		f.listAll("v2")
		f.bindAt(t, "v2", "c")
		time.Sleep(recordDelay)
		f.restartAll("v2")
		f.checkAll(t, "a", "v1", bindings.SourceBase)
		f.checkAll(t, "c", "v2", bindings.SourceStore)
	})
	run(t, "a version has taken the place of another, and all die again", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.listAll("v2")
		f.restartAll("v2")
		time.Sleep(recordDelay)
		f.restartAll("v2")
		f.checkAll(t, "a", "v1", bindings.SourceBase)
	})
	run(t, "a new version has been listed just before", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.listAll("v1", "v2")
		f.at(0).bind(t, "b", "v2")
		f.restartAll("v1", "v2")
		f.checkAll(t, "a", "v1", bindings.SourceBase)
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
	run(t, "the owners of the journal have ended and are listed", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		ended := map[string]bool{}
		for range 2 {
			owner := f.at(0).Owner("streams/"+service, ended, clock.Now())
			ended[owner.Address] = true
			f.gateway(owner.Address).refuses.Store(true)
		}
		began := f.at(slices.IndexFunc(f.order, func(address string) bool { return !ended[address] }))
		began.bind(t, "b", "v2")
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
	run(t, "a stream was taken up shortly before its record expired", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.at(0).bind(t, "b", "v2")
		time.Sleep(ttl - recordDelay)
		f.at(0).Refresh(binding.Binding{Key: binding.KeyOf("", "b"), Service: service, Version: "v2", ExpiresAt: clock.Now().Add(ttl)})
		for i := range 8 {
			f.at(i%len(f.order)).bind(t, "other-"+strconv.Itoa(i), "v2")
			time.Sleep(recordDelay)
		}
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
	run(t, "the owner of the journal does not answer", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(5 * time.Second)
		owner := f.at(0).Owner("streams/"+service, nil, clock.Now())
		f.gateway(owner.Address).isDead = true
		f.at(slices.IndexFunc(f.order, func(address string) bool { return address != owner.Address })).bind(t, "b", "v2")
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
	run(t, "one version only", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.restartAll("v1")
		f.checkAll(t, "a", "v1", bindings.SourceBase)
		f.checkUnnamed(t, "v1", bindings.SourceBase)
	})
	run(t, "the client names no stream, and there are two versions", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v2", "a")
		f.bindAt(t, "v1", "b")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		f.checkUnnamed(t, "", bindings.SourceUnknown)
	})
	run(t, "the store is down meanwhile", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.set(func() { f.store.isDown = true })
		f.restartAll("v1", "v2")
		f.checkAll(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "after another version became the base", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.listAll("v2")
		time.Sleep(binding.MaxWindow + time.Second)
		f.bindAt(t, "v2", "b", "c", "d", "e", "f")
		time.Sleep(recordDelay)
		writes, _ := f.store.calls()
		f.bindAt(t, "v2", "g", "h", "i", "j", "k")
		time.Sleep(recordDelay)
		if now, _ := f.store.calls(); now != writes {
			t.Errorf("%d writes for streams of the base version", now-writes)
		}
		f.restartAll("v2")
		f.checkAll(t, "g", "v2", bindings.SourceBase)
	})
	run(t, "the store was restored from a copy without the records", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		old := f.store.copyItems()
		f.bindAt(t, "v2", "b")
		time.Sleep(recordDelay)
		f.store.restore(old)
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "", bindings.SourceUnknown)
	})
	run(t, "the store was restored, and the gateways have recorded their streams again", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		ctx, stop := context.WithCancel(t.Context())
		for _, g := range f.gateways {
			go g.Recorder.Run(ctx)
		}
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		old := f.store.copyItems()
		f.bindAt(t, "v2", "b")
		time.Sleep(recordDelay)
		f.store.restore(old)
		time.Sleep(5 * time.Second)
		f.bindAt(t, "v2", "c")
		time.Sleep(recordDelay)
		stop()
		f.restartAll("v1", "v2")
		f.checkAll(t, "a", "v1", bindings.SourceBase, bindings.SourceStore)
		f.checkAll(t, "b", "v2", bindings.SourceStore)
		f.checkAll(t, "c", "v2", bindings.SourceStore)
	})
	run(t, "the route leads to several services", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "base")
		time.Sleep(recordDelay)
		bound := binding.Binding{Key: binding.KeyOf("", "a"), Service: service, Version: "v1", ExpiresAt: clock.Now().Add(ttl), IsExplicit: true}
		f.at(0).Bind(t.Context(), bound, window)
		time.Sleep(recordDelay)
		f.restartAll("v1")
		for call, want := range map[string]bindings.Found{"a": {Service: service, Version: "v1", Source: bindings.SourceStore}, "b": {Service: "other", Source: bindings.SourceUnknown}} {
			found := f.at(0).Find(t.Context(), bindings.Query{Key: binding.KeyOf("", call), Service: "other", Others: []string{service}, Window: window})
			if found.Service != want.Service || found.Version != want.Version || found.Source != want.Source {
				t.Errorf("%s: %+v, want %+v", call, found, want)
			}
		}
	})
	run(t, "a lease has ended before its time", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.bindAt(t, "v1", "a")
		f.bindAt(t, "v2", "b")
		time.Sleep(recordDelay)
		f.store.set(func() {
			f.store.lostLease = f.store.lease
			maps.DeleteFunc(f.store.items, func(key string, _ hookhall.Item) bool { return strings.Contains(key, "/log/") })
		})
		f.bindAt(t, "v2", "c")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
}

// TestNewStreamsWithoutRecords guards against streams that begin where their version can't be recorded, although
// the base version has targets.
func TestNewStreamsWithoutRecords(t *testing.T) {
	run(t, "preferred version", func(t *testing.T) {
		f := newFleet(2, "v1", "v2")
		g := f.at(0)
		check := func(want string) {
			t.Helper()
			if version, ok := g.Preferred(service); ok != (want != "") || ok && version != want {
				t.Errorf("preferred %q, %v; want %q", version, ok, want)
			}
		}
		check("")
		g.bind(t, "a", "v1")
		time.Sleep(recordDelay)
		check("")
		f.store.set(func() { f.store.isDown = true })
		g.bind(t, "b", "v2")
		time.Sleep(recordDelay)
		check("v1")
		f.store.set(func() { f.store.isDown = false })
		time.Sleep(5 * recordDelay)
		check("")
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
}

// TestWritesPerService guards against a number of writes that grows with the number of gateways or streams.
func TestWritesPerService(t *testing.T) {
	for _, gateways := range []int{9, 90, 986} {
		run(t, strconv.Itoa(gateways), func(t *testing.T) {
			f := newFleet(gateways, "v1", "v2")
			f.at(0).bind(t, "base", "v1")
			time.Sleep(recordDelay)
			f.store.set(func() { f.store.writes, f.store.reads = 0, 0 })
			const seconds = 4
			for n := range 100 * seconds {
				f.at(n%gateways).bindAsync("s"+strconv.Itoa(n), "v2")
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(recordDelay)
			writes, reads := f.store.calls()
			t.Logf("%d gateways: %.1f writes, %.1f reads a second", gateways, float64(writes)/seconds, float64(reads)/seconds)
			if writes > 41*seconds || reads > 2 {
				t.Errorf("%d writes and %d reads in %d s", writes, reads, seconds)
			}
		})
	}
}
