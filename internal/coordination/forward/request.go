// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/placement"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/stages"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// mostRemade bounds how often the stages of one request are made again.
	mostRemade = 2
	// mostSends bounds how often one request is offered to targets.
	mostSends = 6
	// fullRest is how long a target that was full is left out.
	fullRest = 30 * time.Millisecond
	// fullPause is the pause before all targets are offered a request again.
	fullPause = 25 * time.Millisecond
	// mostAnswer bounds an answer that is read whole.
	mostAnswer = 32 << 20
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
	runs    int // targets that may have run it
	target  hookhall.Target
	placed  placement.Placement
	status  int
	cutBy   string
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
	if err := r.runStages(ctx); err != nil {
		return err
	}
	defer func() { r.results.Release() }()
	if r.route.Kind == hookhall.KindStreaming {
		return r.serveStream(ctx)
	}
	return r.servePlain(ctx)
}

// makeWish reads what the call wants of its target.
func (r *request) makeWish() balance.Wish {
	w := balance.Wish{Careful: !r.route.Repeatable(), Exclude: r.tried}
	if s := r.table.Service(r.service); s != nil && s.Engine != nil {
		w.Engine = true
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
		Call: r.call, Route: r.route, Table: r.table, Aim: r.aim, End: r.firstBy(), Urgency: r.urgency(), Hall: r.readingHall(),
	}
	for {
		results, err := r.Stages.Run(ctx, g)
		r.staged = time.Since(r.arrived)
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
		r.Log.Warn("Stages are made again.", "request", r.call.ID, "route", r.route.Name, "detail", e.Detail, "left_ms", time.Until(r.end).Milliseconds())
	}
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
	first := balance.First(r.wish.Shared, list)
	for _, t := range list {
		if t.ID == first {
			return t.Hall
		}
	}
	return ""
}

// giveUp makes the final answer of a request that could not be served.
func (r *request) giveUp(ctx context.Context, e *hookhall.Error) error {
	if ctx.Err() != nil && time.Now().Before(r.end) {
		e = hookhall.Errorf(e.Verdict, hookhall.CauseCanceled, "the client has gone: %s", e.Detail)
	} else if ctx.Err() != nil {
		e = hookhall.Errorf(e.Verdict, hookhall.CauseDeadline, "out of time: %s", e.Detail)
	}
	if r.runs > 0 {
		e.Verdict = hookhall.MayHaveRun
	}
	if e.Verdict == hookhall.NotRun && e.RetryAfter == 0 {
		e.RetryAfter = comeBack
	}
	return e
}

// attempt is one send with what became of it.
type attempt struct {
	reply  *hookhall.Reply
	use    *balance.Use
	placed placement.Placement
	err    *hookhall.Error
	began  time.Time
}

// read counts the prompt as read: the answer has begun.
func (a *attempt) read() {
	a.use.Read()
	a.use.Succeeded(time.Since(a.began))
	a.placed.Tell(placement.Read)
}

// failed counts a failure of the target; hard when it was silent or could not be
// reached.
func (a *attempt) failed(hard bool) {
	a.use.Failed(hard, time.Now())
	if hard {
		a.placed.Tell(placement.Failed)
	}
}

// end counts the attempt's end.
func (a *attempt) end() {
	a.use.End()
	a.placed.Tell(placement.Ended)
}

// close ends an attempt whose answer is not used.
func (a *attempt) close() {
	if a.reply != nil {
		_ = a.reply.Body.Close()
	}
	a.end()
}

// choose finds the next target, or says why there is none. Engines are chosen by
// their placer, if it answers.
func (r *request) choose(ctx context.Context) (hookhall.Target, *hookhall.Error) {
	r.wish.Slack = max(time.Until(r.aim), 0)
	r.placed = placement.Placement{}
	if r.wish.Engine {
		r.placed = r.Placement.Place(ctx, r.service, r.wish)
		for _, t := range r.Catalog.Targets(r.service) {
			if t.ID == r.placed.Target {
				return t, nil
			}
		}
		r.placed.Tell(placement.Ended) // this process does not know it
		r.placed = placement.Placement{}
	}
	t, ok := r.Book.Choose(r.Catalog.Targets(r.service), r.wish, time.Now())
	if !ok {
		return t, hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoTarget, "no target of %s is left to try", r.service)
	}
	return t, nil
}

