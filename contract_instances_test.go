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

func TestInstanceListContract(t *testing.T) {
	Convey("The instance list", t, func() {
		list := standin.NewInstances(0)
		s := httptest.NewServer(list)
		Reset(s.Close)
		address := strings.TrimPrefix(s.URL, "http://")
		c := instances.New(address)
		Convey("is empty at first, and shows what is set and removed", func() {
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
		Convey("is unavailable in an outage, when it is gone, and when it answers nonsense", func() {
			So(standin.Control("PUT", address, "/standin/faults", map[string]bool{"down": true}), ShouldBeNil)
			_, err := c.List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			s.Close()
			_, err = c.List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
			nonsense := httptest.NewServer(standin.NewTarget(standin.TargetSettings{Capacity: 1}))
			defer nonsense.Close()
			_, err = instances.New(strings.TrimPrefix(nonsense.URL, "http://")).List(context.Background())
			So(errors.Is(err, hookhall.ErrUnavailable), ShouldBeTrue)
		})
		Convey("is not sent again while it has not changed", func() {
			list.Set(hookhall.Instance{ID: "a"})
			for range 3 {
				all, err := c.List(context.Background())
				So(err, ShouldBeNil)
				So(all, ShouldHaveLength, 1)
			}
			once := c.Bytes()
			So(once, ShouldBeGreaterThan, 0)
			_, err := c.List(context.Background())
			So(err, ShouldBeNil)
			So(c.Bytes(), ShouldEqual, once)
		})
		Convey("lags", func() {
			late := standin.NewInstances(time.Hour)
			s := httptest.NewServer(late)
			defer s.Close()
			late.Set(hookhall.Instance{ID: "a"})
			all, err := instances.New(strings.TrimPrefix(s.URL, "http://")).List(context.Background())
			So(err, ShouldBeNil)
			So(all, ShouldBeEmpty)
		})
	})
}
