// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeSchema decodes routing tables from JSON and targets from short texts.
type fakeSchema struct{}

func (fakeSchema) OperatorPrefix() string { return "op/" }
func (fakeSchema) RoutingKey() string     { return "op/table" }
func (fakeSchema) TargetPrefix() string   { return "t/" }
func (fakeSchema) EvacuatedHall(key string) (string, bool) {
	return strings.CutPrefix(key, "op/out/")
}
func (fakeSchema) ReadRouting(b []byte) (*hookhall.Routing, error) {
	r := &hookhall.Routing{}
	return r, json.Unmarshal(b, r)
}
func (fakeSchema) ReadTarget(key string, b []byte) (hookhall.Target, error) {
	t := hookhall.Target{ID: key[2:], Pool: "pool"}
	// "a@north" is in the hall north; "cold 7 2000" is the value of its 7th heartbeat, which
	// reports that it stays cold for another two seconds.
	_, t.Hall, _ = strings.Cut(t.ID, "@")
	var left int
	if n, _ := fmt.Sscanf(string(b), "cold %d %d", &t.HeartbeatCount, &left); n == 2 {
		t.ColdLeft = time.Duration(left) * time.Millisecond
	}
	// "born 5 leaving" and "born 5 cold" are values of the incarnation that started at 5.
	fmt.Sscanf(string(b), "born %d", &t.Start)
	if strings.HasSuffix(string(b), " cold") {
		t.ColdLeft = time.Minute
	}
	t.Leaving = strings.HasSuffix(string(b), "leaving")
	// "at 10.0.0.1:80" is the address.
	fmt.Sscanf(string(b), "at %s", &t.Address)
	if string(b) == "bad" {
		return t, errors.New("bad")
	}
	return t, nil
}

// fakeStore has one table, evacuated halls and targets. It can fail and drop its history.
type fakeStore struct {
	hookhall.Store
	mu                sync.Mutex
	revision          hookhall.Revision
	table             hookhall.Item
	hallRevisions     map[string]hookhall.Revision // evacuated halls, with the revisions of their keys
	events            []hookhall.Item              // of the operators' keys
	targets           map[string]string
	down              bool
	oldestRevision    hookhall.Revision // history before it is gone
	operatorReads     int
	targetReads       int               // full reads of the targets
	staleTargets      map[string]string // the targets that RangeStale returns
	historyGoneCount  int
	targetsByRevision map[hookhall.Revision]map[string]string // the targets at revisions that were returned
	targetWatches     int                                     // watches of the targets
	changed           chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{targets: map[string]string{}, hallRevisions: map[string]hookhall.Revision{}, targetsByRevision: map[hookhall.Revision]map[string]string{}, changed: make(chan struct{})}
}

// update makes a change at the next revision and ends waiting watches.
func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setTable(version int64) {
	s.update(func() {
		b, _ := json.Marshal(hookhall.Routing{Version: version})
		s.table = hookhall.Item{Key: "op/table", Value: b, Revision: s.revision}
		s.events = append(s.events, s.table)
	})
}

// setEvacuated writes or removes a hall's key.
func (s *fakeStore) setEvacuated(hall string, on bool) {
	s.update(func() {
		s.events = append(s.events, hookhall.Item{Key: "op/out/" + hall, Revision: s.revision, Deleted: !on})
		delete(s.hallRevisions, hall)
		if on {
			s.hallRevisions[hall] = s.revision
		}
	})
}

func (s *fakeStore) Range(_ context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix == "op/" {
		return s.operatorItems()
	}
	s.targetReads++
	s.targetsByRevision[s.revision] = maps.Clone(s.targets)
	return s.targetItems(s.targets, s.revision)
}

