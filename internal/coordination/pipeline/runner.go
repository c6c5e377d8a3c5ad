// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package pipeline runs requests: it admits them, passes them through their
// stages and decides about every call whether it is still worth making.
//
// # Model
//
// A request has one clock. At admission, and again before every stage, the time
// that is left is compared with what the rest of the pipeline is expected to
// take (package estimate) and with how long the pools' queues are (package
// admission). A request that can't make it is refused then, with the time to
// come back, and nothing more is spent on it.
//
// A run goes through: limits of the account, admission, the claim (if it is not
// repeatable and has a key), then for each stage the pool's gate, a target, a
// call; at the end the claim is settled.
//
// # Invariants
//
//   - A stage with effects of a request that is not repeatable is sent a second
//     time only after evidence that the first did not run.
//   - The verdict of a failed run is NotRun only if no stage with effects was
//     sent, or all that were sent gave evidence that they did not run.
//   - A claimed run goes on to its end when its caller goes away, so that the
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

// Policy is what experiments vary; the zero value is the product's.
type Policy struct {
	// NoEarlyRefusal lets every request run until its deadline.
	NoEarlyRefusal bool
	// NoClaims runs requests that are not repeatable without a claim: only
	// for the tests that show what claims are for.
	NoClaims bool
}

// Event is one piece of an answer on its way.
type Event struct {
	Text []byte
	// Restart tells the caller to drop what it has received: another target
	// runs the last stage from its start.
	Restart bool
}

// Emit takes events in order.
type Emit func(Event) error

// Runner runs requests.
type Runner struct {
	tables    *tables.Keeper
	targets   *targets.Directory
	claims    *claims.Claims
	limits    *limits.Limits
	backend   hookhall.Backend
	estimates *estimate.Set
	meter     Meter
	policy    Policy
	active    atomic.Int64
}

// Meter is told what happens; it must be quick and safe for many threads.
type Meter interface {
	// Stage is told the cost of one stage of a request that ended.
	Stage(pipeline string, c hookhall.StageCost)
	// Done is told how a request ended; err is nil for an answer.
	Done(r *hookhall.Request, took time.Duration, err *hookhall.Error)
}

// Parts are what a Runner works with.
type Parts struct {
	Tables  *tables.Keeper
	Targets *targets.Directory
	Claims  *claims.Claims
	Limits  *limits.Limits
	Backend hookhall.Backend
	Meter   Meter
	Policy  Policy
}

// New makes a Runner.
func New(p Parts) *Runner {
	return &Runner{
		tables: p.Tables, targets: p.Targets, claims: p.Claims, limits: p.Limits,
		backend: p.Backend, meter: p.Meter, policy: p.Policy, estimates: &estimate.Set{},
	}
}

// Active is the number of requests in progress.
func (r *Runner) Active() int64 { return r.active.Load() }

// Estimates are what has been learned of the stages.
func (r *Runner) Estimates() *estimate.Set { return r.estimates }

// Run runs a request to its end. The error, if any, is an *hookhall.Error.
func (r *Runner) Run(ctx context.Context, q *hookhall.Request, emit Emit) (*hookhall.Answer, error) {
	r.active.Add(1)
	defer r.active.Add(-1)
	began := clock.Now()
	x, err := r.prepare(q, emit, began)
	if err != nil {
		return nil, err
	}
	answer, err := x.run(ctx)
	failure := hookhall.AsError(err)
	var spent []hookhall.StageCost
	for _, c := range x.costs {
		if c.Calls > 0 {
			spent = append(spent, c)
			r.meter.Stage(q.Pipeline, c)
		}
	}
	r.meter.Done(q, clock.Since(began), failure)
	if failure != nil {
		failure.Cost = spent
		return nil, failure
	}
	return answer, nil
}

// prepare resolves names in the table in force. The whole run uses that table.
func (r *Runner) prepare(q *hookhall.Request, emit Emit, began time.Time) (*run, error) {
	s := r.tables.Current().Snapshot
	p, a := s.Pipelines[q.Pipeline], s.Accounts[q.Account]
	if p == nil || len(p.Stages) == 0 {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoPipeline, "there is no pipeline %q", q.Pipeline)
	}
	if a == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "there is no account %q", q.Account)
	}
	x := &run{
		Runner: r, request: q, account: a, pipeline: p, emit: emit, began: began,
		priority: a.Priority, weight: a.Weight, costs: make([]hookhall.StageCost, len(p.Stages)),
	}
	for i, g := range p.Stages {
		x.costs[i].Stage = g.Name
	}
	if c := s.Classes[q.Class]; c != nil {
		if c.Priority >= 0 {
			x.priority = c.Priority
		}
		if c.Weight > 0 {
			x.weight *= c.Weight
		}
	}
	return x, nil
}
