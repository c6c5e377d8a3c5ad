// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package bindings_test

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/bindings"
	"github.com/hookhall/hookhall/internal/state/binding"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// setGone changes whether a gateway is on the others' lists.
func (f *fleet) setGone(g *gateway, isGone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g.isGone = isGone
}

// TestLateWriteOfRecords guards against records that are lost because a write without an answer is done after
// the next one.
func TestLateWriteOfRecords(t *testing.T) {
	run(t, "segment", func(t *testing.T) {
		f := newFleet(1, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.set(func() { f.store.isLate = true })
		f.at(0).bind(t, "b", "v2")
		f.store.set(func() { f.store.isLate = false })
		f.at(0).bind(t, "c", "v2")
		time.Sleep(recordDelay)
		f.store.doLate()
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
		f.checkAll(t, "c", "v2", bindings.SourceStore)
	})
	run(t, "base version, which has come back", func(t *testing.T) {
		f := newFleet(1, "v1")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.listAll("v2")
		time.Sleep(binding.MaxWindow + time.Second)
		f.store.set(func() { f.store.isLate = true })
		f.at(0).bind(t, "b", "v2")
		time.Sleep(recordDelay)
		f.listAll("v1", "v2")
		f.store.set(func() { f.store.isLate = false })
		time.Sleep(recordDelay)
		f.at(0).bind(t, "c", "v1")
		time.Sleep(recordDelay)
		f.store.doLate()
		f.at(0).bind(t, "d", "v1")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		f.checkAll(t, "c", "v1", bindings.SourceBase, bindings.SourceStore)
		f.checkAll(t, "d", "v1", bindings.SourceBase, bindings.SourceStore)
	})
}

// TestBaseChangedByAnotherOwner guards against streams that are not recorded because a former owner of the journal
// remembers a base version that another owner has replaced since.
func TestBaseChangedByAnotherOwner(t *testing.T) {
	run(t, "the base version has come back", func(t *testing.T) {
		f := newFleet(5, "v1")
		first := f.at(0).Owner("streams/"+service, nil, clock.Now())
		f.gateway(first.Address).bind(t, "a", "v1")
		time.Sleep(recordDelay)
		f.listAll("v2")
		f.setGone(f.gateway(first.Address), true)
		time.Sleep(binding.MaxWindow + time.Second)
		other := f.at(slices.IndexFunc(f.order, func(address string) bool { return address != first.Address }))
		other.bind(t, "b", "v2")
		time.Sleep(recordDelay)
		f.setGone(f.gateway(first.Address), false)
		f.listAll("v1", "v2")
		other.bind(t, "c", "v1")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		f.checkAll(t, "c", "v1", bindings.SourceBase, bindings.SourceStore)
	})
}

// TestSoleVersionOfOtherService guards against a stream that goes on at another service of its route, because that
// service has had only one version.
func TestSoleVersionOfOtherService(t *testing.T) {
	run(t, "all gateways that knew have ended", func(t *testing.T) {
		f := newFleet(9, "v1")
		for _, g := range f.gateways {
			g.History.Observe("other", map[string]bool{"v1": true}, clock.Now())
		}
		time.Sleep(window)
		bound := binding.Binding{Key: binding.KeyOf("", "a"), Service: service, Version: "v1", ExpiresAt: clock.Now().Add(ttl), IsExplicit: true}
		f.at(0).Bind(t.Context(), bound, window)
		time.Sleep(recordDelay)
		for _, g := range f.holders("a", nil) {
			f.setGone(g, true)
		}
		at := f.order[slices.IndexFunc(f.order, func(address string) bool { return !f.gateway(address).isGone })]
		found := f.gateway(at).Find(t.Context(), bindings.Query{Key: bound.Key, Service: "other", Others: []string{service}, Window: window})
		if found.Service != service || found.Version != "v1" || found.Source != bindings.SourceStore {
			t.Errorf("%+v, want %s from the store", found, service)
		}
	})
}

// TestFirstRestoreOfStore guards against streams that are not recorded again when the store's era is 0 before the
// restore, which is also the era before the first answer.
func TestFirstRestoreOfStore(t *testing.T) {
	run(t, "the owner of the journal has ended meanwhile", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		f.store.set(func() { f.store.era = 0 })
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
		owner := f.gateway(f.at(0).Owner("streams/"+service, nil, clock.Now()).Address)
		f.setGone(owner, true)
		time.Sleep(time.Second)
		for n := range 5 { // the base version is in force again after 3 s
			f.at((slices.Index(f.order, owner.address)+1)%len(f.order)).bind(t, "c"+strconv.Itoa(n), "v2")
			time.Sleep(recordDelay)
		}
		stop()
		f.restartAll("v1", "v2")
		f.checkAll(t, "b", "v2", bindings.SourceStore)
	})
}

