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

// keyValues are the implementations that TestKeyValueContract runs against, by name. Each
// constructor also returns a function that injects faults into the service.
var keyValues = map[string]func(t *testing.T) (hookhall.KeyValue, func(standin.KeyValueFaults)){
	"HTTP against the stand-in": func(t *testing.T) (hookhall.KeyValue, func(standin.KeyValueFaults)) {
		kv := standin.NewKeyValue()
		s := httptest.NewServer(kv)
		t.Cleanup(s.Close)
		return keyvalue.New(strings.TrimPrefix(s.URL, "http://")), kv.SetFaults
	},
}

// TestKeyValueContract guards against a KeyValue that overwrites a value which its caller has
// not read, misses a change while watching, or reports a failed call as an answer. A write
// whose answer was lost has to fail with ErrUnavailable, since it may have taken effect.
func TestKeyValueContract(t *testing.T) {
	for name, newKeyValue := range keyValues {
		Convey("A key-value service, "+name, t, func() {
			kv, setFaults := newKeyValue(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			put := func(key, value string, index uint64) bool {
				ok, err := kv.CompareAndSwap(ctx, key, []byte(value), index)
				So(err, ShouldBeNil)
				return ok
			}
			Convey("returns a zero entry for a key that was never written", func() {
				e, err := kv.Get(ctx, "new")
				So(err, ShouldBeNil)
				So(e, ShouldResemble, hookhall.KeyValueEntry{})
			})
			Convey("writes only if the index is still the one given", func() {
				So(put("k", "one", 0), ShouldBeTrue)
				So(put("k", "two", 0), ShouldBeFalse)
				e, err := kv.Get(ctx, "k")
				So(err, ShouldBeNil)
				So(string(e.Value), ShouldEqual, "one")
				So(put("k", "two", e.Index), ShouldBeTrue)
				So(put("k", "three", e.Index), ShouldBeFalse)
				replaced, err := kv.Get(ctx, "k")
				So(err, ShouldBeNil)
				So(string(replaced.Value), ShouldEqual, "two")
				So(replaced.Index, ShouldBeGreaterThan, e.Index)
			})
			Convey("returns from a watch when the key changes or the wait has passed", func() {
				So(put("w", "one", 0), ShouldBeTrue)
				e, err := kv.Watch(ctx, "w", 0, time.Minute)
				So(err, ShouldBeNil)
				unchanged, err := kv.Watch(ctx, "w", e.Index, 20*time.Millisecond)
				So(err, ShouldBeNil)
				So(unchanged.Index, ShouldEqual, e.Index)
				watch := watchAsync(func() (hookhall.KeyValueEntry, error) { return kv.Watch(ctx, "w", e.Index, time.Minute) })
				So(put("w", "two", e.Index), ShouldBeTrue)
				r := <-watch
				So(r.err, ShouldBeNil)
				So(string(r.entry.Value), ShouldEqual, "two")
			})
			Convey("returns from a watch of a missing key when the key is created", func() {
				watch := watchAsync(func() (hookhall.KeyValueEntry, error) { return kv.Watch(ctx, "none", 0, time.Minute) })
				So(put("none", "now", 0), ShouldBeTrue)
				r := <-watch
				So(r.err, ShouldBeNil)
				So(string(r.entry.Value), ShouldEqual, "now")
			})
			Convey("deletes a key, also one that does not exist", func() {
				So(put("d", "one", 0), ShouldBeTrue)
				So(kv.Delete(ctx, "d"), ShouldBeNil)
				So(kv.Delete(ctx, "d"), ShouldBeNil)
				e, err := kv.Get(ctx, "d")
				So(err, ShouldBeNil)
				So(e.Index, ShouldEqual, 0)
			})
			Convey("accepts values of up to a megabyte", func() {
				So(put("big", strings.Repeat("x", keyvalue.MaxValueBytes), 0), ShouldBeTrue)
				_, err := kv.CompareAndSwap(ctx, "bigger", []byte(strings.Repeat("x", keyvalue.MaxValueBytes+1)), 0)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeFalse)
			})
			Convey("returns ErrUnavailable during an outage", func() {
				setFaults(standin.KeyValueFaults{Down: true})
				_, err := kv.Get(ctx, "k")
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				ok, err := kv.CompareAndSwap(ctx, "k", nil, 0)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				_, err = kv.Watch(ctx, "k", 1, time.Minute)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
			Convey("ends a watch with ErrUnavailable when an outage begins", func() {
				So(put("o", "one", 0), ShouldBeTrue)
				e, err := kv.Get(ctx, "o")
				So(err, ShouldBeNil)
				watch := watchAsync(func() (hookhall.KeyValueEntry, error) { return kv.Watch(ctx, "o", e.Index, time.Minute) })
				setFaults(standin.KeyValueFaults{Down: true})
				So(errors.Is((<-watch).err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
			Convey("returns ErrUnavailable for a write whose answer is lost, which may have taken effect", func() {
				setFaults(standin.KeyValueFaults{LoseWriteAnswers: 1})
				ok, err := kv.CompareAndSwap(ctx, "lost", []byte("there"), 0)
				So(ok, ShouldBeFalse)
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
				e, err := kv.Get(ctx, "lost")
				So(err, ShouldBeNil)
				So(string(e.Value), ShouldEqual, "there")
			})
			Convey("returns ErrUnavailable when the answer takes too long", func() {
				setFaults(standin.KeyValueFaults{SlowMS: 500})
				shortCtx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
				defer cancel()
				_, err := kv.Get(shortCtx, "k")
				So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			})
		})
	}
}

// watchResult is what a watch returned.
type watchResult struct {
	entry hookhall.KeyValueEntry
	err   error
}

// watchAsync runs a watch concurrently with the test and returns a channel for its result.
func watchAsync(watch func() (hookhall.KeyValueEntry, error)) <-chan watchResult {
	c := make(chan watchResult, 1)
	go func() {
		e, err := watch()
		c <- watchResult{e, err}
	}()
	return c
}

// TestKeyValueGarbage guards against a client that takes an answer which is not in the service's
// format for a missing key.
func TestKeyValueGarbage(t *testing.T) {
	Convey("A service whose answers can't be decoded is unavailable", t, func() {
		for _, answer := range []string{"", "{}", "[]", "[{},{}]", "<html>"} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(answer)) }))
			_, err := keyvalue.New(strings.TrimPrefix(s.URL, "http://")).Get(context.Background(), "k")
			s.Close()
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
		}
	})
}
