// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// calledOwner is an owner that is called without a network.
type calledOwner struct{ *Owner }

func (o calledOwner) Place(_ context.Context, ticket, service string, criteria balance.Criteria, _ []advisory.Report) (Choice, error) {
	return o.Owner.Place(ticket, service, criteria), nil
}

func (o calledOwner) Note(_ context.Context, notes []Note) error {
	o.ProcessNotes(notes)
	return nil
}

// placeByNewClient places requests for a process that has just started at an address that others
// had before.
func placeByNewClient(t *testing.T, o *Owner, count int) (placements []Placement) {
	t.Helper()
	client := &Client{Fleet: &suspicions{}, Remote: func(string) Remote { return calledOwner{o} }}
	for range count {
		p := client.Place(t.Context(), "service", balance.Criteria{LatencyBudget: time.Second}, nil)
		if p.Target == "" {
			t.Fatal("not placed")
		}
		placements = append(placements, p)
	}
	return placements
}

// TestRestartedClient guards against load that counts for ever at a placement owner: a process that was
// killed and starts again at its address used the tickets of its earlier requests anew.
func TestRestartedClient(t *testing.T) {
	owner := newBrittleOwner(1, "a", "b") // with room for six requests
	placeByNewClient(t, owner, 3)         // whose process is killed
	for _, p := range placeByNewClient(t, owner, 3) {
		owner.ProcessNotes([]Note{{Ticket: p.ticket, Kind: Ended}})
	}
	owner.Prune(func(hookhall.Incarnation) bool { return true }, clock.Now().Add(maxRunTime+time.Second))
	if placed, last := place(owner, 0, 7); placed != 6 || !last.Full {
		t.Errorf("%d of 6 requests placed once all earlier ones have ended, then %+v", placed, last)
	}
}

// TestRepeatedTicket guards against load that counts for ever at a placement owner whose caller, of an
// earlier version, uses a ticket twice.
func TestRepeatedTicket(t *testing.T) {
	owner := newBrittleOwner(1, "a", "b")
	place(owner, 0, 3)
	place(owner, 0, 3)
	owner.ProcessNotes([]Note{{Ticket: "0", Kind: Ended}, {Ticket: "1", Kind: Ended}, {Ticket: "2", Kind: Ended}})
	if placed, _ := place(owner, 10, 7); placed != 6 {
		t.Errorf("%d of 6 requests placed once all earlier ones have ended", placed)
	}
}
