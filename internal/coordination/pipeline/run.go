// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/claims"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/estimate"
)

const (
	// settleTimeout is how long a finished run waits for its claim to be settled.
	// After it the caller gets the answer while the claim is still being settled.
	settleTimeout = 50 * time.Millisecond
	// releaseTimeout is the same for a failed run without side effects, whose claim is
	// released.
	releaseTimeout = 10 * time.Millisecond
	// waitSafetyFactor multiplies the estimated waits of the queues at admission, so
	// that an admitted request is rarely refused at a later stage.
	waitSafetyFactor = 1.7
	// peekTimeout bounds the lookup of a key's claim for the verdict of a refusal.
	peekTimeout = 100 * time.Millisecond
)

// run is one request in progress. It is used by one goroutine at a time and has no
// lock.
type run struct {
	*Runner
	request  *hookhall.Request
	account  *hookhall.Account
	pipeline *hookhall.Pipeline
	emit     Emit                 // nil discards the output
	start    time.Time            // when Runner.Run was called
	priority int                  // of the request's class if that sets one, else of the account
	weight   float64              // of the account, times that of the class
	costs    []hookhall.StageCost // of each stage
	// ticket is the grant of the claim; nil if the request needs none.
	ticket *claims.Ticket
	// mayHaveEffects is true once a stage with side effects may have run.
	mayHaveEffects bool
	// emitted is true once a part of the answer was sent to the caller.
	emitted bool
	// firstToken is the time from start to the first chunk of the answer; 0 before.
	firstToken time.Duration
	// gates has the gate of each stage's pool as of admission, or nil for a pool
	// that was unknown then. gatesReached is the number of stages begun.
	gates        []*admission.Gate
	gatesReached int
}

// needsClaim reports whether the request must be claimed before it runs: it has a key
// and is not repeatable.
func (x *run) needsClaim() bool {
	return !x.request.Repeatable && x.request.Key != "" && !x.policy.NoClaims
}

// execute passes the limits of the account and admission, claims the request if that is
// needed, and runs its stages.
func (x *run) execute(ctx context.Context) (*hookhall.Answer, error) {
	ctx, cancel := clock.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	releaseLimits, err := x.limits.Enter(ctx, x.account)
	if err != nil {
		return nil, x.withVerdict(ctx, err)
	}
	defer releaseLimits()
	if err := x.admit(clock.Now()); err != nil {
		return nil, x.withVerdict(ctx, err)
	}
	x.expectAtGates()
	defer x.withdrawExpected()
	if !x.needsClaim() {
		output, err := x.runStages(ctx)
		return x.finish(output, err)
	}
	return x.runClaimed(ctx)
}

// withVerdict returns a refusal at admission with the verdict for the caller. An
// earlier submission may have used the key of a request that is not repeatable, so
// "not run" needs a lookup of the key's claim.
func (x *run) withVerdict(ctx context.Context, err error) error {
	if !x.needsClaim() {
		return err
	}
	refusal := *hookhall.AsError(err)
	ctx, cancel := context.WithTimeout(ctx, peekTimeout)
	defer cancel()
	refusal.Verdict = x.claims.Peek(ctx, x.claimKey())
	return &refusal
}

// claimKey returns the key of the request's claim. It contains the account, so that
// equal keys of two accounts don't collide.
func (x *run) claimKey() string { return x.account.Name + "/" + x.request.Key }

// runClaimed runs the stages under a claim, or returns the stored answer of an
// earlier run with the same key.
func (x *run) runClaimed(ctx context.Context) (*hookhall.Answer, error) {
	ticket, record, err := x.claims.Acquire(ctx, x.claimKey(), x.request.Digest)
	if err != nil {
		return nil, err
	}
	if record != nil {
		return replay(record)
	}
	x.ticket = ticket
	// From here on the run continues even if the caller disconnects, so that the
	// caller's retry finds the answer.
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), x.request.Deadline)
	defer cancel()
	output, err := x.runStages(ctx)
	answer, err := x.finish(output, err)
	x.settle(answer, err)
	return answer, err
}

// replay returns the answer stored in the record of an earlier run, or an error with
// the verdict Ran if it was not stored.
func replay(record *hookhall.Record) (*hookhall.Answer, error) {
	answer := &hookhall.Answer{}
	if len(record.Answer) == 0 || json.Unmarshal(record.Answer, answer) != nil {
		return nil, hookhall.Errorf(hookhall.Ran, hookhall.CauseUnknown,
			"an earlier submission with this key ran, and its answer was too large to be kept")
	}
	answer.Replayed = true
	return answer, nil
}