// send offers the request to t. A refusal by the target is an error.
func (r *request) send(ctx context.Context, t hookhall.Target, after string) *attempt {
	now := time.Now()
	r.sends++
	r.target = t
	a := &attempt{use: r.Book.Begin(t, r.wish, now), placed: r.placed, began: now}
	reply, err := r.Sender.Send(ctx, r.call, hookhall.Attempt{
		Target: t, Account: r.accountName(), Left: time.Until(r.end), Urgency: r.urgency(), Inputs: r.results.Handles(),
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
	if reply.Marks.NotRun {
		a.err = r.refused(a)
		a.close()
		a.reply = nil
	}
	return a
}

// refused reads a target's word that it did not run the request.
func (r *request) refused(a *attempt) *hookhall.Error {
	m := a.reply.Marks
	now := time.Now()
	switch {
	case m.Misdirected:
		a.failed(true)
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseMisdirected, "another target has the address")
	case m.InputGone:
		r.lost = true
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "a result is gone")
	}
	a.use.Full(fullRest, now)
	a.placed.Tell(placement.Full)
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseRefused, "the target refused with status %d", a.reply.Status)
}

// logSend writes a line on a send that did not bring the answer.
func (r *request) logSend(a *attempt, t hookhall.Target, next string) {
	r.Log.Warn("A send failed.", "request", r.call.ID, "service", r.service, "target", t.ID, "send", r.sends,
		"took_ms", time.Since(a.began).Milliseconds(), "verdict", a.err.Verdict.String(), "cause", string(a.err.Cause),
		"detail", a.err.Detail, "next", next)
}

// next decides what follows a failed send: true for another one.
func (r *request) next(ctx context.Context, a *attempt, t hookhall.Target) bool {
	if !r.lost {
		r.tried[t.ID] = true
	}
	if a.err.Verdict != hookhall.NotRun {
		r.runs++
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
	case !r.Budget.Spend(r.service, r.Members(), time.Now()):
		why = "the retry budget is spent"
	}
	if why != "" {
		r.logSend(a, t, why)
		return false
	}
	r.Meter.Repeated(r.service)
	r.logSend(a, t, "another target")
	if a.err.Cause == hookhall.CauseRefused && len(r.tried) >= len(r.Catalog.Targets(r.service)) {
		clear(r.tried)
		return retry.Sleep(ctx, fullPause)
	}
	return true
}

// servePlain gets a whole answer and passes it on.
func (r *request) servePlain(ctx context.Context) error {
	sendCtx, cancel := r.sendContext(ctx)
	defer cancel()
	for {
		if err := r.remake(ctx); err != nil {
			return err
		}
		t, none := r.choose(ctx)
		if none != nil {
			return r.giveUp(ctx, none)
		}
		a := r.send(sendCtx, t, "")
		var whole []byte
		if a.err == nil {
			whole, a.err = r.readWhole(a)
		}
		if a.err == nil && r.worthRepeat(ctx, a) {
			r.logSendStatus(a, t)
			continue
		}
		if a.err == nil {
			return r.pass(a.reply, whole)
		}
		if !r.next(ctx, a, t) {
			return r.giveUp(ctx, a.err)
		}
	}
}

// sendContext is the context of a plain request's sends: work that may run only
// once is not broken off when its client leaves, since it can't be taken back.
func (r *request) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.route.Repeatable() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), r.end)
}

// readWhole reads an answer to its end.
func (r *request) readWhole(a *attempt) ([]byte, *hookhall.Error) {
	defer a.end()
	b, err := io.ReadAll(io.LimitReader(a.reply.Body, mostAnswer))
	_ = a.reply.Body.Close()
	if err != nil {
		a.failed(false)
		return nil, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer was cut: %v", err)
	}
	if a.reply.Status < http.StatusMultipleChoices && !a.reply.Marks.Sealed {
		a.failed(false)
		return nil, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer bears no signature")
	}
	if a.reply.Status >= http.StatusInternalServerError {
		a.failed(false)
	} else {
		a.read()
	}
	return b, nil
}

// worthRepeat tells whether a target's own failure may be tried elsewhere.
func (r *request) worthRepeat(ctx context.Context, a *attempt) bool {
	if a.reply.Status < http.StatusInternalServerError || !r.route.Repeatable() || ctx.Err() != nil {
		return false
	}
	if r.runs+1 >= r.route.MaxAttempts || !r.Budget.Spend(r.service, r.Members(), time.Now()) {
		return false
	}
	r.runs++
	r.tried[r.target.ID] = true
	r.Meter.Repeated(r.service)
	return true
}

func (r *request) logSendStatus(a *attempt, t hookhall.Target) {
	a.err = hookhall.Errorf(hookhall.Ran, hookhall.CauseTarget, "status %d", a.reply.Status)
	r.logSend(a, t, "another target")
}

// pass writes a target's whole answer.
func (r *request) pass(reply *hookhall.Reply, whole []byte) error {
	r.answer.Begin(reply.Status, reply.Header)
	if err := r.answer.Chunk(whole); err != nil {
		r.cutBy = "the client has gone"
		return hookhall.ErrCut
	}
	return nil
}
