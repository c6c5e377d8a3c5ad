// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// attempt is one attempt to have a target answer the request, with its outcome.
type attempt struct {
	reply      *hookhall.Reply
	activeCall *balance.ActiveCall
	placed     placement.Placement
	// rolloutAttempt counts the attempt for a rollout, nil if no rollout includes the target.
	rolloutAttempt *rollouts.Attempt
	err            *hookhall.Error
	began          time.Time
	// unread is set once the client has stalled the stream for unreadTimeLimit: the target may
	// break it off then, which the gateway may notice long afterwards.
	unread bool
}

// recordRead records that the answer has begun, so that the target has read the prompt. atStart
// is set if it has begun just now, with the first event of a stream, so that the time since the
// attempt began says how fast the target reads.
func (a *attempt) recordRead(atStart bool) {
	a.activeCall.Read()
	duration := clock.Since(a.began)
	a.activeCall.Succeeded(duration, clock.Now())
	a.rolloutAttempt.Answered(duration, false)
	if !atStart {
		duration = 0
	}
	a.placed.ReportRead(duration)
}

// recordFailure records a failure of the target. hard means that it could not be reached or did
// not answer.
func (a *attempt) recordFailure(hard bool) {
	a.activeCall.Failed(hard, clock.Now())
	if hard {
		a.placed.Report(placement.Failed)
	}
}

// recordTruncated returns the error of an answer that ended with readErr, and records a failure of
// the target unless the cause is this process's path to it.
func (a *attempt) recordTruncated(what string, readErr error) *hookhall.Error {
	failure := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "%s: %v", what, readErr)
	failure.OwnPath = errors.Is(readErr, hookhall.ErrOwnPath)
	if !failure.OwnPath {
		a.recordFailure(false)
	}
	return failure
}

// recordEnd records the end of the attempt.
func (a *attempt) recordEnd() {
	a.activeCall.End()
	a.rolloutAttempt.End()
	a.placed.Report(placement.Ended)
}

// close closes the reply, if there is one, and records the end of the attempt.
func (a *attempt) close() {
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.recordEnd()
}

// chooseTarget returns the next target, or the reason why there is none. It checks the crashes
// of the request content after pickTarget, too, since pickTarget may wait for a placement
// owner and crashes may be reported meanwhile.
func (r *request) chooseTarget(ctx context.Context) (hookhall.Target, *hookhall.Error) {
	for {
		if refusal := r.refuseBeforeStop(); refusal != nil {
			return hookhall.Target{}, refusal
		}
		if refusal := r.excludeCrashing(); refusal != nil {
			return hookhall.Target{}, refusal
		}
		target, failure := r.pickTarget(ctx)
		switch {
		case failure != nil:
			return target, failure
		case r.Quarantine.Standing(r.identity).RefusedBy(target.Software()):
		case r.isReplaced(ctx, target):
			r.tried[target.ID] = true
		default:
			return target, nil
		}
		r.placed.Report(placement.Ended)
	}
}

// refuseBeforeStop returns the refusal of a request that no target has run yet, if this process may stop
// before the request's latency objective or deadline, whichever is earlier: its target would be cut at its work.
func (r *request) refuseBeforeStop() *hookhall.Error {
	if r.runs > 0 || r.StopsIn == nil {
		return nil
	}
	left, isStopping := r.StopsIn()
	if !isStopping || min(r.route.LatencyObjective, clock.Until(r.deadline)) <= left {
		return nil
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseStopping, "this instance stops before a target could answer").WithRetryAfter(stoppingRetryAfter)
}

