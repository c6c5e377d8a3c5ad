// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/transport/keyvalue"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// keyValues are the implementations that the contract is run against, each with
// the switches of the service behind it.
var keyValues = map[string]func(t *testing.T) (hookhall.KeyValue, func(standin.KeyValueFaults)){
	"HTTP against the stand-in": func(t *testing.T) (hookhall.KeyValue, func(standin.KeyValueFaults)) {
		kv := standin.NewKeyValue()
		s := httptest.NewServer(kv)
		t.Cleanup(s.Close)
		return keyvalue.New(strings.TrimPrefix(s.URL, "http://")), kv.SetFaults
	},
}

func TestKeyValueContract(t *testing.T) {
	for name, make := range keyValues {
		Convey("A key-value service, "+name, t, func() {
			kv, faults := make(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			put := func(key, value string, index uint64) bool {
				ok, err := kv.CompareAndSwap(ctx, key, []byte(value), index)
				So(err, ShouldBeNil)
				return ok
			}
			Convey("has nothing under a new key", func() {
				e, err := kv.Get(ctx, "new")
				So(err, ShouldBeNil)
				So(e, ShouldResemble, hookhall.Entry{})
			})
			Convey("swaps only what the writer has seen", func() {
				So(put("k", "one", 0), ShouldBeTrue)
				So(put("k", "two", 0), ShouldBeFalse)
				e, err := kv.Get(ctx, "k")
				So(err, ShouldBeNil)
				So(string(e.Value), ShouldEqual, "one")
				So(put("k", "two", e.Index), ShouldBeTrue)
				So(put("k", "three", e.Index), ShouldBeFalse)
				now, err := kv.Get(ctx, "k")
				So(err, ShouldBeNil)
				So(string(now.Value), ShouldEqual, "two")
				So(now.Index, ShouldBeGreaterThan, e.Index)
			})
			Convey("wakes a watch when the key changes, and returns when the wait is over", func() {
				So(put("w", "one", 0), ShouldBeTrue)
				e, err := kv.Watch(ctx, "w", 0, time.Minute)
				So(err, ShouldBeNil)
				same, err := kv.Watch(ctx, "w", e.Index, 20*time.Millisecond)
				So(err, ShouldBeNil)
				So(same.Index, ShouldEqual, e.Index)
				seen := waitFor(func() (hookhall.Entry, error) { return kv.Watch(ctx, "w", e.Index, time.Minute) })
				So(put("w", "two", e.Index), ShouldBeTrue)
				r := <-seen
				So(r.err, ShouldBeNil)
				So(string(r.entry.Value), ShouldEqual, "two")
			})
			Convey("wakes a watch on a key that does not exist yet", func() {
				seen := waitFor(func() (hookhall.Entry, error) { return kv.Watch(ctx, "none", 0, time.Minute) })
				So(put("none", "now", 0), ShouldBeTrue)
				r := <-seen
				So(r.err, ShouldBeNil)
				So(string(r.entry.Value), ShouldEqual, "now")
			})
			Convey("deletes, also what is not there", func() {
				So(put("d", "one", 0), ShouldBeTrue)
				So(kv.Delete(ctx, "d"), ShouldBeNil)
				So(kv.Delete(ctx, "d"), ShouldBeNil)
				e, err := kv.Get(ctx, "d")
				So(err, ShouldBeNil)
				So(e.Index, ShouldEqual, 0)
			})
			Convey("takes a megabyte and no more", func() {
				So(put("big", strings.Repeat("x", keyvalue.MaxValue), 0), ShouldBeTrue)
				_, err := kv.CompareAndSwap(ctx, "bigger", []byte(strings.Repeat("x", keyvalue.MaxValue+1)), 0)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeFalse)
			})
			Convey("is unavailable, not wrong, in an outage", func() {
				faults(standin.KeyValueFaults{Down: true})
				_, err := kv.Get(ctx, "k")
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				ok, err := kv.CompareAndSwap(ctx, "k", nil, 0)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				_, err = kv.Watch(ctx, "k", 1, time.Minute)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
			Convey("ends a watch when an outage begins", func() {
				So(put("o", "one", 0), ShouldBeTrue)
				e, err := kv.Get(ctx, "o")
				So(err, ShouldBeNil)
				seen := waitFor(func() (hookhall.Entry, error) { return kv.Watch(ctx, "o", e.Index, time.Minute) })
				faults(standin.KeyValueFaults{Down: true})
				So(errors.Is((<-seen).err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
			Convey("may have written when its answer is lost", func() {
				faults(standin.KeyValueFaults{LoseWrites: 1})
				ok, err := kv.CompareAndSwap(ctx, "lost", []byte("there"), 0)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				e, err := kv.Get(ctx, "lost")
				So(err, ShouldBeNil)
				So(string(e.Value), ShouldEqual, "there")
			})
			Convey("is unavailable when it is too slow", func() {
				faults(standin.KeyValueFaults{SlowMS: 500})
				short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				_, err := kv.Get(short, "k")
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
		})
	}
}

type watched struct {
	entry hookhall.Entry
	err   error
}

// waitFor runs a watch beside the test.
func waitFor(watch func() (hookhall.Entry, error)) <-chan watched {
	c := make(chan watched, 1)
	go func() {
		e, err := watch()
		c <- watched{e, err}
	}()
	return c
}

func TestKeyValueGarbage(t *testing.T) {
	Convey("A service that answers nonsense is unavailable", t, func() {
		for _, answer := range []string{"", "{}", "[]", "[{},{}]", "<html>"} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
			_, err := keyvalue.New(strings.TrimPrefix(s.URL, "http://")).Get(context.Background(), "k")
			s.Close()
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
		}
	})
}
