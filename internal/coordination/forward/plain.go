// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// aheadMost bounds what is held of one answer, in bytes.
const aheadMost = 4 << 20

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
		var begun *beginning
		if a.err == nil {
			begun, a.err = r.readAhead(a)
		}
		if a.err == nil && r.worthRepeat(ctx, a) {
			begun.release()
			r.logSendStatus(a, t)
			continue
		}
		if a.err == nil {
			return r.pass(begun)
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

// beginning is an answer as far as it is held before it is passed on.
type beginning struct {
	*buffer.Buffer
	attempt *attempt
	// more is set if the answer goes on beyond what is held.
	more bool
}

// release gives up what is held, and what was not read.
func (b *beginning) release() {
	b.Buffer.Release()
	if b.more {
		b.more = false
		b.attempt.close()
	}
}

// readAhead reads an answer, to its end if it may be held: one that is cut can be asked for
// again until a byte has gone to the client.
func (r *request) readAhead(a *attempt) (*beginning, *hookhall.Error) {
	b := &beginning{Buffer: r.Buffers.New(aheadMost), attempt: a}
	more, err := b.Fill(a.reply.Body)
	e := r.judge(a, err)
	if e == nil && more {
		b.more = true
		return b, nil
	}
	a.close()
	if e != nil {
		b.release()
		return nil, e
	}
	return b, nil
}

// judge takes in how the reading of an answer ended.
func (r *request) judge(a *attempt, err error) *hookhall.Error {
	if err != nil {
		a.failed(false)
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer was cut: %v", err)
	}
	if a.reply.Status < http.StatusMultipleChoices && !a.reply.Info.Sealed {
		a.failed(false)
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer bears no signature")
	}
	if a.reply.Status >= http.StatusInternalServerError {
		a.failed(false)
		a.counted.Answered(clock.Since(a.began), true)
	} else {
		a.read()
	}
	return nil
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

// pass writes a target's answer.
func (r *request) pass(b *beginning) error {
	defer b.release()
	reply := b.attempt.reply
	r.answer.Begin(reply.Status, reply.Header)
	if err := r.answer.Chunk(b.Bytes()); err != nil {
		r.cutBy = "the client has gone"
		return hookhall.ErrCut
	}
	if !b.more {
		return nil
	}
	b.Buffer.Release()
	return r.passRest(b.attempt)
}

// passRest passes on what follows the beginning of an answer, as fast as the client reads.
func (r *request) passRest(a *attempt) error {
	piece := make([]byte, pieceSize)
	for {
		n, err := a.reply.Body.Read(piece)
		if n > 0 && r.answer.Chunk(piece[:n]) != nil {
			r.cutBy = "the client has gone"
			return hookhall.ErrCut
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			r.cutBy = "the answer was cut: " + err.Error()
			return hookhall.ErrCut
		}
	}
}
