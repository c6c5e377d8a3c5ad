// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/budget"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// mostRemade bounds how often the stages of one request are made again.
	mostRemade = 2
	// mostSends bounds how often one request is offered to targets.
	mostSends = 6
	// fullPause is the pause before all targets are offered a request again.
	fullPause = 25 * time.Millisecond
	// coldPause is the pause before a request looks again for a cold target with room
	// for it: a target that bears ten requests a second has some each 100 ms.
	coldPause = 50 * time.Millisecond
	// pieceSize is how many bytes of an answer are passed on at a time that is not held.
	pieceSize = 16 << 10
)

// request is one request on its way.
type request struct {
	*Forwarder
	call    *hookhall.Call
	answer  hookhall.AnswerWriter
	table   *routetable.Table
	route   *hookhall.Route
	account *hookhall.AccountKeys
	service string
	halls   []string // where it may run, nil for everywhere
	arrived time.Time
	aim     time.Time
	end     time.Time

	results *stages.Results
	staged  time.Duration
	first   time.Duration // to the answer's first byte
	gap     time.Duration // the longest between events
	wish    balance.Wish
	tried   map[string]bool // targets that got the request and may have run it, or refused it
	lost    bool            // a target lacked a result
	remade  int             // how often stages were made again
	sends   int
	// budget is the service's account of repeats when the last one was asked for.
	budget budget.Account
	// granted is when a repeat was granted that is not sent yet, and repeatWait the
	// longest time between the two.
	granted    time.Time
	repeatWait time.Duration
	// limitWait is how long the request waited for targets with rate limits.
	limitWait time.Duration
	runs      int // targets that may have run it
	target    hookhall.Target
	placed    placement.Placement
	status    int
	cutBy     string
	// content is the digest of what the client asks, zero before it was needed.
	content crashes.Digest
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// urgency ranks the request: the account's priority first, then the route's.
func (r *request) urgency() int {
	u := r.route.Priority
	if r.account != nil {
		u += accountStep * r.account.Priority
	}
	return u
}

func (r *request) serve(ctx context.Context) error {
	r.Budget.Request(r.service, r.arrived)
	r.wish = r.makeWish()
	if e := r.refuseEvacuated(); e != nil {
		return e
	}
	if e := r.shunCrashing(); e != nil {
		return e
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

// refuseEvacuated refuses a request that no target may serve or make a stage of,
// since operators have evacuated all halls that have any. Waiting would not help it.
func (r *request) refuseEvacuated() *hookhall.Error {
	needed := []string{r.service}
	for i, s := range r.route.Stages {
		if i < len(r.call.Pieces) && r.call.Pieces[i] > 0 {
			needed = append(needed, s.Service)
		}
	}
	for _, s := range needed {
		if r.Catalog.Evacuated(s) {
			return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "all halls with targets of %s are evacuated", s).After(evacuatedBack)
		}
	}
	return nil
}

// makeWish reads what the call wants of its target.
func (r *request) makeWish() balance.Wish {
	w := balance.Wish{Exclude: r.tried, OutTokens: r.call.TokensOut, Halls: r.halls}
	s := r.table.Service(r.service)
	if s != nil && s.Engine != nil {
		w.Engine = true
		w.Spec = s.Engine
	}
	if s != nil && s.ColdRate > 0 {
		w.Cold = func(target string) int { return r.ColdShare(target, s) }
	}
	last := len(r.call.Prompt) - 1
	for i, p := range r.call.Prompt {
		w.Parts = append(w.Parts, p.ID)
		if i == last {
			w.OwnTokens = p.Tokens
			break
		}
		w.Shared = p.ID
		w.SharedTokens += p.Tokens
	}
	return w
}

// remake has the work before the request made anew when its results are gone: a
// stream goes on at another target, or the one before found a result lost.
func (r *request) remake(ctx context.Context) error {
	if r.results == nil || !(r.lost || r.results.Released()) {
		return nil
	}
	r.results.Release()
	r.lost = false
	r.remade++
	return r.runStages(ctx)
}

// runStages has the work before the request made.
func (r *request) runStages(ctx context.Context) error {
	if len(r.route.Stages) == 0 {
		return nil
	}
	g := stages.Graph{
		Call: r.call, Route: r.route, Table: r.table, Aim: r.aim, End: r.firstBy(), Urgency: r.urgency(),
		Answer: r.answerTime(), Hall: r.readingHall(), Content: r.digest(), Account: r.accountName(),
	}
	for {
		results, err := r.Stages.Run(ctx, g)
		r.staged = clock.Since(r.arrived)
		if err == nil {
			r.results = results
			r.wish.Near = results.Bytes()
			return nil
		}
		e := hookhall.AsError(err)
		if e.Cause != hookhall.CauseStage || ctx.Err() != nil || r.remade >= mostRemade {
			return r.giveUp(ctx, e)
		}
		r.remade++
		r.Log.Warn("Stages are made again.", "request", r.call.ID, "route", r.route.Name, "detail", e.Detail, "left_ms", clock.Until(r.end).Milliseconds())
	}
}

const (
	// answerLeast is what an answer takes to begin at a target with no prompt to
	// read: results are fetched, and others are before it.
	answerLeast = 70 * time.Millisecond
	// answerCrowd is how much longer a prompt is read beside others.
	answerCrowd = 1.3
)

// answerTime is how long the answer should take to begin after the stages, so that
// a long prompt has its stages made earlier. It assumes that the engine has read
// the shared parts of the prompt before.
func (r *request) answerTime() time.Duration {
	if !r.wish.Engine {
		return answerLeast
	}
	return answerLeast + time.Duration(answerCrowd*float64(balance.ReadTime(r.wish.OwnTokens)))
}

// firstBy is when the client gives up without a first byte.
func (r *request) firstBy() time.Time {
	if p := r.route.Patience; p > 0 && p < r.end.Sub(r.arrived) {
		return r.arrived.Add(p)
	}
	return r.end
}

// sharedLeast is from how many shared prompt tokens on the engine is chosen by
// them, wherever the results lie.
const sharedLeast = 2000

// readingHall is the hall of the engine that will probably read the results, ""
// when it will be chosen by where they lie.
func (r *request) readingHall() string {
	if !r.wish.Engine || r.wish.SharedTokens < sharedLeast {
		return ""
	}
	list := r.Catalog.Targets(r.service)
	first := r.Tracker.First(r.wish.Shared, list)
	for _, t := range list {
		if t.ID == first {
			return t.Hall
		}
	}
	return ""
}

// stopping tells whether ctx ended because this process is about to.
func stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), hookhall.ErrStopping) }

// giveUp makes the final answer of a request that could not be served.
func (r *request) giveUp(ctx context.Context, e *hookhall.Error) error {
	late := !clock.Now().Before(r.end)
	switch {
	case stopping(ctx):
		e = hookhall.Errorf(e.Verdict, hookhall.CauseStopping, "this instance stops: %s", e.Detail).After(elsewhere)
	case ctx.Err() != nil && !late:
		e = hookhall.Errorf(e.Verdict, hookhall.CauseCanceled, "the client has gone: %s", e.Detail)
	case ctx.Err() != nil, late && e.Cause == hookhall.CauseCanceled:
		// A send may have a deadline of its own, at the same moment, that ends first.
		e = hookhall.Errorf(e.Verdict, hookhall.CauseDeadline, "out of time: %s", e.Detail)
	}
	if r.runs > 0 {
		e.Verdict = hookhall.MayHaveRun
	}
	switch {
	case e.Verdict != hookhall.NotRun:
		e.RetryAfter = 0
	case e.RetryAfter == 0 && e.Cause != hookhall.CauseCrashes:
		e.RetryAfter = comeBack
	}
	return e
}
