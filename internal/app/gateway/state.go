// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// State is a dump of what the process believes.
type State struct {
	Instance string                     `json:"instance"`
	Stopping bool                       `json:"stopping"`
	InFlight int64                      `json:"in_flight"`
	Era      uint64                     `json:"store_era"`
	Table    int64                      `json:"table"`
	TableRev hookhall.Revision          `json:"table_revision"`
	Targets  hookhall.Revision          `json:"targets_revision"`
	AgeMS    int64                      `json:"targets_age_ms"`
	Halls    catalog.Halls              `json:"halls"`
	Rejected []string                   `json:"keys_of_no_target"`
	Cold     []string                   `json:"cold_targets"`
	Members  []hookhall.Member          `json:"members"`
	Balance  map[string]balance.Status  `json:"balance"`
	Advised  map[string]advisory.Status `json:"advised"`
	Refused  []RefusedContent           `json:"refused_contents"`
	Rollouts []rollouts.Standing        `json:"rollouts"`
	Repeats  budget.Status              `json:"repeats"`
	Buffered int64                      `json:"buffered_bytes"`
	Bodies   int64                      `json:"body_bytes"`
	Dropped  int64                      `json:"log_lines_dropped"`
}

// State reads the process's beliefs.
func (g *Gateway) State() State {
	now := clock.Now()
	s := State{
		Instance: g.settings.Gateway.Instance, Stopping: g.stopping.Load(), InFlight: g.drain.InFlight(),
		Members: g.members.List(now), Balance: map[string]balance.Status{}, Advised: map[string]advisory.Status{}, Dropped: g.out.Dropped(), Halls: g.catalog.Halls(),
		Refused: g.refusedContents(now), Rejected: g.catalog.Rejected(),
		Rollouts: g.rollouts.Orders().List,
		Era:      g.eras.Era(),
		Repeats:  g.forward.Budget.Status(now),
		Buffered: g.forward.Buffers.Held(),
		Bodies:   g.bodies.Held(),
	}
	if t := g.catalog.Table(); t != nil {
		s.Table = t.Version()
		_, s.TableRev = g.catalog.PackedTable()
	}
	if p := g.catalog.Picture(); p != nil {
		s.Targets, s.AgeMS = p.Revision, p.Age(now).Milliseconds()
		for id, t := range g.catalog.Known() {
			s.Balance[id] = g.tracker.Status(t.Life(), now)
			if a := g.advisories.Book.Status(t.Life()); a != (advisory.Status{}) {
				s.Advised[id] = a
			}
		}
		s.Cold = p.Cold(now)
	}
	return s
}

func (g *Gateway) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(g.State()) // the reader may have gone
}
