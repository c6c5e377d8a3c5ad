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
	// settleWait is how long a finished run waits for its claim to be
	// settled before the caller gets its answer all the same.
	settleWait = 50 * time.Millisecond
	// releaseWait is the same for one that ran nothing.
	releaseWait = 10 * time.Millisecond
	// waitMargin is how much longer than estimated the queues may turn out: who
	// is let in should not be refused later.
	waitMargin = 1.7
	// peekTime bounds the look behind a refusal's verdict.
	peekTime = 100 * time.Millisecond
)

// run is one request in progress. One thread works on it.
type run struct {
	*Runner
	request  *hookhall.Request
	account  *hookhall.Account
	pipeline *hookhall.Pipeline
	emit     Emit
	began    time.Time
	priority int
	weight   float64
	costs    []hookhall.StageCost
	ticket   *claims.Ticket
	// effects is set once a stage with effects may have run.
	effects bool
	// emitted is set once the caller was sent a part of the answer.
	emitted bool
	first   time.Duration
	// gates are those of the stages, as they were at admission; nil for a pool
	// that was not known then. reached is how many the run has come to.
	gates   []*admission.Gate
	reached int
}

func (x *run) claimed() bool {
	return !x.request.Repeatable && x.request.Key != "" && !x.policy.NoClaims
}

func (x *run) run(ctx context.Context) (*hookhall.Answer, error) {
	ctx, cancel := clock.WithDeadline(ctx, x.request.Deadline)
	defer cancel()
	leave, err := x.limits.Enter(ctx, x.account)
	if err != nil {
		return nil, x.refused(ctx, err)
	}
	defer leave()
	if err := x.admit(clock.Now()); err != nil {
		return nil, x.refused(ctx, err)
	}
	x.expect()
	defer x.withdraw()
	if !x.claimed() {
		output, err := x.stages(ctx)
		return x.finish(output, err)
	}
	return x.runClaimed(ctx)
}

// refused gives a refusal at admission its verdict. The key of a request that
// is not repeatable may have been used before: then "not run" must be proved.
func (x *run) refused(ctx context.Context, err error) error {
	if !x.claimed() {
		return err
	}
	e := *hookhall.AsError(err)
	ctx, cancel := context.WithTimeout(ctx, peekTime)
	defer cancel()
	e.Verdict = x.claims.Peek(ctx, x.claimKey())
	return &e
}

// claimKey keeps accounts' keys apart.
func (x *run) claimKey() string { return x.account.Name + "/" + x.request.Key }

func (x *run) runClaimed(ctx context.Context) (*hookhall.Answer, error) {
	ticket, record, err := x.claims.Acquire(ctx, x.claimKey(), x.request.Digest)
	if err != nil {
		return nil, err
	}
	if record != nil {
		return replay(record)
	}
	x.ticket = ticket
	// From here on the run goes to its end, whether the caller stays or not.
	ctx, cancel := clock.WithDeadline(context.WithoutCancel(ctx), x.request.Deadline)
	defer cancel()
	output, err := x.stages(ctx)
	answer, err := x.finish(output, err)
	x.settle(answer, err)
	return answer, err
}

// replay is the answer of an earlier run.
func replay(r *hookhall.Record) (*hookhall.Answer, error) {
	answer := &hookhall.Answer{}
	if len(r.Answer) == 0 || json.Unmarshal(r.Answer, answer) != nil {
		return nil, hookhall.Errorf(hookhall.Ran, hookhall.CauseUnknown,
			"an earlier submission with this key ran, and its answer was too large to be kept")
	}
	answer.Replayed = true
	return answer, nil
}

func (x *run) settle(answer *hookhall.Answer, err error) {
	switch {
	case err == nil:
		b, encodeErr := json.Marshal(answer)
		if encodeErr != nil {
			b = nil
		}
		x.claims.Settle(x.ticket, hookhall.StateFinished, b, settleWait)
	case x.effects:
		x.claims.Settle(x.ticket, hookhall.StateUnknown, nil, settleWait)
	default:
		x.claims.Settle(x.ticket, hookhall.StateReleased, nil, releaseWait)
	}
}