// TestRepeatedRecords guards against records that grow with each write that fails.
func TestRepeatedRecords(t *testing.T) {
	run(t, "the store is down", func(t *testing.T) {
		f := newFleet(1, "v1", "v2")
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.set(func() { f.store.isDown = true })
		f.at(0).bind(t, "b", "v2")
		time.Sleep(10 * time.Second)
		f.store.set(func() { f.store.isDown = false })
		time.Sleep(2 * recordDelay)
		keys := 0
		for key, item := range f.store.copyItems() {
			if strings.Contains(key, "/log/") {
				var segment struct{ Streams map[string][]byte }
				if err := json.Unmarshal(item.Value, &segment); err != nil {
					t.Fatal(err)
				}
				keys += len(segment.Streams["v2"]) / len(binding.Key{})
			}
		}
		if keys != 1 {
			t.Errorf("one stream is recorded %d times", keys)
		}
	})
}

// TestWritesWithoutOwner guards against a number of writes that grows with the number of gateways while the owner of
// the journal does not answer.
func TestWritesWithoutOwner(t *testing.T) {
	run(t, "986", func(t *testing.T) {
		const gateways, seconds = 986, 4
		f := newFleet(gateways, "v1", "v2")
		f.at(0).bind(t, "base", "v1")
		time.Sleep(recordDelay)
		owner := f.at(0).Owner("streams/"+service, nil, clock.Now())
		f.gateway(owner.Address).isDead = true
		f.store.set(func() { f.store.writes, f.store.reads = 0, 0 })
		leases := f.store.lease
		for n := range 100 * seconds {
			f.at(n%gateways).bindAsync("s"+strconv.Itoa(n), "v2")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(recordDelay)
		writes, reads := f.store.calls()
		if writes > 41*seconds || reads > 2 {
			t.Errorf("%d writes, %d reads and %d leases in %d s", writes, reads, f.store.lease-leases, seconds)
		}
	})
}

// TestRestoredStoreWithoutBase guards against a conclusion from the lack of a base version that a restore of the
// store has removed.
func TestRestoredStoreWithoutBase(t *testing.T) {
	run(t, "another version has taken the place of the stream's", func(t *testing.T) {
		f := newFleet(5, "v1")
		empty := f.store.copyItems()
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.restore(empty)
		f.restartAll("v2")
		f.checkAll(t, "a", "", bindings.SourceUnknown)
	})
	run(t, "the owner of the journal has written nothing before", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		ctx, stop := context.WithCancel(t.Context())
		for _, g := range f.gateways {
			go g.Recorder.Run(ctx)
		}
		empty := f.store.copyItems()
		first := f.at(0).Owner("streams/"+service, nil, clock.Now())
		f.bindAt(t, "v1", "a")
		time.Sleep(recordDelay)
		f.store.restore(empty)
		f.setGone(f.gateway(first.Address), true)
		f.at(slices.IndexFunc(f.order, func(address string) bool { return address != first.Address })).bind(t, "b", "v2")
		stop()
		f.restartAll("v1", "v2")
		found := f.at(0).Find(t.Context(), bindings.Query{Key: binding.KeyOf("", "a"), Service: service, Window: window})
		if found.Version == "v2" {
			t.Errorf("%+v, want v1 or unknown", found)
		}
	})
}

// TestRecordsOfStoppedGateway guards against streams without a record because their gateway has stopped as planned
// while the store was down.
func TestRecordsOfStoppedGateway(t *testing.T) {
	run(t, "the store is down meanwhile", func(t *testing.T) {
		f := newFleet(5, "v1", "v2")
		stopped := f.at(0)
		toPeer := stopped.Recorder.Remote
		stopped.Recorder.Remote = func(address string) bindings.Remote {
			if stopped.isKilled.Load() {
				return remote{stopped} // its process has ended
			}
			return toPeer(address)
		}
		f.bindAt(t, "v1", "a", "b", "c", "d", "e")
		time.Sleep(recordDelay)
		f.store.set(func() { f.store.isDown = true })
		stopped.bind(t, "stream", "v2")
		stopped.HandOver(t.Context())
		stopped.isKilled.Store(true)
		f.setGone(stopped, true)
		f.store.set(func() { f.store.isDown = false })
		time.Sleep(5 * recordDelay)
		f.restartAll("v1", "v2")
		f.checkAll(t, "stream", "v2", bindings.SourceStore)
	})
}

// TestBaseAfterSuspension guards against streams that are not recorded because a gateway that was suspended has not
// seen that the base version left the list and was replaced.
func TestBaseAfterSuspension(t *testing.T) {
	run(t, "the base version has come back", func(t *testing.T) {
		f := newFleet(5, "v1")
		f.bindAt(t, "v1", "a", "b", "c", "d", "e")
		time.Sleep(recordDelay)
		owner := f.gateway(f.at(0).Owner("streams/"+service, nil, clock.Now()).Address)
		suspended := f.at(slices.IndexFunc(f.order, func(address string) bool { return address != owner.address }))
		for _, g := range f.gateways {
			if g != suspended {
				g.list("v2")
			}
		}
		time.Sleep(binding.MaxWindow + time.Second)
		owner.bind(t, "f", "v2")
		time.Sleep(recordDelay)
		f.listAll("v1", "v2")
		suspended.bind(t, "g", "v1")
		time.Sleep(recordDelay)
		f.restartAll("v1", "v2")
		f.checkAll(t, "g", "v1", bindings.SourceStore, bindings.SourceBase)
	})
}
