// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"runtime"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/metrics"
	"github.com/hookhall/hookhall/internal/coordination/claims"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routing"
)

// State is the state dump of an entry. Members and Unfenced are those of the view in
// force, whose number is Epoch.
type State struct {
	Member         hookhall.Member   `json:"member"`
	UpSeconds      float64           `json:"up_s"`
	Ready          bool              `json:"ready"`
	Draining       bool              `json:"draining"`
	ActiveRequests int64             `json:"active_requests"`
	TableVersion   uint64            `json:"table_version"`
	TableSince     time.Time         `json:"table_since"`
	TableConfirmed bool              `json:"table_confirmed"`
	Epoch          uint64            `json:"epoch"`
	Members        []hookhall.Member `json:"members"`
	Unfenced       []hookhall.Member `json:"unfenced,omitempty"`
	Claims         claim.Summary     `json:"claims"`
	ClaimCounts    claims.Counts     `json:"claim_counts"`
	OwnedLimits    int               `json:"owned_limits"`
	Pools          []PoolState       `json:"pools"`
	Estimates      []EstimateState   `json:"estimates"`
	Cost           CostState         `json:"cost"`
}

// PoolState describes one pool: its admission gate and its targets.
type PoolState struct {
	Name    string           `json:"name"`
	Gate    admission.Status `json:"gate"`
	Targets []routing.Status `json:"targets"`
}

// EstimateState is the current estimate of how long calls of a stage take for requests of
// one size class: MedianMS is the median, HighMS the 90th percentile, in milliseconds.
type EstimateState struct {
	Pipeline string  `json:"pipeline"`
	Stage    string  `json:"stage"`
	Size     int     `json:"size"`
	MedianMS float64 `json:"median_ms"`
	HighMS   float64 `json:"high_ms"`
}

// CostState has the use of resources of this process and of the platform. The values are
// totals since the start of the process, except HeapBytes and Goroutines, which are
// current.
type CostState struct {
	ServiceCalls int64  `json:"service_calls"`
	ServiceBytes int64  `json:"service_bytes"`
	ViewWrites   int64  `json:"view_writes"`
	PeerBytes    int64  `json:"peer_bytes"`
	ListBytes    int64  `json:"list_bytes"`
	PeerRefusals int64  `json:"peer_refusals"`
	HeapBytes    uint64 `json:"heap_bytes"`
	Goroutines   int    `json:"goroutines"`
}

// TableVersion returns the version of the table in force.
func (e *Entry) TableVersion() uint64 { return e.tables.Version() }

// State returns the current state of the entry. It stops the process for the moment
// that runtime.ReadMemStats needs.
func (e *Entry) State() State {
	now := clock.Now()
	view, inForce := e.fleet.View(), e.tables.Current()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return State{
		Member: e.fleet.Self(), UpSeconds: now.Sub(e.started).Seconds(),
		Ready: callersService{e}.Ready(), Draining: e.draining.Load(), ActiveRequests: e.runner.ActiveRequests(),
		TableVersion: inForce.Snapshot.Version, TableSince: inForce.Since, TableConfirmed: e.tables.Ready(),
		Epoch: view.Epoch, Members: view.Members, Unfenced: view.Unfenced,
		Claims: e.store.Summary(), ClaimCounts: e.claims.Counts(), OwnedLimits: e.limits.OwnedAccounts(),
		Pools: e.poolStates(now), Estimates: e.estimateStates(),
		Cost: CostState{
			ServiceCalls: e.kv.Calls(), ServiceBytes: e.kv.BytesTransferred(), ViewWrites: e.fleet.ViewWrites(), PeerBytes: e.clients.BytesTransferred(), ListBytes: e.instanceList.BytesRead(),
			PeerRefusals: e.peers.RefusedCalls(), HeapBytes: mem.HeapAlloc, Goroutines: runtime.NumGoroutine(),
		},
	}
}

// poolStates returns the state of all pools and of their targets.
func (e *Entry) poolStates(now time.Time) []PoolState {
	var pools []PoolState
	for _, pool := range e.targets.Pools() {
		state := PoolState{Name: pool.Name, Gate: pool.Gate.Status(now)}
		for _, target := range pool.Targets() {
			state.Targets = append(state.Targets, target.Status(now))
		}
		pools = append(pools, state)
	}
	return pools
}

// estimateStates returns all estimates, sorted by pipeline, stage and size.
func (e *Entry) estimateStates() []EstimateState {
	var list []EstimateState
	for key, estimate := range e.runner.Estimates().All() {
		list = append(list, EstimateState{key.Pipeline, key.Stage, key.Size, milliseconds(estimate.Median), milliseconds(estimate.P90)})
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if a.Pipeline != b.Pipeline {
			return a.Pipeline < b.Pipeline
		}
		if a.Stage != b.Stage {
			return a.Stage < b.Stage
		}
		return a.Size < b.Size
	})
	return list
}

// milliseconds returns d in milliseconds, with its fraction.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Explanation describes what happened to the requests of a client account at this
// entry, and which cells of the table influence it. Row is the account's row in the
// table in force, nil if Known is false.
type Explanation struct {
	Account string            `json:"account"`
	Known   bool              `json:"known"`
	Row     *hookhall.Account `json:"row,omitempty"`
	// Counts has this entry's totals by cause since its start.
	Counts      map[string]int64 `json:"counts"`
	LastFailure *metrics.Failure `json:"last_failure,omitempty"`
	// WaitMS has the estimated wait of a request of this account now, with its weight
	// and priority, in milliseconds by pool.
	WaitMS map[string]float64 `json:"wait_ms"`
	Advice []string           `json:"advice"`
}

// adviceByCause has, by the cause of a refusal or failure, the cells of the table
// that influence it.
var adviceByCause = map[hookhall.Cause]string{
	hookhall.CauseLimit:    "it is at its own limit: raise accounts:rate or accounts:concurrency",
	hookhall.CauseOverload: "the queues are too long for its deadline: raise accounts:priority or accounts:weight, lengthen accounts:deadline_ms, or add targets to the pool with the longest wait",
	hookhall.CauseDeadline: "the pipeline takes longer than its deadline: lengthen accounts:deadline_ms, or lower stages:max_tokens",
	hookhall.CauseNoTarget: "a pool has no target that takes work: look at targets:leaving and at the instance list",
	hookhall.CauseTarget:   "targets fail: look at the pool's targets in the state dump",
	hookhall.CauseNoClaim:  "claims can't be had: look at the members that do not answer",
}

// Explain returns what happened to the requests of the client account called name at
// this entry, with advice for each cause that was counted.
func (e *Entry) Explain(name string) Explanation {
	now := clock.Now()
	account := e.tables.Current().Snapshot.Accounts[name]
	stats := e.metrics.Account(name)
	explanation := Explanation{Account: name, Known: account != nil, Row: account, Counts: stats.Counts(), LastFailure: stats.LastFailure(), WaitMS: map[string]float64{}}
	if account == nil {
		explanation.Advice = []string{"the table in force has no such account"}
		return explanation
	}
	for _, pool := range e.targets.Pools() {
		explanation.WaitMS[pool.Name] = milliseconds(pool.Gate.EstimateWait(account.Name, account.Weight, account.Priority, now))
	}
	for cause, text := range adviceByCause {
		if explanation.Counts[string(cause)] > 0 {
			explanation.Advice = append(explanation.Advice, string(cause)+": "+text)
		}
	}
	sort.Strings(explanation.Advice)
	return explanation
}