func (x *run) finish(output []byte, err error) (*hookhall.Answer, error) {
	if err != nil {
		e := *hookhall.AsError(err)
		e.Verdict = hookhall.NotRun
		if x.effects {
			e.Verdict = hookhall.MayHaveRun
		}
		return nil, &e
	}
	return &hookhall.Answer{Output: output, Cost: x.costs, FirstToken: x.first}, nil
}

func (x *run) stages(ctx context.Context) ([]byte, error) {
	input := x.request.Input
	for i := range x.pipeline.Stages {
		x.arrive(i)
		s := stageRun{run: x, index: i, stage: &x.pipeline.Stages[i], input: input}
		output, err := s.serve(ctx)
		if err != nil {
			e := *hookhall.AsError(err)
			e.Stage = s.stage.Name
			return nil, &e
		}
		input = output
	}
	return input, nil
}

// expect tells the gates of all stages that this run is to come.
func (x *run) expect() {
	x.gates = make([]*admission.Gate, len(x.pipeline.Stages))
	for i, s := range x.pipeline.Stages {
		if p := x.targets.Pool(s.Pool); p != nil {
			x.gates[i] = p.Gate
			p.Gate.Expect(x.priority, 1)
		}
	}
}

// arrive notes that the run has come to a stage's gate.
func (x *run) arrive(i int) {
	if g := x.gates[i]; g != nil {
		g.Expect(x.priority, -1)
	}
	x.reached = i + 1
}

// withdraw takes back what was expected to gates that the run did not reach.
func (x *run) withdraw() {
	for _, g := range x.gates[x.reached:] {
		if g != nil {
			g.Expect(x.priority, -1)
		}
	}
}

// admit refuses what can't make its deadline before anything is spent on it.
func (x *run) admit(now time.Time) error {
	left := x.request.Deadline.Sub(now)
	if left <= 0 {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline, "the deadline has passed")
	}
	if x.policy.NoEarlyRefusal {
		return nil
	}
	need := x.rest(0, len(x.request.Input))
	worst := time.Duration(0)
	retryAfter := time.Duration(0)
	for _, s := range x.pipeline.Stages {
		p := x.targets.Pool(s.Pool)
		if p == nil {
			continue
		}
		wait := p.Gate.Wait(x.account.Name, x.weight, x.priority, now)
		need += time.Duration(float64(wait) * waitMargin)
		if wait > worst {
			worst, retryAfter = wait, p.Gate.RetryAfter(x.account.Name, x.weight, x.priority, now)
		}
	}
	if need <= left {
		return nil
	}
	if worst == 0 {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline,
			"the pipeline takes %v now and %v is left", need.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload,
		"queue and pipeline take %v now and %v is left", need.Round(time.Millisecond), left.Round(time.Millisecond)).After(retryAfter)
}

// rest is what the stages from an index on are expected to take. The next one
// counts with its high estimate, those after it with their median: not all of
// them will be slow.
func (x *run) rest(from, size int) time.Duration {
	var sum time.Duration
	for i := from; i < len(x.pipeline.Stages); i++ {
		e := x.estimates.Get(x.key(i, size))
		if i == from {
			sum += e.High
		} else {
			sum += e.Median
		}
	}
	return sum
}

// key is the series of a stage. Generation is sized by what may be emitted.
func (x *run) key(i, size int) estimate.Key {
	k := estimate.Key{Pipeline: x.pipeline.Name, Stage: x.pipeline.Stages[i].Name}
	if n := x.maxTokens(i); n > 0 {
		k.Size = estimate.Bucket(n)
	}
	return k
}

func (x *run) maxTokens(i int) int {
	if n := x.pipeline.Stages[i].MaxTokens; n > 0 && (x.request.MaxTokens == 0 || n < x.request.MaxTokens) {
		return n
	}
	return x.request.MaxTokens
}
