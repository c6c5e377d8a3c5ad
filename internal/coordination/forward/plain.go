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

// maxHeldBytes limits how much of one answer is held in memory, in bytes (4 MiB).
const maxHeldBytes = 4 << 20

// servePlain answers a plain request: it reads the answer of a target, up to maxHeldBytes,
// before it sends any of it to the client.
func (r *request) servePlain(ctx context.Context) error {
	sendCtx, cancel := r.sendContext(ctx)
	defer cancel()
	for {
		if err := r.rerunStages(ctx); err != nil {
			return err
		}
		target, failure := r.chooseTarget(ctx)
		if failure != nil {
			return r.finalError(ctx, failure)
		}
		a := r.send(sendCtx, target, "")
		var held *heldAnswer
		if a.err == nil {
			held, a.err = r.readAhead(a)
		}
		if a.err == nil && r.retryServerError(ctx, a) {
			held.release()
			r.logFailedStatus(a, target)
			continue
		}
		if a.err == nil {
			return r.writeAnswer(held)
		}
		if !r.prepareRetry(ctx, a, target) {
			return r.finalError(ctx, a.err)
		}
	}
}

// sendContext returns the context for the attempts of a plain request. Work that may run only
// once continues until the deadline when its client disconnects, since it can't be undone;
// it is canceled when this process stops.
func (r *request) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.route.Repeatable() {
		return context.WithCancel(ctx)
	}
	detached, cancel := clock.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	unregister := context.AfterFunc(ctx, func() {
		if isStopping(ctx) {
			cancel()
		}
	})
	return detached, func() { unregister(); cancel() }
}

// heldAnswer is the part of an answer that is in memory before any of it is passed on.
type heldAnswer struct {
	*buffer.Buffer
	attempt *attempt
	// hasMore is set if the answer is longer than the part in memory.
	hasMore bool
}

// release frees the memory, and closes the reply if it was not read to its end.
func (h *heldAnswer) release() {
	h.Buffer.Release()
	if h.hasMore {
		h.hasMore = false
		h.attempt.close()
	}
}

// readAhead reads an answer until its end or until the memory limit. A truncated answer can be
// retried as long as no byte was sent to the client.
func (r *request) readAhead(a *attempt) (*heldAnswer, *hookhall.Error) {
	if failure := r.checkHead(a); failure != nil {
		a.close()
		return nil, failure
	}
	held := &heldAnswer{Buffer: r.Buffers.New(maxHeldBytes), attempt: a}
	hasMore, err := held.Fill(a.reply.Body)
	failure := r.checkAnswer(a, err)
	if failure == nil && hasMore {
		held.hasMore = true
		return held, nil
	}
	a.close()
	if failure != nil {
		held.release()
		return nil, failure
	}
	return held, nil
}

// checkAnswer records the outcome of reading an answer, with readErr of the read, and returns an
// error if the answer can't be used.
func (r *request) checkAnswer(a *attempt, readErr error) *hookhall.Error {
	if readErr != nil {
		return a.recordTruncated("the answer was cut", readErr)
	}
	if a.reply.Status >= http.StatusInternalServerError {
		a.recordFailure(false)
		a.rolloutAttempt.Answered(clock.Since(a.began), true)
	} else {
		a.recordRead(false) // the whole answer was read
	}
	return nil
}

// retryServerError reports whether an answer with a status of 500 or more is to be retried at
// another target. If so, it takes a retry out of the budget and counts the attempt.
func (r *request) retryServerError(ctx context.Context, a *attempt) bool {
	if a.reply.Status < http.StatusInternalServerError || !r.route.Repeatable() || ctx.Err() != nil {
		return false
	}
	if r.runs+1 >= r.route.MaxAttempts || !r.spendRetry() {
		return false
	}
	r.runs++
	r.tried[r.target.ID] = true
	return true
}

// logFailedStatus logs an attempt whose error status is retried at another target.
func (r *request) logFailedStatus(a *attempt, target hookhall.Target) {
	a.err = hookhall.Errorf(hookhall.Ran, hookhall.CauseTarget, "status %d", a.reply.Status)
	r.logFailedAttempt(a, target, "another target")
}

// writeAnswer sends an answer to the client. It returns hookhall.ErrTruncated if that fails.
func (r *request) writeAnswer(held *heldAnswer) error {
	defer held.release()
	reply := held.attempt.reply
	r.answer.Begin(reply.Status, reply.Header)
	if err := r.answer.Chunk(held.Bytes()); err != nil {
		r.cutDetail = "the client has gone"
		return hookhall.ErrTruncated
	}
	if !held.hasMore {
		return nil
	}
	held.Buffer.Release()
	return r.writeRest(held.attempt)
}

// writeRest sends what follows the held part of an answer, at the speed at which the client reads.
func (r *request) writeRest(a *attempt) error {
	chunk := make([]byte, chunkSize)
	for {
		n, err := a.reply.Body.Read(chunk)
		if n > 0 && r.answer.Chunk(chunk[:n]) != nil {
			r.cutDetail = "the client has gone"
			return hookhall.ErrTruncated
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			r.cutDetail = "the answer was cut: " + err.Error()
			return hookhall.ErrTruncated
		}
	}
}
