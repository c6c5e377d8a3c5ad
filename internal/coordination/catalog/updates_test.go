// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// readyReading lists targets, all of them ready.
func readyReading(at hookhall.Revision, ids ...string) Reading {
	r := Reading{Revision: at, Began: time.Now()}
	for _, id := range ids {
		r.Items = append(r.Items, hookhall.Item{Key: "t/" + id, Value: []byte("ready")})
	}
	return r
}

// TestUpdates checks that an update confirms a follower's state only if the follower then has the
// same list as the sender.
func TestUpdates(t *testing.T) {
	Convey("Given a reader and a follower with the same targets", t, func() {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.ApplyReading(readyReading(1, "a", "b", "c"), "store")
		follower.ApplyReading(readyReading(1, "a", "b", "c"), "store")
		began := follower.Snapshot().Began
		Convey("an update without changes confirms the follower's state", func() {
			reader.ApplyReading(readyReading(2, "a", "b", "c"), "store")
			So(isNewer(follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")), ShouldBeTrue)
			So(follower.Snapshot().Revision, ShouldEqual, 2)
			So(follower.Snapshot().Began.After(began), ShouldBeTrue)
		})
		Convey("an update brings changes and a new age", func() {
			reader.ApplyReading(readyReading(2, "a", "b", "d"), "store")
			So(isNewer(follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")), ShouldBeTrue)
			So(follower.Snapshot().Digest, ShouldEqual, reader.Snapshot().Digest)
			So(follower.Snapshot().Revision, ShouldEqual, 2)
			So(len(follower.Targets("pool")), ShouldEqual, 3)
		})
		Convey("a gap leaves revision and age of the snapshot as they were", func() {
			reader.ApplyReading(readyReading(2, "a", "b", "d"), "store")
			update := reader.RecentUpdate(time.Now())
			update.Gone = nil // the update with the end of c was lost earlier
			So(hasGap(follower.ApplyUpdate(update, "reader")), ShouldBeTrue)
			So(follower.Snapshot().Revision, ShouldEqual, 1)
			So(follower.Snapshot().Began, ShouldEqual, began)
			So(follower.KnownTargets(), ShouldContainKey, "d")
		})
		Convey("an older update changes nothing", func() {
			old := reader.RecentUpdate(time.Now())
			follower.ApplyReading(readyReading(3, "a"), "store")
			So(isNewer(follower.ApplyUpdate(old, "reader")), ShouldBeFalse)
		})
		Convey("a process without a snapshot ignores updates", func() {
			So(isNewer(newCatalog(newFakeStore()).ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")), ShouldBeFalse)
		})
	})
}

// isNewer and hasGap select one of the two results of ApplyUpdate.
func isNewer(fresh, _ bool) bool { return fresh }
func hasGap(_, gap bool) bool    { return gap }

func isListed(c *Catalog, id string) bool {
	e := c.entriesByKey["t/"+id]
	return e != nil && e.missingSince.IsZero()
}

// TestRandomUpdates checks, for any loss of updates, that a follower whose digest agrees has the
// reader's list, and that one whose digest differs keeps its revision.
func TestRandomUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.ApplyReading(readyReading(1, "x0"), "store")
		follower.ApplyReading(readyReading(1, "x0"), "store")
		for at := hookhall.Revision(2); at < 30; at++ {
			var ids []string
			for i := range 6 {
				if rapid.Bool().Draw(t, "listed") {
					ids = append(ids, fmt.Sprint("x", i))
				}
			}
			reader.ApplyReading(readyReading(at, ids...), "store")
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			before := follower.Snapshot().Revision
			follower.ApplyUpdate(reader.RecentUpdate(time.Now()), "reader")
			snapshot := follower.Snapshot()
			if snapshot.Digest != reader.Snapshot().Digest {
				if snapshot.Revision != before {
					t.Fatal("a gap was confirmed")
				}
				continue
			}
			for id := range reader.KnownTargets() {
				if isListed(reader, id) != isListed(follower, id) {
					t.Fatalf("%s differs under equal digests", id)
				}
			}
		}
	})
}

// TestOnlyFirstReaderReads checks that only the first reader reads the store while it updates
// its peers, and that a peer reads for itself before its state is too old once updates stop.
func TestOnlyFirstReaderReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.targets["a"] = "ready"
		s.changed = make(chan struct{})
		first, follower := newCatalog(s), newCatalog(s)
		follower.ReaderRank = func() int { return 2 }
		var isSilent atomic.Bool
		first.OnStoreRead = func() {
			if isSilent.Load() {
				return
			}
			follower.ApplyUpdate(first.RecentUpdate(time.Now()), "first")
			revision, age := first.TableAge(time.Now())
			follower.ConfirmTable(revision, time.Now().Add(-age))
		}
		var ownReads atomic.Int64
		follower.OnStoreRead = func() { ownReads.Add(1) }
		s.setTable(1)
		ctx := t.Context()
		done := make(chan struct{}, 2)
		for _, c := range []*Catalog{first, follower} {
			go func() { c.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(2 * time.Second)
		ownReads.Store(0)
		time.Sleep(10 * time.Second)
		if n := ownReads.Load(); n > 0 {
			t.Errorf("the follower read %d times in ten seconds", n)
		}
		isSilent.Store(true)
		time.Sleep(1500 * time.Millisecond) // changes and departures must be in force within 2 s
		if ownReads.Load() == 0 {
			t.Error("the follower did not read though updates stopped")
		}
	})
}
