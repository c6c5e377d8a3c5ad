// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package pipeline

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/targets"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routing"
	"github.com/pkg/errors"
)

const (
	// maxAttempts bounds the calls of one stage of one request.
	maxAttempts = 3
	// prefixBytes is the length in bytes of the start of an input that is hashed, so
	// that calls with the same prompt prefix prefer the same target.
	prefixBytes = 64
)

// stageRun is one stage of one request in progress.
type stageRun struct {
	*run
	index        int
	stage        *hookhall.Stage
	input        []byte
	triedTargets []string
}

// runAttempts calls targets of the stage's pool until a call succeeds or no further
// attempt is allowed. A retry also needs the pool's retry budget, unless all pools of
// the pipeline have free capacity.
func (s *stageRun) runAttempts(ctx context.Context) ([]byte, error) {
	pool := s.targets.Pool(s.stage.Pool)
	if pool == nil {
		return nil, noTargetError(s.stage.Pool)
	}
	for attempt := 1; ; attempt++ {
		output, err := s.attempt(ctx, pool, attempt)
		if err == nil {
			return output, nil
		}
		if !s.mayRetry(ctx, err, attempt) {
			return nil, err
		}
		if !s.poolsHaveCapacity() && !pool.SpendRetry() {
			return nil, err
		}
	}
}

// noTargetError returns the refusal for a pool that is unknown or has no usable
// target. The caller should retry after a second.
func noTargetError(pool string) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "pool %q has no target that takes work", pool).WithRetryAfter(time.Second)
}

// isAtMostOnce reports whether the stage must not run twice: it has side effects, and
// the request is not repeatable.
func (s *stageRun) isAtMostOnce() bool { return !s.request.Repeatable && !s.stage.Pure }

// mayRetry reports whether a further attempt is allowed after err.
func (s *stageRun) mayRetry(ctx context.Context, err error, attempt int) bool {
	failure := hookhall.AsError(err)
	if attempt >= maxAttempts || ctx.Err() != nil || failure.Cause == hookhall.CauseDeadline ||
		failure.Cause == hookhall.CauseNoTarget || failure.Cause == hookhall.CauseCanceled {
		return false
	}
	return failure.Verdict == hookhall.NotRun || !s.isAtMostOnce()
}

// poolsHaveCapacity reports whether all pools of the pipeline have free capacity.
// Then a few retries can't overload them, and take no capacity that other requests
// wait for.
func (s *stageRun) poolsHaveCapacity() bool {
	for _, gate := range s.gates {
		if gate != nil && !gate.HasCapacity() {
			return false
		}
	}
	return true
}

// attempt passes the gate, chooses a target and makes one call. Attempts of a stage
// count from 1.
func (s *stageRun) attempt(ctx context.Context, pool *targets.Pool, attempt int) ([]byte, error) {
	entered := clock.Now()
	if err := s.enterGate(ctx, pool); err != nil {
		return nil, err
	}
	admitted := clock.Now()
	defer func() { pool.Gate.Leave(clock.Since(admitted)) }()
	s.costs[s.index].WaitMS += milliseconds(admitted.Sub(entered))
	target := pool.Pick(s.prefixHash(), s.triedTargets, admitted)
	if target == nil {
		return nil, noTargetError(pool.Name)
	}
	if s.ticket != nil && !s.ticket.Usable(admitted) {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoClaim, "the claim is too old to be used").WithRetryAfter(time.Second)
	}
	s.triedTargets = append(s.triedTargets, target.ID)
	pool.EarnRetryShare()
	return s.call(ctx, pool, target, attempt)
}

// enterGate waits for admission at the gate of the pool, at most until the remaining
// stages could no longer end before the deadline.
func (s *stageRun) enterGate(ctx context.Context, pool *targets.Pool) error {
	now := clock.Now()
	item := &admission.Item{
		Account: s.account.Name, Weight: s.weight, Priority: s.priority,
		LatestStart: s.request.Deadline,
		Cost:        s.estimates.Get(s.estimateKey(s.index)).Median.Seconds(),
	}
	if !s.policy.NoEarlyRefusal {
		item.LatestStart = item.LatestStart.Add(-s.estimateRest(s.index))
		if now.After(item.LatestStart) {
			return s.deadlineError(pool, now)
		}
	}
	err := pool.Gate.Enter(ctx, item)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, admission.ErrTooLate), errors.Is(err, context.DeadlineExceeded):
		return s.deadlineError(pool, clock.Now())
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "the caller went away")
}