// pickTarget returns the next target, or the reason why there is none. Engines, cold targets,
// and targets of services of which some have a rate limit or are brittle, are chosen by the
// service's placement owner, if it answers; otherwise this process chooses.
func (r *request) pickTarget(ctx context.Context) (hookhall.Target, *hookhall.Error) {
	r.criteria.LatencyBudget = max(clock.Until(r.firstByteDue), 0)
	r.placed = placement.Placement{}
	for {
		if refusal := r.refuseMissingVersion(); refusal != nil {
			return hookhall.Target{}, refusal
		}
		r.criteria.Versions = r.versions()
		targets := r.targets()
		pauseLeft := r.exclude(targets)
		limits, limited, brittle := r.Advisories.Reports(targets, clock.Now())
		r.criteria.Limiter, r.criteria.Rooms = nil, nil
		if brittle {
			r.criteria.Rooms = advisory.Rooms{Registry: r.Advisories, Share: r.SlotShare}
		}
		if limited {
			// Only the placement owner grants the rates of limited targets.
			r.criteria.Limiter = advisory.Grants{Registry: r.Advisories}
		}
		if r.criteria.IsEngineCall || limited || brittle || r.allCandidatesCold(targets) {
			if target, ok := r.requestPlacement(ctx, limits); ok {
				return target, nil
			}
			if r.placed.Full {
				if r.awaitRoom(ctx) {
					continue
				}
				return hookhall.Target{}, r.noRoom(ctx)
			}
			targets = r.targets() // the list may have changed during the call
			pauseLeft = r.exclude(targets)
		}
		if ctx.Err() != nil {
			return hookhall.Target{}, hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "the client has gone before a target was chosen")
		}
		if target, ok := r.Tracker.Choose(targets, r.criteria, clock.Now()); ok {
			return target, nil
		}
		// All targets are cold and have got their limit of requests for this second.
		if !r.allCandidatesCold(targets) || clock.Now().After(r.firstByteDue) || !retry.Sleep(ctx, coldTargetPollInterval) {
			failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "no target of %s is left to try", r.service)
			return hookhall.Target{}, failure.WithRetryAfter(retryAfter(r.placed.RetryAfter, pauseLeft))
		}
	}
}

const (
	// maxRoomWaits is how often a request asks again for the room of brittle targets.
	maxRoomWaits = 3
	// maxRoomWait bounds one of these waits.
	maxRoomWait = 60 * time.Millisecond
	// roomWaitShare is the part of the time until its latency target that a request may wait.
	roomWaitShare = 0.5
	// minRoomRetryAfter is the shortest delay after which a client should retry that was refused
	// for lack of room.
	minRoomRetryAfter = 100 * time.Millisecond
)

// awaitRoom waits until a brittle target may have room. It returns false if the request should
// not wait any longer.
func (r *request) awaitRoom(ctx context.Context) bool {
	wait := min(r.placed.RetryAfter, maxRoomWait)
	if r.roomWaits >= maxRoomWaits || wait > time.Duration(roomWaitShare*float64(r.criteria.LatencyBudget)) {
		return false
	}
	r.roomWaits++
	r.criteria.LatencyBudget = max(clock.Until(r.firstByteDue), 0)
	return retry.Sleep(ctx, retry.Jitter(wait))
}

// noRoom returns the refusal of a request for which brittle targets have no room.
func (r *request) noRoom(ctx context.Context) *hookhall.Error {
	if ctx.Err() != nil {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "the client has gone before a target had room")
	}
	failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "the targets of %s are brittle and have no room", r.service)
	return failure.WithRetryAfter(max(retry.Jitter(2*r.placed.RetryAfter), minRoomRetryAfter))
}

// exclude excludes the targets in r.tried and those that asked for a pause. It returns the time
// until the first pause ends, 0 if none pauses.
func (r *request) exclude(targets []hookhall.Target) (pauseLeft time.Duration) {
	paused, pauseLeft := r.Advisories.Paused(targets, clock.Now())
	r.criteria.ExcludedTargets = r.tried
	if len(paused) > 0 {
		maps.Copy(paused, r.tried)
		r.criteria.ExcludedTargets = paused
	}
	return pauseLeft
}

// retryAfter returns the delay after which a client should retry whose request found no target:
// when a limited target is due next, or when a pause ends. A pause holds for this instance
// only, and a retry may reach another one, so that delay is at most defaultRetryAfter.
func retryAfter(nextDue, pauseLeft time.Duration) time.Duration {
	if nextDue > 0 || pauseLeft <= 0 {
		return nextDue
	}
	return min(pauseLeft, defaultRetryAfter)
}

// grantTimeLimit is how long a placement at a limited target may be used after its due time. A
// later request would count against the target's limit in another window.
const grantTimeLimit = 250 * time.Millisecond

// sleepUntil waits until t or the end of ctx.
func (r *request) sleepUntil(ctx context.Context, t time.Time) {
	for left := clock.Until(t); left > 0 && ctx.Err() == nil; left = clock.Until(t) {
		retry.Sleep(ctx, left)
	}
}

