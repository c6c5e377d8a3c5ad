// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"encoding/json"
	"net/http"
	"runtime"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/forward"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/batch"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/reach"
)

// State is the state dump of a gateway: its own state, and the known state of the store,
// the targets and the fleet. RejectedKeys has the store's keys below the targets' prefix
// that hold no valid target. Listed is whether the gateway is on the list of members that it
// knows, MembersFrom where it learned that list, and Roles who owns the brokers and placement
// owners of services by it. BufferedBytes is the memory reserved for answers, BodyBytes
// that for request bodies. Pools has the latest known load of each stage pool by service,
// Overloads how the queues of the pools that this gateway brokers deal with jobs that can't
// start in time, and Admission the decisions that follow from the loads. Unreachable has the
// targets that this gateway can't connect to, by address, Isolated is whether it connects to all
// through peers, and Relayed the number of connections that it relays for peers.
type State struct {
	Instance        string                    `json:"instance"`
	Stopping        bool                      `json:"stopping"`
	InFlight        int64                     `json:"in_flight"`
	StoreEra        uint64                    `json:"store_era"`
	TableVersion    int64                     `json:"table"`
	TableRevision   hookhall.Revision         `json:"table_revision"`
	TableAgeMS      int64                     `json:"table_age_ms"`
	TargetsRevision hookhall.Revision         `json:"targets_revision"`
	TargetsAgeMS    int64                     `json:"targets_age_ms"`
	Halls           catalog.Halls             `json:"halls"`
	RejectedKeys    []string                  `json:"keys_of_no_target"`
	ColdTargets     []string                  `json:"cold_targets"`
	Members         []hookhall.Member         `json:"members"`
	Listed          bool                      `json:"listed"`
	MembersFrom     members.Source            `json:"members_from"`
	Roles           []members.RoleStatus      `json:"roles"`
	Balance         map[string]balance.Status `json:"balance"`
	// EnginePaces, PoolPaces and PausesAvoided are those of the services whose placement owner
	// this gateway is, the first by target, the second by service.
	EnginePaces     map[string]balance.EnginePace  `json:"engine_paces"`
	PoolPaces       map[string]balance.PoolPace    `json:"pool_paces"`
	PausesAvoided   int64                          `json:"pauses_avoided"`
	Advised         map[string]advisory.Status     `json:"advised"`
	RefusedContents []RefusedContent               `json:"refused_contents"`
	Rollouts        []rollouts.Progress            `json:"rollouts"`
	Pools           stages.PoolReports             `json:"pools"`
	Overloads       map[string]batch.OverloadState `json:"overloads"`
	Admission       forward.AdmissionStatus        `json:"admission"`
	Unreachable     map[string]reach.Status        `json:"unreachable"`
	Isolated        bool                           `json:"isolated"`
	Relayed         int64                          `json:"relayed"`
	Retries         budget.Status                  `json:"repeats"`
	BufferedBytes   int64                          `json:"buffered_bytes"`
	BodyBytes       int64                          `json:"body_bytes"`
	DroppedLogLines int64                          `json:"log_lines_dropped"`
	Goroutines      int                            `json:"goroutines"`
}

// State returns the current state of the gateway.
func (g *Gateway) State() State {
	now := clock.Now()
	state := State{
		Instance: g.settings.Gateway.Instance, Stopping: g.stopping.Load(), InFlight: g.drain.InFlight(),
		Members: g.members.List(now), Balance: map[string]balance.Status{}, Advised: map[string]advisory.Status{}, DroppedLogLines: g.logWriter.Dropped(), Halls: g.catalog.Halls(),
		RefusedContents: g.refusedContents(now), RejectedKeys: g.catalog.RejectedKeys(),
		Rollouts:      g.rollouts.Snapshot().List,
		StoreEra:      g.eras.Era(),
		Pools:         g.runner.PoolReports(now),
		Overloads:     g.broker.Overloads(),
		Admission:     g.forwarder.Admission.Status(),
		Unreachable:   g.paths.Table.Status(now),
		Isolated:      g.paths.Table.Isolated(),
		Relayed:       g.relayer.OpenCount(),
		Retries:       g.forwarder.Budget.Status(now),
		BufferedBytes: g.forwarder.Buffers.Held(),
		BodyBytes:     g.bodyBudget.Held(),
		Goroutines:    runtime.NumGoroutine(),
		EnginePaces:   map[string]balance.EnginePace{},
		PoolPaces:     g.placementOwner.PoolPaces(),
		PausesAvoided: g.placementOwner.AvoidedPauses(),
		Roles:         g.members.RoleStatuses(),
	}
	state.Listed, state.MembersFrom = g.members.Listed()
	if table := g.catalog.Table(); table != nil {
		state.TableVersion = table.Version()
		revision, age := g.catalog.TableAge(now)
		state.TableRevision, state.TableAgeMS = revision, age.Milliseconds()
	}
	if snapshot := g.catalog.Snapshot(); snapshot != nil {
		state.TargetsRevision, state.TargetsAgeMS = snapshot.Revision, snapshot.Age(now).Milliseconds()
		for id, target := range g.catalog.KnownTargets() {
			state.Balance[id] = g.tracker.Status(target.Incarnation(), now)
			if pace, ok := g.placementOwner.EnginePace(target.Incarnation()); ok {
				state.EnginePaces[id] = pace
			}
			if status := g.advisories.Registry.Status(target.Incarnation()); status != (advisory.Status{}) {
				state.Advised[id] = status
			}
		}
		state.ColdTargets = snapshot.ColdTargets(now)
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