// operatorItems lists the operators' keys. s.mu must be held.
func (s *fakeStore) operatorItems() ([]hookhall.Item, hookhall.Revision, error) {
	s.operatorReads++
	if s.down {
		return nil, 0, hookhall.ErrUnavailable
	}
	var list []hookhall.Item
	if s.table.Revision > 0 {
		list = append(list, s.table)
	}
	for hall, revision := range s.hallRevisions {
		list = append(list, hookhall.Item{Key: "op/out/" + hall, Revision: revision})
	}
	return list, s.revision, nil
}

// eventsSince lists the events of the operators' keys after a revision. s.mu must be held.
func (s *fakeStore) eventsSince(revision hookhall.Revision) []hookhall.Item {
	var list []hookhall.Item
	for _, i := range s.events {
		if i.Revision > revision {
			list = append(list, i)
		}
	}
	return list
}

// RangeStale returns staleTargets, as of the revision before the last change.
func (s *fakeStore) RangeStale(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetItems(s.staleTargets, max(s.revision, 1)-1)
}

func (s *fakeStore) targetItems(targets map[string]string, at hookhall.Revision) ([]hookhall.Item, hookhall.Revision, error) {
	if s.down {
		return nil, 0, hookhall.ErrUnavailable
	}
	var list []hookhall.Item
	for k, v := range targets {
		list = append(list, hookhall.Item{Key: "t/" + k, Value: []byte(v)})
	}
	return list, at, nil
}

// targetEventsSince lists how the targets differ from those at a revision that was returned
// before. s.mu must be held.
func (s *fakeStore) targetEventsSince(revision hookhall.Revision) []hookhall.Item {
	var list []hookhall.Item
	old := s.targetsByRevision[revision]
	for id, v := range s.targets {
		if previous, ok := old[id]; !ok || previous != v {
			list = append(list, hookhall.Item{Key: "t/" + id, Value: []byte(v), Revision: s.revision})
		}
	}
	for id := range old {
		if _, ok := s.targets[id]; !ok {
			list = append(list, hookhall.Item{Key: "t/" + id, Revision: s.revision, Deleted: true})
		}
	}
	s.targetsByRevision[s.revision] = maps.Clone(s.targets)
	return list
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, down, gone, changed := s.eventsSince(since), s.revision, s.down, since < s.oldestRevision, s.changed
		if prefix == "t/" {
			events = s.targetEventsSince(since)
			s.targetWatches++
		}
		if gone {
			s.historyGoneCount++
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, since, hookhall.ErrUnavailable
		case gone:
			return nil, since, hookhall.ErrHistoryGone
		case len(events) > 0:
			return events, at, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, at, nil
		case <-ctx.Done():
			return nil, since, ctx.Err()
		}
	}
}

func newCatalog(s hookhall.Store) *Catalog {
	return New(s, fakeSchema{}, log.New(io.Discard))
}

// TestMissingTableIsLoggedAgain guards against the loss of a table that is not logged, because the store
// had none when the process started.
func TestMissingTableIsLoggedAgain(t *testing.T) {
	var lines bytes.Buffer
	c := New(newFakeStore(), fakeSchema{}, log.New(&lines))
	found := []hookhall.Item{{Key: fakeSchema{}.RoutingKey(), Value: []byte("1"), Revision: 1}}
	for range 2 {
		c.logNoTable()
		c.logNoTable()
		c.applyStoredTable(found, time.Now())
	}
	if n := strings.Count(lines.String(), "store has no table"); n != 2 {
		t.Errorf("logged %d times in two periods without a table", n)
	}
}

// runCatalog runs a catalog and f in virtual time.
func runCatalog(t *testing.T, s *fakeStore, f func(c *Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{}) // must belong to this bubble
		c := newCatalog(s)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		f(c)
		cancel()
		<-done
	})
}

// TestTableIsFollowed checks that a change of the table is in force once the watch returns it.
func TestTableIsFollowed(t *testing.T) {
	s := newFakeStore()
	runCatalog(t, s, func(c *Catalog) {
		s.setTable(3)
		time.Sleep(time.Second)
		if c.Table().Version() != 3 {
			t.Fatalf("version %d", c.Table().Version())
		}
		s.setTable(4)
		time.Sleep(10 * time.Millisecond)
		if c.Table().Version() != 4 {
			t.Fatal("a change is not applied when the watch returns")
		}
	})
}

