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
)

// attempt is one send with what became of it.
type attempt struct {
	reply  *hookhall.Reply
	use    *balance.Use
	placed placement.Placement
	// counted is set while the target's service moves to another version.
	counted *rollouts.Use
	err     *hookhall.Error
	began   time.Time
	// unread is set once the client has held up the answer: what was sent before the target
	// broke it off may arrive long after that.
	unread bool
}

// read counts the prompt as read: the answer has begun.
func (a *attempt) read() {
	a.use.Read()
	took := clock.Since(a.began)
	a.use.Succeeded(took)
	a.counted.Answered(took, false)
	a.placed.Tell(placement.Read)
}

// failed counts a failure of the target; hard when it was silent or could not be
// reached.
func (a *attempt) failed(hard bool) {
	a.use.Failed(hard, clock.Now())
	if hard {
		a.placed.Tell(placement.Failed)
	}
}

// end counts the attempt's end.
func (a *attempt) end() {
	a.use.End()
	a.counted.End()
	a.placed.Tell(placement.Ended)
}

// close ends an attempt whose answer is not used.
func (a *attempt) close() {
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.end()
}

// choose finds the next target, or says why there is none. What is held against the
// request's content counts as of the end of the choice, which may wait for a placer.
func (r *request) choose(ctx context.Context) (hookhall.Target, *hookhall.Error) {
	for {
		if e := r.shunCrashing(); e != nil {
			return hookhall.Target{}, e
		}
		t, none := r.pick(ctx)
		if none != nil || !r.Quarantine.Standing(r.digest).RefusedBy(t.Software()) {
			return t, none
		}
		r.placed.Tell(placement.Ended)
	}
}

// pick finds the next target. Engines, and targets of services in which some name a rate
// limit, are chosen by their placer, if it answers.
func (r *request) pick(ctx context.Context) (hookhall.Target, *hookhall.Error) {
	r.wish.Slack = max(clock.Until(r.aim), 0)
	r.placed = placement.Placement{}
	for {
		r.wish.Versions = r.Rollouts.Versions(r.service, r.sends == 0)
		targets := r.Catalog.Targets(r.service)
		pauseLeft := r.exclude(targets)
		limits, limited := r.Advisories.Reports(targets, clock.Now())
		r.wish.Limiter = nil
		if limited {
			// Only the placer grants the rates of limited targets.
			r.wish.Limiter = advisory.Grants{Book: r.Advisories}
		}
		if r.wish.Engine || limited || allCold(targets, clock.Now()) {
			if t, ok := r.place(ctx, limits); ok {
				return t, nil
			}
			targets = r.Catalog.Targets(r.service) // some may have left meanwhile
			pauseLeft = r.exclude(targets)
		}
		if ctx.Err() != nil {
			return hookhall.Target{}, hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "the client has gone before a target was chosen")
		}
		if t, ok := r.Tracker.Choose(targets, r.wish, clock.Now()); ok {
			return t, nil
		}
		// Cold targets have had their most for this second.
		if !allCold(targets, clock.Now()) || clock.Now().After(r.aim) || !retry.Sleep(ctx, coldPause) {
			e := hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "no target of %s is left to try", r.service)
			return hookhall.Target{}, e.After(retryAfter(r.placed.RetryAfter, pauseLeft))
		}
	}
}

// exclude keeps the request from targets that had it and from those that pause. It returns
// how long it takes until the first pause ends, 0 if none pauses.
func (r *request) exclude(targets []hookhall.Target) (pauseLeft time.Duration) {
	paused, pauseLeft := r.Advisories.Paused(targets, clock.Now())
	r.wish.Exclude = r.tried
	if len(paused) > 0 {
		maps.Copy(paused, r.tried)
		r.wish.Exclude = paused
	}
	return pauseLeft
}

// retryAfter returns when a client should come back whose request found no target: at the
// turn that limited targets have next, or when a pause ends. Targets that pause do so for
// this instance alone, and a client that comes back reaches another one.
func retryAfter(turn, pauseLeft time.Duration) time.Duration {
	if turn > 0 || pauseLeft <= 0 {
		return turn
	}
	return min(pauseLeft, comeBack)
}

// grantTime is how long a placement of a limited target may be used after its turn. One
// that is used late would add to the requests of another window.
const grantTime = 250 * time.Millisecond

// sleepUntil waits until a time or the end of ctx.
func (r *request) sleepUntil(ctx context.Context, t time.Time) {
	for left := clock.Until(t); left > 0 && ctx.Err() == nil; left = clock.Until(t) {
		retry.Sleep(ctx, left)
	}
}

// place asks the placer for a target, and waits for the request's turn there.
func (r *request) place(ctx context.Context, limits []advisory.Report) (hookhall.Target, bool) {
	asked := clock.Now()
	r.placed = r.Placement.Place(ctx, r.service, r.wish, limits)
	if r.placed.Wait > 0 {
		r.limitWait += r.placed.Wait
		r.sleepUntil(ctx, asked.Add(r.placed.Wait))
	}
	late := ctx.Err() != nil || clock.Since(asked) > r.placed.Wait+grantTime
	targets := r.Catalog.Targets(r.service)
	r.exclude(targets)
	for _, t := range targets {
		if t.ID != r.placed.Target || !r.wish.Allow(t) || r.wish.Exclude[t.ID] {
			continue
		}
		if late && (r.placed.Wait > 0 || r.Advisories.Status(t.Life()).Limit.Named) {
			break
		}
		return t, true
	}
	r.placed.Tell(placement.Ended) // this process does not know it or may not use it now
	r.placed = placement.Placement{Choice: placement.Choice{RetryAfter: r.placed.RetryAfter}}
	return hookhall.Target{}, false
}

