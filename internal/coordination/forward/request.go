// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// maxStageReruns limits how often the stages of one request run again.
	maxStageReruns = 2
	// maxTotalAttempts limits how often one request is sent. Unlike Route.MaxAttempts, it also
	// counts attempts that the target refused without running the request.
	maxTotalAttempts = 6
	// allRefusedPause is the pause before a request that all targets refused is offered to them
	// again.
	allRefusedPause = 25 * time.Millisecond
	// coldTargetPollInterval is the interval at which a request checks whether a cold target may
	// take it: a cold target that takes ten requests a second becomes available every 100 ms.
	coldTargetPollInterval = 50 * time.Millisecond
	// chunkSize is the size in bytes of the reads by which the unbuffered rest of an answer is
	// passed on.
	chunkSize = 16 << 10
)

// request is the state of one request that is being answered.
type request struct {
	*Forwarder
	call   *hookhall.Call
	answer hookhall.AnswerWriter
	table  *routetable.Table // in force when the request arrived
	// tableAge is how long before the arrival that table was last known to be the newest.
	tableAge time.Duration
	route    *hookhall.Route       // nil if none matches
	account  *hookhall.AccountKeys // nil if the route needs none
	service  string                // drawn from the route's services
	halls    []string              // halls in which it may run, nil for all
	arrived  time.Time
	// firstByteDue is the latency target: the arrival plus the route's LatencyObjective.
	firstByteDue time.Time
	// deadline is when the request gets its final answer.
	deadline time.Time

	// results are the results of the stages, nil before they ran and for routes without stages.
	results *stages.Results
	// stagesElapsed is the time from the arrival to the end of the stages.
	stagesElapsed    time.Duration
	firstByteElapsed time.Duration // from the arrival to the first event of a stream
	maxEventGap      time.Duration // longest time between two events of a stream
	criteria         balance.Criteria
	tried            map[string]bool // excluded targets: they refused the request, may have run it, or would crash
	notRunAt         []string        // those of tried that did not run the request
	isResultLost     bool            // a target did not find a result of a stage
	stageReruns      int             // how often the stages ran again
	attempts         int             // how often the request was sent
	// retryAccount is the state of the service's retry budget at the last request for a retry.
	retryAccount budget.Decision
	// retryGrantedAt is when a retry was granted that is not sent yet, zero if there is none;
	// retryWait is the longest time from a grant to its attempt.
	retryGrantedAt time.Time
	retryWait      time.Duration
	// limitWait is how long the request waited for targets with rate limits.
	limitWait time.Duration
	// roomWaits is how often the request waited for room of brittle targets.
	roomWaits int
	runs      int                 // attempts whose target may have run the request
	target    hookhall.Target     // of the last attempt
	placed    placement.Placement // of the next attempt; Target is "" if this process chose
	status    int                 // of the last answer
	sealed    bool                // whether the last answer bore its target's signature
	relay     string              // address of the peer through which the last answer came, "" for none
	framing   hookhall.Framing    // of the last answer
	// unfinishedBytes is the number of bytes after the last complete event of a stream when its
	// target ended it.
	unfinishedBytes int
	// begun is the software that began the stream.
	begun begunAt
	// bindElapsed is how long the first event waited until the stream was tied to its software.
	bindElapsed time.Duration
	// passedOn are the events of the stream that were sent to the client.
	passedOn passedEvents
	// cutDetail says why an answer that was begun could not be completed.
	cutDetail string
	// steps are the stages in the order in which admission considers them, nil if it is not
	// active or the request has no pieces. isLate is set for a request that goes behind
	// those in time, and refusal is the first refusal, also if mode log admits the request.
	steps   []stages.Step
	isLate  bool
	refusal atomic.Pointer[admission.Decision]
	// cachedIdentity is zero until identity is called.
	cachedIdentity crashes.Identity
}

