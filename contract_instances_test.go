// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/transport/instances"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// TestInstanceListContract guards against an instance list client that takes a failure or an
// unrelated answer for an empty list, by which all instances would seem gone, and against one
// that transfers the list again although it has not changed.
func TestInstanceListContract(t *testing.T) {
	Convey("The instance list", t, func() {
		list := standin.NewInstances(0)
		s := httptest.NewServer(list)
		Reset(s.Close)
		address := strings.TrimPrefix(s.URL, "http://")
		c := instances.New(address)
		Convey("is empty at first, and has what was set and not removed", func() {
			all, err := c.List(context.Background())
			So(err, ShouldBeNil)
			So(all, ShouldBeEmpty)
			list.Set(hookhall.Instance{ID: "b", Role: hookhall.RoleTarget, Pool: "p", Address: "127.0.0.1:1", State: hookhall.InstanceLeaving})
			list.Set(hookhall.Instance{ID: "a", Role: hookhall.RoleEntry})
			all, err = c.List(context.Background())
			So(err, ShouldBeNil)
			So(all, ShouldHaveLength, 2)
			So(all[1].State, ShouldEqual, hookhall.InstanceLeaving)
			list.Remove("b")
			all, err = c.List(context.Background())
			So(err, ShouldBeNil)
			So(all, ShouldHaveLength, 1)
		})
		Convey("is unavailable during an outage, when its server has stopped, and when the answer is no list", func() {
			So(standin.SendControl("PUT", address, "/standin/faults", map[string]bool{"down": true}), ShouldBeNil)
			_, err := c.List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			s.Close()
			_, err = c.List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			unrelated := httptest.NewServer(standin.NewTarget(standin.TargetSettings{Capacity: 1}))
			defer unrelated.Close()
			_, err = instances.New(strings.TrimPrefix(unrelated.URL, "http://")).List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
		})
		Convey("is not transferred again while it has not changed", func() {
			list.Set(hookhall.Instance{ID: "a"})
			for range 3 {
				all, err := c.List(context.Background())
				So(err, ShouldBeNil)
				So(all, ShouldHaveLength, 1)
			}
			bytesBefore := c.BytesRead()
			So(bytesBefore, ShouldBeGreaterThan, 0)
			_, err := c.List(context.Background())
			So(err, ShouldBeNil)
			So(c.BytesRead(), ShouldEqual, bytesBefore)
		})
		Convey("lags behind changes", func() {
			lagging := standin.NewInstances(time.Hour)
			s := httptest.NewServer(lagging)
			defer s.Close()
			lagging.Set(hookhall.Instance{ID: "a"})
			all, err := instances.New(strings.TrimPrefix(s.URL, "http://")).List(context.Background())
			So(err, ShouldBeNil)
			So(all, ShouldBeEmpty)
		})
	})
}
