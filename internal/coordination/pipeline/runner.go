// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package pipeline runs requests: it admits them, takes them through the stages of
// their pipeline, and decides before every call whether it can still end in time.
//
// # Model
//
// A request has one deadline for all of its stages. At admission the remaining time
// is compared with the expected duration of the stages (package estimate) and of the
// waits in the queues of their pools (package admission), and before every stage with
// the expected duration of the remaining stages. A request that can't meet its
// deadline is refused at once, and no further work is done for it. If queues delay it,
// the refusal has a time to retry after.
//
// A run passes the limits of the account, then admission, then the claim (if it is
// not repeatable and has a key). Each stage then passes the gate of its pool and is
// called at a target of the pool. At the end the claim is settled.
//
// # Invariants
//
//   - A stage with side effects of a request that is not repeatable is called a
//     second time only after evidence that the first call did not run.
//   - The verdict of a failed run is NotRun only if no stage with side effects was
//     called, or there is evidence for every such call that it did not run.
//   - A claimed run continues to its end when its caller disconnects, so that the
//     caller's retry finds the answer.
package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/claims"
	"github.com/hookhall/hookhall/internal/coordination/limits"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/coordination/targets"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/estimate"
)

// Policy holds settings that are varied in experiments. The zero value is the policy
// for production.
type Policy struct {
	// NoEarlyRefusal disables the refusal of requests that are not expected to meet
	// their deadline; they run until it passes.
	NoEarlyRefusal bool
	// NoClaims runs requests that are not repeatable without a claim. It is meant
	// for tests that show the duplicate runs which claims prevent.
	NoClaims bool
}

// Event is one part of a streamed answer.
type Event struct {
	Text []byte // output of the last stage that follows the text of earlier events
	// Restart means that the caller must discard the text received so far, because
	// another target runs the last stage from its beginning.
	Restart bool
}

// Emit sends one event to the caller. It is called in the order of the events. An
// error cancels the call that produced the event, except in a claimed run.
type Emit func(Event) error

// Runner runs the requests of an entry. It is safe for concurrent use.
type Runner struct {
	tables    *tables.Follower
	targets   *targets.Directory
	claims    *claims.Claims
	limits    *limits.Limits
	backend   hookhall.Backend
	estimates *estimate.Set
	meter     Meter
	policy    Policy
	active    atomic.Int64
}

// Meter receives measurements. Its methods must be fast and safe for concurrent use.
type Meter interface {
	// RecordStage records the cost of one stage of a request that has ended.
	RecordStage(pipeline string, c hookhall.StageCost)
	// RecordRequest records the end of a request and its duration; err is nil for an answer.
	RecordRequest(r *hookhall.Request, took time.Duration, err *hookhall.Error)
}

// Dependencies holds the parts that a Runner calls. All but Policy must be set.
type Dependencies struct {
	Tables  *tables.Follower
	Targets *targets.Directory
	Claims  *claims.Claims
	Limits  *limits.Limits
	Backend hookhall.Backend
	Meter   Meter
	Policy  Policy
}

// New returns a Runner without estimates.
func New(deps Dependencies) *Runner {
	return &Runner{
		tables: deps.Tables, targets: deps.Targets, claims: deps.Claims, limits: deps.Limits,
		backend: deps.Backend, meter: deps.Meter, policy: deps.Policy, estimates: &estimate.Set{},
	}
}

// ActiveRequests returns the number of requests in progress.
func (r *Runner) ActiveRequests() int64 { return r.active.Load() }

// Estimates returns the measured durations of the stages.
func (r *Runner) Estimates() *estimate.Set { return r.estimates }

// Run runs a request to its end and passes the output of the last stage to emit as
// it arrives; emit may be nil. The error, if any, is an *hookhall.Error.
func (r *Runner) Run(ctx context.Context, request *hookhall.Request, emit Emit) (*hookhall.Answer, error) {
	r.active.Add(1)
	defer r.active.Add(-1)
	began := clock.Now()
	current, err := r.prepare(request, emit, began)
	if err != nil {
		return nil, err
	}
	answer, err := current.execute(ctx)
	failure := hookhall.AsError(err)
	var spent []hookhall.StageCost
	for _, cost := range current.costs {
		if cost.Calls > 0 {
			spent = append(spent, cost)
			r.meter.RecordStage(request.Pipeline, cost)
		}
	}
	r.meter.RecordRequest(request, clock.Since(began), failure)
	if failure != nil {
		failure.Cost = spent
		return nil, failure
	}
	return answer, nil
}

// prepare resolves the names of a request in the table in force. The run uses that
// version of the table to its end.
func (r *Runner) prepare(request *hookhall.Request, emit Emit, start time.Time) (*run, error) {
	snapshot := r.tables.Current().Snapshot
	pipeline, account := snapshot.Pipelines[request.Pipeline], snapshot.Accounts[request.Account]
	if pipeline == nil || len(pipeline.Stages) == 0 {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoPipeline, "there is no pipeline %q", request.Pipeline)
	}
	if account == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "there is no account %q", request.Account)
	}
	prepared := &run{
		Runner: r, request: request, account: account, pipeline: pipeline, emit: emit, start: start,
		priority: account.Priority, weight: account.Weight, costs: make([]hookhall.StageCost, len(pipeline.Stages)),
	}
	for i, stage := range pipeline.Stages {
		prepared.costs[i].Stage = stage.Name
	}
	if class := snapshot.Classes[request.Class]; class != nil {
		if class.Priority >= 0 {
			prepared.priority = class.Priority
		}
		if class.Weight > 0 {
			prepared.weight *= class.Weight
		}
	}
	return prepared, nil
}