// accountName returns the name of the client account, "" if the route needs none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// urgency returns the rank of the request: its account's priority plus the route's.
func (r *request) urgency() int {
	rank := r.route.Priority
	if r.account != nil {
		rank += accountPriorityWeight * r.account.Priority
	}
	return rank
}

// serve runs the stages and answers the request.
func (r *request) serve(ctx context.Context) error {
	refusal := r.takeUp(ctx)
	r.Budget.RecordRequest(r.service, r.arrived)
	if refusal != nil {
		return r.finalError(ctx, refusal)
	}
	r.criteria = r.newCriteria()
	if refusal := r.refuseEvacuated(); refusal != nil {
		return refusal
	}
	if refusal := r.excludeCrashing(); refusal != nil {
		return refusal
	}
	if refusal := r.admit(); refusal != nil {
		return r.finalError(ctx, refusal)
	}
	if err := r.runStages(ctx); err != nil {
		return err
	}
	defer func() { r.results.Release() }()
	if r.route.Kind == hookhall.KindStreaming {
		return r.serveStream(ctx)
	}
	return r.servePlain(ctx)
}

// refuseEvacuated returns an error if the service or a service of a needed stage has targets
// in evacuated halls only. Waiting for one would not help the request.
func (r *request) refuseEvacuated() *hookhall.Error {
	needed := []string{r.service}
	for i, stage := range r.route.Stages {
		if i < len(r.call.PieceCounts) && r.call.PieceCounts[i] > 0 {
			needed = append(needed, stage.Service)
		}
	}
	for _, service := range needed {
		if r.Catalog.Evacuated(service) {
			return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "all halls with targets of %s are evacuated", service).WithRetryAfter(evacuatedRetryAfter)
		}
	}
	return nil
}

// newCriteria returns the criteria by which the target is chosen.
func (r *request) newCriteria() balance.Criteria {
	criteria := balance.Criteria{ExcludedTargets: r.tried, MaxOutputTokens: r.call.MaxOutputTokens, Halls: r.halls}
	service := r.table.Service(r.service)
	if service != nil && service.Engine != nil {
		criteria.IsEngineCall = true
		criteria.EngineSpec = service.Engine
		criteria.MaxEventGap = r.table.MaxEventGap(r.service)
	}
	if service != nil && service.ColdRate > 0 {
		criteria.MaxColdRequests = func(target string) int { return r.ColdShare(target, service) }
	}
	last := len(r.call.Prompt) - 1
	for i, part := range r.call.Prompt {
		criteria.Parts = append(criteria.Parts, part.ID)
		if i == last {
			criteria.OwnTokens = part.Tokens
			break
		}
		criteria.SharedPart = part.ID
		criteria.SharedTokens += part.Tokens
	}
	return criteria
}

// rerunStages runs the stages again if their results are gone: they were released before the
// request is sent to a further target, or the last target did not find one.
func (r *request) rerunStages(ctx context.Context) error {
	if r.results == nil || !(r.isResultLost || r.results.Released()) {
		return nil
	}
	r.results.Release()
	r.isResultLost = false
	r.stageReruns++
	return r.runStages(ctx)
}

// runStages runs the stages of the request, again if a result can't be produced.
func (r *request) runStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	graph := stages.Graph{
		Call: r.call, Route: r.route, Table: r.table, FirstByteDue: r.firstByteDue, FirstByteDeadline: r.firstByteDeadline(), Urgency: r.urgency(),
		TimeToFirstByte: r.expectedAnswerTime(), TargetHall: r.expectedEngineHall(), Content: r.identity().Content, Account: r.accountName(),
	}
	if r.isLate {
		// Puts the latest starts of the stages into the past.
		graph.FirstByteDue = r.arrived
	}
	if r.steps != nil {
		graph.BeforeStage = r.beforeStage
	}
	for {
		results, err := r.Stages.Run(ctx, graph)
		r.stagesElapsed = clock.Since(r.arrived)
		if err == nil {
			r.results = results
			r.criteria.BytesByHall = results.BytesByHall()
			return nil
		}
		failure := hookhall.AsError(err)
		if failure.Cause != hookhall.CauseStage || ctx.Err() != nil || r.stageReruns >= maxStageReruns {
			return r.finalError(ctx, failure)
		}
		r.stageReruns++
		r.Log.Warn("running the stages again", "request", r.call.ID, "route", r.route.Name, "detail", failure.Detail, "left_ms", clock.Until(r.deadline).Milliseconds())
	}
}

