// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// brittleTargets is a Directory with two targets of three slots each.
type brittleTargets struct{}

func (brittleTargets) Table() *routetable.Table { return nil }

func (brittleTargets) Targets(string) []hookhall.Target {
	return []hookhall.Target{{ID: "a", Slots: 3}, {ID: "b", Slots: 3}}
}

// newBrittleOwner returns an owner with the given share, before targets of which those named are
// brittle.
func newBrittleOwner(share float64, names ...string) *Owner {
	registry := &advisory.Registry{}
	for _, name := range names {
		registry.Record(hookhall.Incarnation{ID: name}, hookhall.Advisory{Brittle: true, MaxRejections: 5}, clock.Now(), clock.Now())
	}
	owner := NewOwner(brittleTargets{}, balance.ColdLimits{})
	owner.Grants = func(string) advisory.Grants { return advisory.Grants{Registry: registry, Share: share} }
	return owner
}

// place places requests with tickets from first on, and returns how many got a target.
func place(o *Owner, first, count int) (placed int, last Choice) {
	for i := range count {
		last = o.Place(fmt.Sprint(first+i), "service", balance.Criteria{LatencyBudget: time.Second})
		if last.Target != "" {
			placed++
		}
	}
	return placed, last
}

// TestPlaceAtBrittleTargets guards against requests that are placed at brittle targets without room,
// and against callers that then choose a target themselves.
func TestPlaceAtBrittleTargets(t *testing.T) {
	owner := newBrittleOwner(1, "a", "b")
	if placed, last := place(owner, 0, 10); placed != 6 || !last.Full || last.RetryAfter <= 0 {
		t.Errorf("%d placed, then %+v", placed, last)
	}
	t.Run("the end of a request makes room", func(t *testing.T) {
		owner.ProcessNotes([]Note{{Ticket: "0", Kind: Ended}, {Ticket: "1", Kind: Ended}})
		if placed, _ := place(owner, 20, 5); placed != 2 {
			t.Errorf("%d placed", placed)
		}
	})
	t.Run("a rejection withholds some", func(t *testing.T) {
		owner := newBrittleOwner(1, "a", "b")
		place(owner, 0, 6)
		owner.ProcessNotes([]Note{{Ticket: "0", Kind: AtCapacity}})
		for i := range 6 {
			owner.ProcessNotes([]Note{{Ticket: fmt.Sprint(i), Kind: Ended}})
		}
		if placed, last := place(owner, 20, 10); placed != 3 || !last.Full {
			t.Errorf("%d placed, then %+v", placed, last)
		}
	})
	t.Run("others take what a brittle one can't", func(t *testing.T) {
		if placed, last := place(newBrittleOwner(1, "a"), 0, 20); placed != 20 || last.Full {
			t.Errorf("%d placed, then %+v", placed, last)
		}
	})
	t.Run("a process that is not the owner gives a part", func(t *testing.T) {
		if placed, last := place(newBrittleOwner(0.4, "a", "b"), 0, 10); placed != 2 || !last.Full {
			t.Errorf("%d placed, then %+v", placed, last)
		}
	})
	t.Run("without brittle targets nothing is bounded", func(t *testing.T) {
		if placed, last := place(newBrittleOwner(1), 0, 50); placed != 50 || last.Full {
			t.Errorf("%d placed, then %+v", placed, last)
		}
	})
}
