// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

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
	kept, cancel := clock.WithDeadline(context.WithoutCancel(ctx), r.end)
	stop := context.AfterFunc(ctx, func() {
		if stopping(ctx) {
			cancel()
		}
	})
	return kept, func() { stop(); cancel() }
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
	if a.reply.Status < http.StatusMultipleChoices && !a.reply.Info.Sealed {
		a.failed(false)
		return nil, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer bears no signature")
	}
	if a.reply.Status >= http.StatusInternalServerError {
		a.failed(false)
		a.counted.Answered(clock.Since(a.began), true)
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
	if r.runs+1 >= r.route.MaxAttempts || !r.repeat() {
		return false
	}
	r.runs++
	r.tried[r.target.ID] = true
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
