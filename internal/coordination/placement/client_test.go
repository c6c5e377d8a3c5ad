// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
)

// silentOwner is a placement owner that does not answer.
type silentOwner struct{}

func (silentOwner) Place(ctx context.Context, _, _ string, _ balance.Criteria, _ []advisory.Report) (Choice, error) {
	<-ctx.Done()
	return Choice{}, ctx.Err()
}

func (silentOwner) Note(context.Context, []Note) error { return nil }

// suspicions is a fleet of this process and an owner, which counts how often that is suspected.
type suspicions struct{ count int }

func (*suspicions) Self() hookhall.Member { return hookhall.Member{Address: "self"} }
func (*suspicions) Owner(string, map[string]bool, time.Time) hookhall.Member {
	return hookhall.Member{Address: "owner"}
}
func (s *suspicions) Suspect(string, time.Time) { s.count++ }

// TestSuspectedOwner guards against a member that loses all its work at all gateways because a
// request's own deadline passed while it was asked.
func TestSuspectedOwner(t *testing.T) {
	for name, c := range map[string]struct {
		timeLeft  time.Duration // of the request
		suspected int
	}{
		"the owner does not answer in time":        {time.Second, 1},
		"the request's own time is over":           {placeTimeout / 2, 0},
		"the request's time is over when it comes": {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &suspicions{}
				client := &Client{Fleet: fleet, Remote: func(string) Remote { return silentOwner{} }}
				ctx, cancel := context.WithTimeout(t.Context(), c.timeLeft)
				defer cancel()
				if p := client.Place(ctx, "service", balance.Criteria{}, nil); p.Target != "" {
					t.Errorf("placed at %s", p.Target)
				}
				if fleet.count != c.suspected {
					t.Errorf("the owner was suspected %d times, not %d", fleet.count, c.suspected)
				}
			})
		})
	}
}
