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

// State is an entry's dump.
type State struct {
	Member       hookhall.Member   `json:"member"`
	UpSeconds    float64           `json:"up_s"`
	Ready        bool              `json:"ready"`
	Draining     bool              `json:"draining"`
	Active       int64             `json:"active_requests"`
	TableVersion uint64            `json:"table_version"`
	TableSince   time.Time         `json:"table_since"`
	TableReady   bool              `json:"table_confirmed"`
	Epoch        uint64            `json:"epoch"`
	Members      []hookhall.Member `json:"members"`
	Unfenced     []hookhall.Member `json:"unfenced,omitempty"`
	Claims       claim.Summary     `json:"claims"`
	ClaimCounts  claims.Counts     `json:"claim_counts"`
	OwnedLimits  int               `json:"owned_limits"`
	Pools        []PoolState       `json:"pools"`
	Estimates    []EstimateState   `json:"estimates"`
	Cost         CostState         `json:"cost"`
}

// PoolState is a pool in a dump.
type PoolState struct {
	Name    string           `json:"name"`
	Gate    admission.Status `json:"gate"`
	Targets []routing.Status `json:"targets"`
}

// EstimateState is one learned estimate in a dump.
type EstimateState struct {
	Pipeline string  `json:"pipeline"`
	Stage    string  `json:"stage"`
	Size     int     `json:"size"`
	MedianMS float64 `json:"median_ms"`
	HighMS   float64 `json:"high_ms"`
}

// CostState is what this process costs itself and the platform.
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

// TableVersion is the version in force.
func (e *Entry) TableVersion() uint64 { return e.tables.Version() }

// State reads the entry's state.
func (e *Entry) State() State {
	now := clock.Now()
	v, inForce := e.fleet.View(), e.tables.Current()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return State{
		Member: e.fleet.Self(), UpSeconds: now.Sub(e.started).Seconds(),
		Ready: service{e}.Ready(), Draining: e.draining.Load(), Active: e.runner.Active(),
		TableVersion: inForce.Snapshot.Version, TableSince: inForce.Since, TableReady: e.tables.Ready(),
		Epoch: v.Epoch, Members: v.Members, Unfenced: v.Unfenced,
		Claims: e.store.Summary(), ClaimCounts: e.claims.Counts(), OwnedLimits: e.limits.Owned(),
		Pools: e.poolStates(now), Estimates: e.estimateStates(),
		Cost: CostState{
			ServiceCalls: e.kv.Calls(), ServiceBytes: e.kv.Bytes(), ViewWrites: e.fleet.Writes(), PeerBytes: e.clients.Bytes(), ListBytes: e.list.Bytes(),
			PeerRefusals: e.peers.Refused(), HeapBytes: mem.HeapAlloc, Goroutines: runtime.NumGoroutine(),
		},
	}
}

func (e *Entry) poolStates(now time.Time) []PoolState {
	var pools []PoolState
	for _, p := range e.targets.Pools() {
		s := PoolState{Name: p.Name, Gate: p.Gate.Status(now)}
		for _, t := range p.Targets() {
			s.Targets = append(s.Targets, t.Status(now))
		}
		pools = append(pools, s)
	}
	return pools
}

func (e *Entry) estimateStates() []EstimateState {
	var list []EstimateState
	for k, v := range e.runner.Estimates().All() {
		list = append(list, EstimateState{k.Pipeline, k.Stage, k.Size, ms(v.Median), ms(v.High)})
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

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Explanation says what an account's requests meet here, and what would change
// it.
type Explanation struct {
	Account string            `json:"account"`
	Known   bool              `json:"known"`
	Row     *hookhall.Account `json:"row,omitempty"`
	// Counts are this entry's totals by cause since its start.
	Counts map[string]int64 `json:"counts"`
	Last   *metrics.Refusal `json:"last_failure,omitempty"`
	// WaitMS is what a request of its priority would wait now, by pool.
	WaitMS map[string]float64 `json:"wait_ms"`
	Advice []string           `json:"advice"`
}

// advice says, by cause, which cell has a say in it.
var advice = map[hookhall.Cause]string{
	hookhall.CauseLimit:    "it is at its own limit: raise accounts:rate or accounts:concurrency",
	hookhall.CauseOverload: "the queues are too long for its deadline: raise accounts:priority or accounts:weight, lengthen accounts:deadline_ms, or add targets to the pool with the longest wait",
	hookhall.CauseDeadline: "the pipeline takes longer than its deadline: lengthen accounts:deadline_ms, or lower stages:max_tokens",
	hookhall.CauseNoTarget: "a pool has no target that takes work: look at targets:leaving and at the instance list",
	hookhall.CauseTarget:   "targets fail: look at the pool's targets in the state dump",
	hookhall.CauseNoClaim:  "claims can't be had: look at the members that do not answer",
}

// Explain says what an account's requests meet here.
func (e *Entry) Explain(name string) Explanation {
	now := clock.Now()
	a := e.tables.Current().Snapshot.Accounts[name]
	stats := e.metrics.Account(name)
	x := Explanation{Account: name, Known: a != nil, Row: a, Counts: stats.Counts(), Last: stats.Last(), WaitMS: map[string]float64{}}
	if a == nil {
		x.Advice = []string{"the table in force has no such account"}
		return x
	}
	for _, p := range e.targets.Pools() {
		x.WaitMS[p.Name] = ms(p.Gate.Wait(a.Name, a.Weight, a.Priority, now))
	}
	for cause, text := range advice {
		if x.Counts[string(cause)] > 0 {
			x.Advice = append(x.Advice, string(cause)+": "+text)
		}
	}
	sort.Strings(x.Advice)
	return x
}