// requestPlacement asks the placement owner for a target and waits until the target is due. It
// returns false if there is none, or if the target may not be used any more.
func (r *request) requestPlacement(ctx context.Context, limits []advisory.Report) (hookhall.Target, bool) {
	askedAt := clock.Now()
	r.placed = r.Placement.Place(ctx, r.service, r.criteria, limits)
	if r.placed.Wait > 0 {
		r.limitWait += r.placed.Wait
		r.sleepUntil(ctx, askedAt.Add(r.placed.Wait))
	}
	expired := ctx.Err() != nil || clock.Since(askedAt) > r.placed.Wait+grantTimeLimit
	targets := r.Catalog.Targets(r.service)
	r.exclude(targets)
	for _, target := range targets {
		if target.ID != r.placed.Target || !r.criteria.Allow(target) || r.criteria.ExcludedTargets[target.ID] {
			continue
		}
		if expired && (r.placed.Wait > 0 || r.Advisories.Status(target.Incarnation()).Limit.Named) {
			break
		}
		return target, true
	}
	r.placed.Report(placement.Ended) // this process does not know the target, or may not use it now
	r.placed = placement.Placement{Choice: placement.Choice{RetryAfter: r.placed.RetryAfter, Full: r.placed.Full}}
	return hookhall.Target{}, false
}

// allCold reports whether there are targets and all of them are cold.
func allCold(targets []hookhall.Target, now time.Time) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t hookhall.Target) bool { return !t.Cold(now) })
}

// send sends the request to target. resumeAfter is the id of the last event that the client
// has, "" if there is none. A refusal by the target is an error of the attempt.
func (r *request) send(ctx context.Context, target hookhall.Target, resumeAfter string) *attempt {
	now := clock.Now()
	a := &attempt{activeCall: r.Tracker.Begin(target, r.criteria, now), placed: r.placed, rolloutAttempt: r.Rollouts.Begin(r.route.Name, target), began: now}
	if ctx.Err() != nil {
		a.err = hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "not sent: %v", ctx.Err())
		a.recordEnd()
		return a
	}
	if !r.revalidateRetry(now) {
		a.err = hookhall.Errorf(hookhall.NotRun, hookhall.CauseBudget, "the retry was granted too long ago")
		a.recordEnd()
		return a
	}
	r.attempts++
	r.target = target
	defer r.scheduleRelease()()
	reply, err := r.Sender.Send(ctx, r.call, hookhall.Attempt{
		Target: target, Account: r.accountName(), Remaining: clock.Until(r.deadline), Urgency: r.urgency(), Inputs: r.results.Handles(),
		AtMostOnce: !r.route.Repeatable(), ResumeAfter: resumeAfter,
	})
	if err != nil {
		a.err = hookhall.AsError(err)
		if ctx.Err() == nil && !a.err.OwnPath {
			a.recordFailure(true)
		}
		a.recordEnd()
		return a
	}
	a.reply = reply
	r.status, r.sealed, r.relay, r.framing = reply.Status, reply.Info.Sealed, reply.Relay, reply.Framing
	r.recordLoad(a)
	if reply.Info.NotRun {
		a.err = r.recordRefusal(a)
		a.close()
		a.reply = nil
	}
	return a
}

// recordLoad records the load report of an answer, unless another target answered. Of the reports
// of a target that can't be used, the first one is logged.
func (r *request) recordLoad(a *attempt) {
	info := a.reply.Info
	switch {
	case info.Misdirected:
	case info.InvalidLoad != "":
		if a.activeCall.LoadInvalid() {
			r.Log.Warn("load report of a target can't be used", "service", r.service, "target", r.target.ID, "report", info.InvalidLoad)
		}
	case info.Load != (hookhall.LoadReport{}):
		a.activeCall.LoadReported(info.Load, clock.Now())
	}
}

// revalidateRetry reports whether an attempt may be sent now: it is the first one, or a retry
// that the budget still allows. It counts the time since the retry was granted.
func (r *request) revalidateRetry(now time.Time) bool {
	if r.retryGrantedAt.IsZero() {
		return true
	}
	r.retryWait = max(r.retryWait, now.Sub(r.retryGrantedAt))
	r.retryGrantedAt = time.Time{}
	return r.Budget.Revalidate(r.service, r.retryAccount, now)
}

// scheduleRelease releases the results of stages after the time in which the target should have
// read them. The answer to a long prompt begins much later, and other requests need the
// memory. The returned function cancels the release.
func (r *request) scheduleRelease() (stop func()) {
	if len(r.results.Handles()) == 0 {
		return func() {}
	}
	timer := time.AfterFunc(r.readTime.duration(), r.results.Release)
	return func() { timer.Stop() }
}