// TestTwoChangesAtOnce guards against applying the first of several changes in one answer of
// the store: the newest one must be in force.
func TestTwoChangesAtOnce(t *testing.T) {
	s := newFakeStore()
	runCatalog(t, s, func(c *Catalog) {
		s.setTable(1)
		time.Sleep(time.Second)
		s.mu.Lock()
		for version := 2; version <= 3; version++ {
			s.revision++
			b, _ := json.Marshal(hookhall.Routing{Version: int64(version)})
			s.table = hookhall.Item{Key: "op/table", Value: b, Revision: s.revision}
			s.events = append(s.events, s.table)
		}
		s.mu.Unlock()
		s.update(func() {})
		time.Sleep(time.Second)
		if v := c.Table().Version(); v != 3 {
			t.Errorf("version %d", v)
		}
	})
}

// TestForgottenHistoryIsNoOutage guards against reading the table in a loop. A table that was
// written long ago is older than the history that the store keeps, so that a watch from the
// key's own revision, instead of the store's, fails each time and rereads without a pause.
func TestForgottenHistoryIsNoOutage(t *testing.T) {
	s := newFakeStore()
	runCatalog(t, s, func(c *Catalog) {
		s.setTable(1)
		time.Sleep(time.Second)
		s.update(func() {})
		s.update(func() { s.oldestRevision = s.revision })
		time.Sleep(20 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.historyGoneCount > 2 || s.operatorReads > 20 {
			t.Fatalf("%d reads after %d watches without history", s.operatorReads, s.historyGoneCount)
		}
		if c.isFailing.Load() {
			t.Fatal("lost history counts as an outage")
		}
	})
}

// TestPackedTable checks that a packed table passes from one process to another unchanged, and
// that invalid bytes change nothing.
func TestPackedTable(t *testing.T) {
	a, b := newCatalog(newFakeStore()), newCatalog(newFakeStore())
	value, err := json.Marshal(hookhall.Routing{Version: 9, Routes: make([]hookhall.Route, 1000)})
	if err != nil {
		t.Fatal(err)
	}
	a.ApplyTable(value, 5, "store", time.Now())
	packed, revision, _ := a.PackedTable(time.Now())
	if len(packed) > len(value)/5 {
		t.Errorf("%d bytes of %d", len(packed), len(value))
	}
	if b.ApplyPackedTable([]byte("no table"), 4, "peer", time.Now()) || b.Table() != nil {
		t.Error("invalid bytes were applied as a table")
	}
	if !b.ApplyPackedTable(packed, revision, "peer", time.Now()) || b.Table().Version() != 9 {
		t.Error("the packed table was not applied")
	}
	if again, _, _ := b.PackedTable(time.Now()); string(again) != string(packed) {
		t.Error("the table was packed again")
	}
	if b.ApplyPackedTable(packed, revision-1, "peer", time.Now()) {
		t.Error("an older revision was applied")
	}
}

// TestOutageKeepsKnownState checks that an outage of the store changes only the age of the known
// state, and that a change made in it is in force soon after its end.
func TestOutageKeepsKnownState(t *testing.T) {
	s := newFakeStore()
	s.targets["a"] = "ready"
	runCatalog(t, s, func(c *Catalog) {
		s.setTable(1)
		time.Sleep(time.Second)
		s.update(func() { s.down = true })
		time.Sleep(10 * time.Second)
		if c.Table() == nil || len(c.Targets("pool")) != 1 {
			t.Fatal("known state was lost in an outage")
		}
		if age := c.Snapshot().Age(time.Now()); age < 9*time.Second {
			t.Fatalf("the age is %v after ten seconds of outage", age)
		}
		s.update(func() { s.down = false })
		s.setTable(2)
		time.Sleep(time.Second)
		if c.Table().Version() != 2 {
			t.Fatal("a change made in an outage is not applied a second after its end")
		}
	})
}

// TestMissingTargets guards against treating the expired leases of an outage as targets that left,
// and against using a target that did leave.
func TestMissingTargets(t *testing.T) {
	read := func(c *Catalog, at hookhall.Revision, ids ...string) {
		r := Reading{Revision: at, Began: time.Now()}
		for _, id := range ids {
			key, value := id, "ready"
			if id[0] == '-' {
				key, value = id[1:], "leaving"
			}
			r.Items = append(r.Items, hookhall.Item{Key: "t/" + key, Value: []byte(value)})
		}
		c.ApplyReading(r, "test")
	}
	usable := func(c *Catalog) int { return len(c.Targets("pool")) }
	Convey("Given a catalog with five targets", t, func() {
		c := newCatalog(newFakeStore())
		read(c, 1, "a", "b", "c", "d", "e")
		So(usable(c), ShouldEqual, 5)
		Convey("a target that goes missing after an outage gets no new requests", func() {
			c.recordCall(t.Context(), hookhall.ErrUnavailable)
			read(c, 2, "a", "b", "c", "d")
			So(usable(c), ShouldEqual, 4)
		})
		Convey("many targets that go missing together stay usable for a while", func() {
			read(c, 2, "a")
			So(usable(c), ShouldEqual, 5)
		})
		Convey("a leaving target gets no new requests, even if it is listed as ready later", func() {
			read(c, 2, "a", "b", "c", "d", "-e")
			So(usable(c), ShouldEqual, 4)
			read(c, 3, "a", "b", "c", "d", "e")
			So(usable(c), ShouldEqual, 4)
		})
		Convey("a target that left stays unusable when many go missing", func() {
			read(c, 2, "a", "b", "c", "d", "-e")
			read(c, 3)
			So(usable(c), ShouldEqual, 4)
		})
		Convey("an older reading changes nothing", func() {
			read(c, 3, "a", "b")
			read(c, 2, "a", "b", "c", "d", "e", "f")
			So(usable(c), ShouldEqual, 5) // three lapsed, f unknown
			So(c.KnownTargets(), ShouldNotContainKey, "f")
		})
		Convey("a key that cannot be parsed is skipped", func() {
			c.ApplyReading(Reading{Revision: 2, Began: time.Now(), Items: []hookhall.Item{{Key: "t/x", Value: []byte("bad")}}}, "test")
			So(c.KnownTargets(), ShouldNotContainKey, "x")
		})
	})
}

// TestLapseEnds checks that lapsed targets that are not listed again become unusable after two
// seconds.
func TestLapseEnds(t *testing.T) {
	s := newFakeStore()
	for _, id := range []string{"a", "b", "c", "d"} {
		s.targets[id] = "ready"
	}
	runCatalog(t, s, func(c *Catalog) {
		time.Sleep(time.Second)
		s.update(func() { s.targets = map[string]string{} })
		time.Sleep(1900 * time.Millisecond)
		if n := len(c.Targets("pool")); n != 4 {
			t.Fatalf("%d targets 1.9 s after a lapse", n)
		}
		time.Sleep(time.Second)
		if n := len(c.Targets("pool")); n != 0 {
			t.Fatalf("%d targets 2.9 s after a lapse", n)
		}
	})
}

// TestNoTableYet checks that an answer without a table does not count as an outage.
func TestNoTableYet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		c := newCatalog(s)
		var failed atomic.Bool
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { c.Run(ctx); close(done) }()
		for range 400 {
			if c.Failing() {
				failed.Store(true)
			}
			time.Sleep(5 * time.Millisecond)
		}
		if failed.Load() {
			t.Error("an empty store counts as an outage")
		}
		s.setTable(1)
		time.Sleep(time.Second)
		if c.Table() == nil {
			t.Error("the table was not applied")
		}
		cancel()
		<-done
	})
}
