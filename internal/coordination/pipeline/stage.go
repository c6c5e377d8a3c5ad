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
	// attempts bounds the calls of one stage of one request.
	attempts = 3
	// prefixLength is how much of an input counts as its prompt prefix.
	prefixLength = 64
)

// stageRun is one stage of one request in progress.
type stageRun struct {
	*run
	index int
	stage *hookhall.Stage
	input []byte
	tried []string
}

// serve makes calls until one succeeds or no further one is allowed.
func (s *stageRun) serve(ctx context.Context) ([]byte, error) {
	pool := s.targets.Pool(s.stage.Pool)
	if pool == nil {
		return nil, noTarget(s.stage.Pool)
	}
	for attempt := 1; ; attempt++ {
		output, err := s.attempt(ctx, pool, attempt)
		if err == nil {
			return output, nil
		}
		if !s.mayRetry(ctx, err, attempt) {
			return nil, err
		}
		if !s.idle() && !pool.SpendRetry() {
			return nil, err
		}
	}
}

func noTarget(pool string) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "pool %q has no target that takes work", pool).After(time.Second)
}

// once tells whether the stage must not run twice.
func (s *stageRun) once() bool { return !s.request.Repeatable && !s.stage.Pure }

// mayRetry decides on a further call after err.
func (s *stageRun) mayRetry(ctx context.Context, err error, attempt int) bool {
	e := hookhall.AsError(err)
	if attempt >= attempts || ctx.Err() != nil || e.Cause == hookhall.CauseDeadline ||
		e.Cause == hookhall.CauseNoTarget || e.Cause == hookhall.CauseCanceled {
		return false
	}
	return e.Verdict == hookhall.NotRun || !s.once()
}

// idle tells whether all pools of the pipeline have room to spare: then a few
// retries can't storm them, and no other request waits for what they take.
func (s *stageRun) idle() bool {
	for _, g := range s.gates {
		if g != nil && !g.Idle() {
			return false
		}
	}
	return true
}

// attempt passes the gate, chooses a target and makes one call.
func (s *stageRun) attempt(ctx context.Context, pool *targets.Pool, attempt int) ([]byte, error) {
	entered := clock.Now()
	if err := s.enter(ctx, pool); err != nil {
		return nil, err
	}
	now := clock.Now()
	defer func() { pool.Gate.Leave(clock.Since(now)) }()
	s.costs[s.index].WaitMS += milliseconds(now.Sub(entered))
	t := pool.Pick(s.prefix(), s.tried, now)
	if t == nil {
		return nil, noTarget(pool.Name)
	}
	if s.ticket != nil && !s.ticket.Usable(now) {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoClaim, "the claim is too old to be used").After(time.Second)
	}
	s.tried = append(s.tried, t.ID)
	pool.Earn()
	return s.call(ctx, pool, t, attempt)
}

// enter waits at the gate, at most until starting makes no sense any more.
func (s *stageRun) enter(ctx context.Context, pool *targets.Pool) error {
	now := clock.Now()
	it := &admission.Item{
		Account: s.account.Name, Weight: s.weight, Priority: s.priority,
		Start: s.request.Deadline,
		Cost:  s.estimates.Get(s.key(s.index, len(s.input))).Median.Seconds(),
	}
	if !s.policy.NoEarlyRefusal {
		it.Start = it.Start.Add(-s.rest(s.index, len(s.input)))
		if now.After(it.Start) {
			return s.late(pool, now)
		}
	}
	err := pool.Gate.Enter(ctx, it)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, admission.ErrTooLate), errors.Is(err, context.DeadlineExceeded):
		return s.late(pool, clock.Now())
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "the caller went away")
}

func (s *stageRun) late(pool *targets.Pool, now time.Time) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline,
		"the rest of the pipeline can't end in time").After(pool.Gate.RetryAfter(s.account.Name, s.weight, s.priority, now))
}

func (s *stageRun) prefix() uint64 {
	return xxhash.Sum64(s.input[:min(prefixLength, len(s.input))])
}

// call makes one call and accounts for it.
func (s *stageRun) call(ctx context.Context, pool *targets.Pool, t *routing.Target, attempt int) ([]byte, error) {
	c := hookhall.StageCall{
		Request: s.request.ID, Stage: s.stage.Name, Attempt: attempt,
		Digest: xxhash.Sum64(s.input), Input: s.input, MaxTokens: s.maxTokens(s.index),
		Priority: s.priority, Deadline: s.request.Deadline, Once: s.once(),
	}
	if s.ticket != nil {
		c.Key, c.Epoch, c.Token = s.claimKey(), s.ticket.Epoch, s.ticket.Token
	}
	began := clock.Now()
	t.Begin(began)
	result, err := s.backend.Call(ctx, t.Target, c, s.emitter())
	now := clock.Now()
	cost := &s.costs[s.index]
	cost.Calls++
	cost.Tokens += result.Tokens
	cost.BusyMS += milliseconds(now.Sub(began) - result.Queue)
	cost.WaitMS += milliseconds(result.Queue)
	if err != nil {
		return nil, s.failed(ctx, t, err, now.Sub(began))
	}
	if !s.stage.Pure {
		s.effects = true
	}
	t.End(now.Sub(began), false, now)
	t.Report(result.Load, now)
	pool.Gate.Feedback(result.Queue, now.Sub(began)-result.Queue, now)
	s.estimates.Observe(s.key(s.index, len(s.input)), now.Sub(began), now)
	return result.Output, nil
}

// failed notes what a failure says of the target and of the request.
func (s *stageRun) failed(ctx context.Context, t *routing.Target, err error, took time.Duration) error {
	e := hookhall.AsError(err)
	if e.Verdict != hookhall.NotRun && !s.stage.Pure {
		s.effects = true
	}
	now := clock.Now()
	switch {
	case e.Leaving:
		t.Cancel()
		s.targets.MarkLeaving(t)
	case ctx.Err() != nil:
		// What a call that was cut off took is a lower bound worth knowing.
		s.estimates.Observe(s.key(s.index, len(s.input)), took, now)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.Late(took)
			return hookhall.Errorf(e.Verdict, hookhall.CauseDeadline, "the deadline passed at target %s", t.ID)
		}
		t.Cancel()
		return hookhall.Errorf(e.Verdict, hookhall.CauseCanceled, "the caller went away")
	case e.Cause == hookhall.CauseRefused:
		t.Cancel()
	default:
		t.End(took, true, now)
	}
	return e
}

// emitter passes the last stage's chunks on to the caller.
func (s *stageRun) emitter() func([]byte) error {
	if s.index != len(s.pipeline.Stages)-1 || s.emit == nil {
		return func([]byte) error { return nil }
	}
	restart := s.emitted
	return func(b []byte) error {
		if s.first == 0 {
			s.first = clock.Since(s.began)
		}
		s.emitted = true
		err := s.pass(Event{Text: b}, restart)
		restart = false
		if s.ticket != nil {
			return nil // a claimed run goes on without its caller
		}
		return err
	}
}

func (s *stageRun) pass(e Event, restart bool) error {
	if restart {
		if err := s.emit(Event{Restart: true}); err != nil {
			return err
		}
	}
	return s.emit(e)
}

func milliseconds(d time.Duration) float64 { return float64(max(d, 0)) / float64(time.Millisecond) }