// recordRefusal records a reply that says that the target did not run the request, and returns
// it as an error.
func (r *request) recordRefusal(a *attempt) *hookhall.Error {
	info := a.reply.Info
	now := clock.Now()
	switch {
	case info.Misdirected:
		a.recordFailure(true)
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseMisdirected, "another target has the address")
	case info.InputMissing:
		r.isResultLost = true
		if r.results.Released() {
			r.readTime.recordTooShort()
		}
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "a result is gone")
	}
	a.activeCall.Refused(now)
	a.placed.Report(placement.AtCapacity)
	if a.placed.Target == "" {
		r.Advisories.RecordRejection(r.target.Incarnation(), now)
	}
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseRefused, "the target refused with status %d", a.reply.Status)
}

// logFailedAttempt logs an attempt without a usable answer. next says what follows.
func (r *request) logFailedAttempt(a *attempt, target hookhall.Target, next string) {
	r.Log.Warn("attempt failed", "request", r.call.ID, "content", r.identity().Content, "parts", sharedPartsForLog(r.call.Prompt), "bytes", len(r.call.Body), "service", r.service, "target", target.ID, "software", target.Version, "send", r.attempts,
		"took_ms", clock.Since(a.began).Milliseconds(), "verdict", a.err.Verdict.String(), "cause", string(a.err.Cause),
		"detail", a.err.Detail, "next", next, "repeats_held", r.retryAccount.Available, "repeats_most", r.retryAccount.Capacity,
		"sharers", r.retryAccount.Processes, "process_age_ms", r.retryAccount.ProcessAge.Milliseconds())
}

// spendRetry takes a retry out of the service's budget and reports whether there was one.
func (r *request) spendRetry() bool {
	now := clock.Now()
	r.retryAccount = r.Budget.Spend(r.service, now)
	if !r.retryAccount.Granted {
		return false
	}
	r.retryGrantedAt = now
	r.Meter.Retried(r.service)
	return true
}

// countFailure counts a missing or truncated answer for a rollout, unless the cause is this
// process's path to the target. After the end of ctx only a
// missing answer counts, as slow, since its outcome is not known. A stream that was broken
// off while the client did not read it does not count as a failure of its target.
func (r *request) countFailure(ctx context.Context, a *attempt) {
	switch {
	case a.unread, a.err.OwnPath:
	case ctx.Err() == nil:
		a.rolloutAttempt.Answered(clock.Since(a.began), true)
	case a.reply == nil:
		a.rolloutAttempt.Unanswered()
	}
}

// arrivedNowhere reports whether the attempt failed before a byte of the request was sent, so that
// a further one repeats nothing.
func (a *attempt) arrivedNowhere() bool {
	return a.err.Verdict == hookhall.NotRun && a.err.Cause == hookhall.CauseConnection
}

// prepareRetry records the failed attempt a at target and reports whether another attempt
// follows. It takes a retry out of the budget if the request arrived, and pauses if all
// targets refused the request.
func (r *request) prepareRetry(ctx context.Context, a *attempt, target hookhall.Target) bool {
	if !r.isResultLost {
		r.tried[target.ID] = true
	}
	if a.err.Verdict != hookhall.NotRun {
		r.runs++
		r.countFailure(ctx, a)
	}
	if a.err.Verdict == hookhall.MayHaveRun && ctx.Err() == nil {
		r.Quarantine.Suspect(r.identity(), target)
	}
	reason := ""
	switch {
	case ctx.Err() != nil:
		reason = "no time is left"
	case a.err.Verdict != hookhall.NotRun && !r.route.Repeatable():
		reason = "it may have run"
	case r.runs >= r.route.MaxAttempts && r.runs > 0:
		reason = "no attempt is left"
	case r.isResultLost && r.stageReruns >= maxStageReruns:
		reason = "its results were lost too often"
	case r.attempts >= maxTotalAttempts:
		reason = "offered too often"
	case !a.arrivedNowhere() && !r.spendRetry():
		reason = "the retry budget is spent"
	}
	if reason != "" {
		r.logFailedAttempt(a, target, reason)
		return false
	}
	r.logFailedAttempt(a, target, "another target")
	if a.err.Verdict == hookhall.NotRun {
		r.notRunAt = append(r.notRunAt, target.ID)
	}
	if a.err.Cause == hookhall.CauseRefused && r.isExhausted() {
		r.readmitNotRun()
		return retry.Sleep(ctx, allRefusedPause)
	}
	return true
}

// readmitNotRun makes the targets that did not run the request candidates again. Those that may have
// run it stay excluded.
func (r *request) readmitNotRun() {
	for _, id := range r.notRunAt {
		delete(r.tried, id)
	}
	r.notRunAt = nil
}
