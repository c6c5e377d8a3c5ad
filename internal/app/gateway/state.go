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

// State is the state dump of a gateway: its own state, and the store, the targets and
// the fleet as it knows them. Rejected keys are keys of the store, among those of
// targets, that name no target. Buffered bytes are those held of answers.
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

// State returns the current state of the gateway.
func (g *Gateway) State() State {
	now := clock.Now()
	state := State{
		Instance: g.settings.Gateway.Instance, Stopping: g.stopping.Load(), InFlight: g.drain.InFlight(),
		Members: g.members.List(now), Balance: map[string]balance.Status{}, Advised: map[string]advisory.Status{}, Dropped: g.logWriter.Dropped(), Halls: g.catalog.Halls(),
		Refused: g.refusedContents(now), Rejected: g.catalog.Rejected(),
		Rollouts: g.rollouts.Orders().List,
		Era:      g.eras.Era(),
		Repeats:  g.forward.Budget.Status(now),
		Buffered: g.forward.Buffers.Held(),
		Bodies:   g.bodies.Held(),
	}
	if table := g.catalog.Table(); table != nil {
		state.Table = table.Version()
		_, state.TableRev = g.catalog.PackedTable()
	}
	if picture := g.catalog.Picture(); picture != nil {
		state.Targets, state.AgeMS = picture.Revision, picture.Age(now).Milliseconds()
		for id, target := range g.catalog.Known() {
			state.Balance[id] = g.tracker.Status(target.Life(), now)
			if advised := g.advisories.Book.Status(target.Life()); advised != (advisory.Status{}) {
				state.Advised[id] = advised
			}
		}
		state.Cold = picture.Cold(now)
	}
	return state
}

// serveState answers an operator with the state dump as indented JSON.
func (g *Gateway) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(g.State()) // the client may have closed the connection
}