// settle records the end of a claimed run: finished with the answer, unknown if a
// stage with side effects may have run, and otherwise released.
func (x *run) settle(answer *hookhall.Answer, err error) {
	switch {
	case err == nil:
		encoded, encodeErr := json.Marshal(answer)
		if encodeErr != nil {
			encoded = nil
		}
		x.claims.Settle(x.ticket, hookhall.StateFinished, encoded, settleTimeout)
	case x.mayHaveEffects:
		x.claims.Settle(x.ticket, hookhall.StateUnknown, nil, settleTimeout)
	default:
		x.claims.Settle(x.ticket, hookhall.StateReleased, nil, releaseTimeout)
	}
}

// finish makes the answer from the last stage's output, or gives a failure its
// verdict.
func (x *run) finish(output []byte, err error) (*hookhall.Answer, error) {
	if err != nil {
		failure := *hookhall.AsError(err)
		failure.Verdict = hookhall.NotRun
		if x.mayHaveEffects {
			failure.Verdict = hookhall.MayHaveRun
		}
		return nil, &failure
	}
	return &hookhall.Answer{Output: output, Cost: x.costs, TimeToFirstToken: x.firstToken}, nil
}

// runStages runs the stages in order, each with the output of the one before, and
// returns the output of the last.
func (x *run) runStages(ctx context.Context) ([]byte, error) {
	input := x.request.Input
	for i := range x.pipeline.Stages {
		x.reachGate(i)
		current := stageRun{run: x, index: i, stage: &x.pipeline.Stages[i], input: input}
		output, err := current.runAttempts(ctx)
		if err != nil {
			failure := *hookhall.AsError(err)
			failure.Stage = current.stage.Name
			return nil, &failure
		}
		input = output
	}
	return input, nil
}

// expectAtGates counts the run as an expected call at the gates of all stages.
func (x *run) expectAtGates() {
	x.gates = make([]*admission.Gate, len(x.pipeline.Stages))
	for i, stage := range x.pipeline.Stages {
		if pool := x.targets.Pool(stage.Pool); pool != nil {
			x.gates[i] = pool.Gate
			pool.Gate.Expect(x.priority, 1)
		}
	}
}

// reachGate ends the expectation at the gate of stage i, which the run has reached.
func (x *run) reachGate(i int) {
	if g := x.gates[i]; g != nil {
		g.Expect(x.priority, -1)
	}
	x.gatesReached = i + 1
}

// withdrawExpected ends the expectation at the gates that the run did not reach.
func (x *run) withdrawExpected() {
	for _, g := range x.gates[x.gatesReached:] {
		if g != nil {
			g.Expect(x.priority, -1)
		}
	}
}

// admit refuses a request that is not expected to meet its deadline, before any
// work is done for it.
func (x *run) admit(now time.Time) error {
	remaining := x.request.Deadline.Sub(now)
	if remaining <= 0 {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline, "the deadline has passed")
	}
	if x.policy.NoEarlyRefusal {
		return nil
	}
	need := x.estimateRest(0)
	longestWait := time.Duration(0)
	retryAfter := time.Duration(0)
	for _, stage := range x.pipeline.Stages {
		pool := x.targets.Pool(stage.Pool)
		if pool == nil {
			continue
		}
		wait := pool.Gate.EstimateWait(x.account.Name, x.weight, x.priority, now)
		need += time.Duration(float64(wait) * waitSafetyFactor)
		if wait > longestWait {
			longestWait, retryAfter = wait, pool.Gate.RetryAfter(x.account.Name, x.weight, x.priority, now)
		}
	}
	if need <= remaining {
		return nil
	}
	if longestWait == 0 {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline,
			"the pipeline takes %v now and %v is left", need.Round(time.Millisecond), remaining.Round(time.Millisecond))
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload,
		"queue and pipeline take %v now and %v is left", need.Round(time.Millisecond), remaining.Round(time.Millisecond)).WithRetryAfter(retryAfter)
}

// estimateRest returns the expected duration of the stages from an index on, without
// the waits at gates. The next stage counts with its high estimate and those after
// it with their medians, because it is unlikely that all of them are slow.
func (x *run) estimateRest(first int) time.Duration {
	var sum time.Duration
	for i := first; i < len(x.pipeline.Stages); i++ {
		expected := x.estimates.Get(x.estimateKey(i))
		if i == first {
			sum += expected.P90
		} else {
			sum += expected.Median
		}
	}
	return sum
}

// estimateKey returns the key of the series of estimates for stage i. If the number
// of generated tokens is limited, there is a series per bucket of that limit.
func (x *run) estimateKey(i int) estimate.Key {
	key := estimate.Key{Pipeline: x.pipeline.Name, Stage: x.pipeline.Stages[i].Name}
	if n := x.maxTokens(i); n > 0 {
		key.Size = estimate.Bucket(n)
	}
	return key
}

// maxTokens returns the smaller of the limits that stage i and the request set for
// generated tokens; 0 means no limit.
func (x *run) maxTokens(i int) int {
	if n := x.pipeline.Stages[i].MaxTokens; n > 0 && (x.request.MaxTokens == 0 || n < x.request.MaxTokens) {
		return n
	}
	return x.request.MaxTokens
}
