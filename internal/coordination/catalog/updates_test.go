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

// reading lists targets, all ready.
func readyReading(at hookhall.Revision, ids ...string) Reading {
	r := Reading{Revision: at, Began: time.Now()}
	for _, id := range ids {
		r.Items = append(r.Items, hookhall.Item{Key: "t/" + id, Value: []byte("ready")})
	}
	return r
}

func TestUpdates(t *testing.T) {
	Convey("Given a reader and a follower with the same targets", t, func() {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.Learn(readyReading(1, "a", "b", "c"), "store")
		follower.Learn(readyReading(1, "a", "b", "c"), "store")
		began := follower.Picture().Began
		Convey("news without changes confirms what the follower has", func() {
			reader.Learn(readyReading(2, "a", "b", "c"), "store")
			So(isNewer(follower.LearnNews(reader.News(time.Now()), "reader")), ShouldBeTrue)
			So(follower.Picture().Revision, ShouldEqual, 2)
			So(follower.Picture().Began.After(began), ShouldBeTrue)
		})
		Convey("changes arrive, and the age with them", func() {
			reader.Learn(readyReading(2, "a", "b", "d"), "store")
			So(isNewer(follower.LearnNews(reader.News(time.Now()), "reader")), ShouldBeTrue)
			So(follower.Picture().Digest, ShouldEqual, reader.Picture().Digest)
			So(follower.Picture().Revision, ShouldEqual, 2)
			So(len(follower.Targets("pool")), ShouldEqual, 3)
		})
		Convey("a gap leaves the picture as old as it was", func() {
			reader.Learn(readyReading(2, "a", "b", "d"), "store")
			n := reader.News(time.Now())
			n.Gone = nil // the news that told of c's end was lost long ago
			So(hasGap(follower.LearnNews(n, "reader")), ShouldBeTrue)
			So(follower.Picture().Revision, ShouldEqual, 1)
			So(follower.Picture().Began, ShouldEqual, began)
			So(follower.Known(), ShouldContainKey, "d")
		})
		Convey("old news is no news", func() {
			old := reader.News(time.Now())
			follower.Learn(readyReading(3, "a"), "store")
			So(isNewer(follower.LearnNews(old, "reader")), ShouldBeFalse)
		})
		Convey("a process without a picture reads first", func() {
			So(isNewer(newCatalog(newFakeStore()).LearnNews(reader.News(time.Now()), "reader")), ShouldBeFalse)
		})
	})
}

// fresh and gap are the two results of LearnNews.
func isNewer(fresh, _ bool) bool { return fresh }
func hasGap(_, gap bool) bool    { return gap }

func isListed(c *Catalog, id string) bool {
	e := c.entriesByKey["t/"+id]
	return e != nil && e.missingSince.IsZero()
}

// TestRandomUpdates: whatever news is lost, a follower whose digest agrees has the
// reader's list, and one whose digest does not keeps its age.
func TestRandomUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, follower := newCatalog(newFakeStore()), newCatalog(newFakeStore())
		reader.Learn(readyReading(1, "x0"), "store")
		follower.Learn(readyReading(1, "x0"), "store")
		for at := hookhall.Revision(2); at < 30; at++ {
			var ids []string
			for i := range 6 {
				if rapid.Bool().Draw(t, "listed") {
					ids = append(ids, fmt.Sprint("x", i))
				}
			}
			reader.Learn(readyReading(at, ids...), "store")
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			before := follower.Picture().Revision
			follower.LearnNews(reader.News(time.Now()), "reader")
			p := follower.Picture()
			if p.Digest != reader.Picture().Digest {
				if p.Revision != before {
					t.Fatal("a gap was confirmed")
				}
				continue
			}
			for id := range reader.Known() {
				if isListed(reader, id) != isListed(follower, id) {
					t.Fatalf("%s differs under equal digests", id)
				}
			}
		}
	})
}

// TestOnlyFirstReaderReads: of processes that are told, only the first reads the store; when
// it falls silent, the others read before what they know is too old.
func TestOnlyFirstReaderReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.targets["a"] = "ready"
		s.changed = make(chan struct{})
		first, other := newCatalog(s), newCatalog(s)
		other.Rank = func() int { return 2 }
		var silent atomic.Bool
		first.Read = func() {
			if silent.Load() {
				return
			}
			other.LearnNews(first.News(time.Now()), "first")
			revision, age := first.TableAge(time.Now())
			other.ConfirmTable(revision, time.Now().Add(-age))
		}
		var own atomic.Int64
		other.Read = func() { own.Add(1) }
		s.setTable(1)
		ctx := t.Context()
		done := make(chan struct{}, 2)
		for _, c := range []*Catalog{first, other} {
			go func() { c.Run(ctx); done <- struct{}{} }()
		}
		time.Sleep(2 * time.Second)
		own.Store(0)
		time.Sleep(10 * time.Second)
		if n := own.Load(); n > 0 {
			t.Errorf("the other one read %d times in ten seconds", n)
		}
		silent.Store(true)
		time.Sleep(1500 * time.Millisecond) // the bounds of changes and leavings are 2 s
		if own.Load() == 0 {
			t.Error("the other one did not read though nobody told it anything")
		}
	})
}