// deadlineError returns the refusal of a stage that can't end in time.
func (s *stageRun) deadlineError(pool *targets.Pool, now time.Time) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline,
		"the rest of the pipeline can't end in time").WithRetryAfter(pool.Gate.RetryAfter(s.account.Name, s.weight, s.priority, now))
}

// prefixHash returns the hash of the prompt prefix, by which a target is preferred.
func (s *stageRun) prefixHash() uint64 {
	return xxhash.Sum64(s.input[:min(prefixBytes, len(s.input))])
}

// call makes one call and records its cost, its duration and the target's report.
func (s *stageRun) call(ctx context.Context, pool *targets.Pool, target *routing.Target, attempt int) ([]byte, error) {
	stageCall := hookhall.StageCall{
		Request: s.request.ID, Stage: s.stage.Name, Attempt: attempt,
		Digest: xxhash.Sum64(s.input), Input: s.input, MaxTokens: s.maxTokens(s.index),
		Priority: s.priority, Deadline: s.request.Deadline, AtMostOnce: s.isAtMostOnce(),
	}
	if s.ticket != nil {
		stageCall.Key, stageCall.Epoch, stageCall.Token = s.claimKey(), s.ticket.Epoch, s.ticket.Token
	}
	began := clock.Now()
	target.Begin(began)
	result, err := s.backend.Call(ctx, target.Target, stageCall, s.chunkEmitter())
	now := clock.Now()
	cost := &s.costs[s.index]
	cost.Calls++
	cost.Tokens += result.Tokens
	cost.BusyMS += milliseconds(now.Sub(began) - result.QueueTime)
	cost.WaitMS += milliseconds(result.QueueTime)
	if err != nil {
		return nil, s.recordFailure(ctx, target, err, now.Sub(began))
	}
	if !s.stage.Pure {
		s.mayHaveEffects = true
	}
	target.End(now.Sub(began), false, now)
	target.RecordReport(result.Load, now)
	pool.Gate.Feedback(result.QueueTime, now.Sub(began)-result.QueueTime, now)
	s.estimates.Observe(s.estimateKey(s.index), now.Sub(began), now)
	return result.Output, nil
}

// recordFailure updates the target and the run after a failed call that lasted took,
// and returns the error for the caller.
func (s *stageRun) recordFailure(ctx context.Context, target *routing.Target, err error, took time.Duration) error {
	failure := hookhall.AsError(err)
	if failure.Verdict != hookhall.NotRun && !s.stage.Pure {
		s.mayHaveEffects = true
	}
	now := clock.Now()
	switch {
	case failure.Leaving:
		target.Cancel()
		s.targets.MarkLeaving(target)
	case ctx.Err() != nil:
		// The time until the cancellation is a lower bound of the call's duration, so
		// it goes into the estimates: a stage that has become slow must not be
		// estimated by its fast calls alone.
		s.estimates.Observe(s.estimateKey(s.index), took, now)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			target.EndAtDeadline(took)
			return hookhall.Errorf(failure.Verdict, hookhall.CauseDeadline, "the deadline passed at target %s", target.ID)
		}
		target.Cancel()
		return hookhall.Errorf(failure.Verdict, hookhall.CauseCanceled, "the caller went away")
	case failure.Cause == hookhall.CauseRefused:
		target.Cancel()
	default:
		target.End(took, true, now)
	}
	return failure
}

// chunkEmitter returns the function that sends the chunks of one call to the caller.
// It discards the chunks of all stages but the last.
func (s *stageRun) chunkEmitter() func([]byte) error {
	if s.index != len(s.pipeline.Stages)-1 || s.emit == nil {
		return func([]byte) error { return nil }
	}
	restart := s.emitted
	return func(chunk []byte) error {
		if s.firstToken == 0 {
			s.firstToken = clock.Since(s.start)
		}
		s.emitted = true
		err := s.emitEvent(Event{Text: chunk}, restart)
		restart = false
		if s.ticket != nil {
			return nil // a claimed run continues without its caller
		}
		return err
	}
}

// emitEvent sends an event, after an event that restarts the answer if restart is
// set.
func (s *stageRun) emitEvent(event Event, restart bool) error {
	if restart {
		if err := s.emit(Event{Restart: true}); err != nil {
			return err
		}
	}
	return s.emit(event)
}

// milliseconds returns d in milliseconds, 0 for a negative d.
func milliseconds(d time.Duration) float64 { return float64(max(d, 0)) / float64(time.Millisecond) }