const (
	// minAnswerTime is the time until the answer of a target without a prompt begins: it fetches
	// the results, and other requests are ahead.
	minAnswerTime = 70 * time.Millisecond
	// concurrentReadFactor is how much longer an engine takes to read a prompt beside others.
	concurrentReadFactor = 1.3
)

// expectedAnswerTime returns the expected time from the end of the stages to the first byte of
// the answer. It lets the stages of requests with long prompts run earlier. It assumes that
// the engine has read the shared parts of the prompt before.
func (r *request) expectedAnswerTime() time.Duration {
	if !r.criteria.IsEngineCall {
		return minAnswerTime
	}
	return minAnswerTime + time.Duration(concurrentReadFactor*float64(balance.PromptReadTime(r.criteria.OwnTokens)))
}

// firstByteDeadline returns when the client stops waiting for the first byte: the route's stall
// timeout after the arrival, or the deadline if that is earlier.
func (r *request) firstByteDeadline() time.Time {
	if stallTimeout := r.route.StallTimeout; stallTimeout > 0 && stallTimeout < r.deadline.Sub(r.arrived) {
		return r.arrived.Add(stallTimeout)
	}
	return r.deadline
}

// minSharedTokens is the number of shared prompt tokens from which on the engine is chosen by
// them, regardless of the hall of the results.
const minSharedTokens = 2000

// expectedEngineHall returns the hall of the engine that will probably read the results, "" if
// the engine will be chosen by the hall of the results or is not known.
func (r *request) expectedEngineHall() string {
	if !r.criteria.IsEngineCall || r.criteria.SharedTokens < minSharedTokens {
		return ""
	}
	targets := r.Catalog.Targets(r.service)
	first := r.Tracker.PreferredTarget(r.criteria.SharedPart, targets)
	for _, target := range targets {
		if target.ID == first {
			return target.Hall
		}
	}
	return ""
}

// isStopping reports whether ctx ended because this process is stopping.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), hookhall.ErrStopping) }

// finalError returns failure as the error for the client: with the cause of the end of ctx or
// of the deadline, the verdict over all attempts, and when the client should retry.
func (r *request) finalError(ctx context.Context, failure *hookhall.Error) error {
	expired := !clock.Now().Before(r.deadline)
	switch {
	case isStopping(ctx):
		failure = hookhall.Errorf(failure.Verdict, hookhall.CauseStopping, "this instance stops: %s", failure.Detail).WithRetryAfter(stoppingRetryAfter)
	case ctx.Err() != nil && !expired:
		failure = hookhall.Errorf(failure.Verdict, hookhall.CauseCanceled, "the client has gone: %s", failure.Detail)
	case ctx.Err() != nil, expired && failure.Cause == hookhall.CauseCanceled:
		// The context of an attempt has its own deadline at the same time, which may end first.
		failure = hookhall.Errorf(failure.Verdict, hookhall.CauseDeadline, "out of time: %s", failure.Detail)
	}
	if r.runs > 0 {
		failure.Verdict = hookhall.MayHaveRun
	}
	switch {
	case failure.Verdict != hookhall.NotRun:
		failure.RetryAfter = 0
	case failure.RetryAfter == 0 && failure.Cause != hookhall.CauseCrashes:
		failure.RetryAfter = defaultRetryAfter
	}
	return failure
}