// allCold tells whether there are targets, all of them cold.
func allCold(targets []hookhall.Target, now time.Time) bool {
	return len(targets) > 0 && !slices.ContainsFunc(targets, func(t hookhall.Target) bool { return !t.Cold(now) })
}

// send offers the request to t. A refusal by the target is an error.
func (r *request) send(ctx context.Context, t hookhall.Target, after string) *attempt {
	now := clock.Now()
	a := &attempt{use: r.Tracker.Begin(t, r.wish, now), placed: r.placed, counted: r.Rollouts.Begin(r.route.Name, t), began: now}
	if ctx.Err() != nil {
		a.err = hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "not sent: %v", ctx.Err())
		a.end()
		return a
	}
	if !r.renewed(now) {
		a.err = hookhall.Errorf(hookhall.NotRun, hookhall.CauseRefused, "the repeat was granted too long ago")
		a.end()
		return a
	}
	r.sends++
	r.target = t
	defer r.releaseEarly()()
	reply, err := r.Sender.Send(ctx, r.call, hookhall.Attempt{
		Target: t, Account: r.accountName(), Left: clock.Until(r.end), Urgency: r.urgency(), Inputs: r.results.Handles(),
		Once: !r.route.Repeatable(), After: after,
	})
	if err != nil {
		a.err = hookhall.AsError(err)
		if ctx.Err() == nil {
			a.failed(true)
		}
		a.end()
		return a
	}
	a.reply = reply
	r.status = reply.Status
	if reply.Info.NotRun {
		a.err = r.refused(a)
		a.close()
		a.reply = nil
	}
	return a
}

// renewed tells whether a send may go out now: the first one may, and a repeat that is
// still within the budget.
func (r *request) renewed(now time.Time) bool {
	if r.granted.IsZero() {
		return true
	}
	r.repeatWait = max(r.repeatWait, now.Sub(r.granted))
	r.granted = time.Time{}
	return r.Budget.Renew(r.service, r.budget, now)
}

// releaseEarly releases the results of stages once the target should have read
// them, which is long before a long prompt is answered: others wait for their
// room. The function that it returns ends that.
func (r *request) releaseEarly() (stop func()) {
	if len(r.results.Handles()) == 0 {
		return func() {}
	}
	t := time.AfterFunc(r.reading.time(), r.results.Release)
	return func() { t.Stop() }
}

// refused reads a target's word that it did not run the request.
func (r *request) refused(a *attempt) *hookhall.Error {
	m := a.reply.Info
	now := clock.Now()
	switch {
	case m.Misdirected:
		a.failed(true)
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseMisdirected, "another target has the address")
	case m.InputGone:
		r.lost = true
		if r.results.Released() {
			r.reading.tooSoon()
		}
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "a result is gone")
	}
	a.use.Refused(now)
	a.placed.Tell(placement.Full)
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseRefused, "the target refused with status %d", a.reply.Status)
}

// logSend writes a line on a send that did not bring the answer.
func (r *request) logSend(a *attempt, t hookhall.Target, next string) {
	r.Log.Warn("A send failed.", "request", r.call.ID, "content", r.digest(), "bytes", len(r.call.Body), "service", r.service, "target", t.ID, "send", r.sends,
		"took_ms", clock.Since(a.began).Milliseconds(), "verdict", a.err.Verdict.String(), "cause", string(a.err.Cause),
		"detail", a.err.Detail, "next", next, "repeats_held", r.budget.Held, "repeats_most", r.budget.Most,
		"sharers", r.budget.Sharers, "process_age_ms", r.budget.Age.Milliseconds())
}

// repeat takes a further send out of the retry budget, if there is one left.
func (r *request) repeat() bool {
	now := clock.Now()
	r.budget = r.Budget.Spend(r.service, now)
	if !r.budget.Granted {
		return false
	}
	r.granted = now
	r.Meter.Repeated(r.service)
	return true
}

// countFailure counts an answer that did not come, or not whole. One that nobody waits for
// any longer was slow, whatever would have become of it. One that was broken off unread says
// nothing of its target.
func (r *request) countFailure(ctx context.Context, a *attempt) {
	switch {
	case a.unread:
	case ctx.Err() == nil:
		a.counted.Answered(clock.Since(a.began), true)
	case a.reply == nil:
		a.counted.Unanswered()
	}
}

// next decides what follows a failed send: true for another one.
func (r *request) next(ctx context.Context, a *attempt, t hookhall.Target) bool {
	if !r.lost {
		r.tried[t.ID] = true
	}
	if a.err.Verdict != hookhall.NotRun {
		r.runs++
		r.countFailure(ctx, a)
	}
	if a.err.Verdict == hookhall.MayHaveRun && ctx.Err() == nil {
		r.Quarantine.Broke(r.digest(), r.accountName(), t)
	}
	why := ""
	switch {
	case ctx.Err() != nil:
		why = "no time is left"
	case a.err.Verdict != hookhall.NotRun && !r.route.Repeatable():
		why = "it may have run"
	case r.runs >= r.route.MaxAttempts && r.runs > 0:
		why = "no attempt is left"
	case r.lost && r.remade >= mostRemade:
		why = "its results were lost too often"
	case r.sends >= mostSends:
		why = "offered too often"
	case !r.repeat():
		why = "the retry budget is spent"
	}
	if why != "" {
		r.logSend(a, t, why)
		return false
	}
	r.logSend(a, t, "another target")
	if a.err.Cause == hookhall.CauseRefused && len(r.tried) >= len(r.Catalog.Targets(r.service)) {
		clear(r.tried)
		return retry.Sleep(ctx, fullPause)
	}
	return true
}
