// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/eventstream"
	"github.com/pkg/errors"
)

const (
	// initialBufferSize is the initial size in bytes of the buffer for events; it grows for longer
	// events.
	initialBufferSize = 4 << 10
	// maxEventBytes bounds one event, which is held in memory until it is complete. The stream of a
	// target that sends a longer one is broken off.
	maxEventBytes = 1 << 20
	// unreadTimeLimit is how long a client may stall a stream. After that the target may break it
	// off without a failure being counted for the target.
	unreadTimeLimit = time.Second
)

// stream is the answer of a streaming request. It may span several targets.
type stream struct {
	r           *request
	head        *hookhall.Reply // whose head the client gets, until it is sent
	hasBegun    bool            // the head was sent to the client
	lastWrite   time.Time       // when the last event was sent to the client
	lastEventID string          // id of the last complete event that the client has
}

// passedEvents are the events of a stream that were sent to the client within one answer.
type passedEvents struct {
	count           int
	firstID, lastID string // "" without an id
}

// add returns p with the events of one target's answer behind it.
func (p passedEvents) add(answer *eventstream.Parser) passedEvents {
	if p.count == 0 {
		p.firstID = answer.FirstID()
	}
	p.count += answer.Events()
	if id := answer.LastID(); id != "" {
		p.lastID = id
	}
	return p
}

// serveStream passes a stream on, from several targets in turn if the route allows it.
func (r *request) serveStream(ctx context.Context) error {
	s := &stream{r: r, lastEventID: r.call.LastEventID}
	for {
		if err := r.rerunStages(ctx); err != nil {
			return s.finalError(ctx, hookhall.AsError(err))
		}
		target, failure := r.chooseTarget(ctx)
		if failure != nil {
			return s.finalError(ctx, failure)
		}
		a := r.send(ctx, target, s.lastEventID)
		if a.err == nil {
			a.err = s.forward(ctx, a)
		}
		if a.err == nil {
			return nil
		}
		if !r.prepareRetry(ctx, a, target) {
			return s.finalError(ctx, a.err)
		}
	}
}

// finalError returns the error for the client after the last failure: hookhall.ErrTruncated if the
// stream has begun.
func (s *stream) finalError(ctx context.Context, failure *hookhall.Error) error {
	if s.hasBegun {
		s.r.cutDetail = failure.Detail
		return hookhall.ErrTruncated
	}
	return s.r.finalError(ctx, failure)
}

// forward passes the answer of one target on. It returns nil if the client has a complete answer.
func (s *stream) forward(ctx context.Context, a *attempt) *hookhall.Error {
	defer a.close()
	if a.reply.Status >= http.StatusMultipleChoices {
		return s.passFailure(a)
	}
	if !a.reply.Info.Sealed {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer bears no signature")
	}
	// A stream that is resumed skips the events that the client has, before its first one.
	a.recordRead(s.lastEventID == "")
	if s.r.results.Released() {
		s.r.readTime.recordLongEnough()
	}
	s.r.results.Release()
	s.head = a.reply
	return s.passEvents(ctx, a)
}

// begin sends the head of the answer, if it was not sent. Until there is something to follow it, the
// answer of another target or an error can take its place.
func (s *stream) begin() {
	if s.hasBegun {
		return
	}
	s.hasBegun = true
	s.head.Header.Del("Content-Length")
	s.r.answer.Begin(s.head.Status, s.head.Header)
}

// passFailure passes a target's own error answer on, unless the stream has begun.
func (s *stream) passFailure(a *attempt) *hookhall.Error {
	if s.hasBegun {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTarget, "status %d in place of a stream", a.reply.Status)
	}
	held, err := s.r.readAhead(a)
	if err != nil {
		return err
	}
	_ = s.r.writeAnswer(held) // the client has disconnected: there is nobody to report to
	return nil
}

// passEvents passes complete events on as they arrive. It sets a.unread if the client stalled
// the stream.
func (s *stream) passEvents(ctx context.Context, a *attempt) *hookhall.Error {
	var parser eventstream.Parser
	buffer := make([]byte, 0, initialBufferSize)
	reserved := 0 // bytes of the buffer in the budget
	defer func() {
		if reserved > 0 {
			s.r.Buffers.Return(reserved)
		}
	}()
	resumedAfter, isChecked := s.lastEventID, false
	passed := 0 // bytes of the stream
	var run runTimer
	passedBefore := s.r.passedOn
	lastRead := clock.Now()
	for {
		if len(buffer) == cap(buffer) {
			if !s.r.Buffers.Reserve(cap(buffer)) {
				return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseOverload, "no memory is left for an event of over %d bytes", len(buffer))
			}
			reserved += cap(buffer)
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		if clock.Since(lastRead) >= unreadTimeLimit {
			a.unread = true
		}
		readFrom := clock.Now()
		n, err := a.reply.Body.Read(buffer[len(buffer):cap(buffer)])
		lastRead = clock.Now()
		parser.Feed(buffer[len(buffer) : len(buffer)+n])
		buffer = buffer[:len(buffer)+n]
		s.r.recordRun(run.add(parser.Events(), lastRead.Sub(readFrom)))
		if complete := parser.Complete() - passed; complete > 0 {
			if first := parser.FirstID(); first != "" && !isChecked {
				isChecked = true
				if s.r.route.Resumable && !mayFollow(first, resumedAfter) {
					return s.broken(ctx, a, "the target did not go on after the last event", errors.Errorf("event %.64q came after %.64q", first, resumedAfter))
				}
			}
			if parser.Events() > 0 {
				s.r.bind(ctx)
			}
			if failure := s.writeEvents(buffer[:complete], parser.LastID()); failure != nil {
				return failure
			}
			s.r.passedOn = passedBefore.add(&parser)
			passed += complete
			buffer = buffer[:copy(buffer, buffer[complete:])]
		}
		switch {
		case len(buffer) > maxEventBytes:
			return s.broken(ctx, a, "an event is too long", errors.Errorf("over %d bytes", maxEventBytes))
		case err == io.EOF:
			return s.endStream(ctx, a, &parser, buffer)
		case err != nil:
			return s.broken(ctx, a, "the stream broke", err)
		}
	}
}

// mayFollow reports whether the event with an id may follow the one with id last, "" for none. Ids need no
// order, unless both are numbers.
func mayFollow(id, last string) bool {
	if id == last {
		return false
	}
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || number > lastNumber
}

// endStream ends a stream whose target has ended it in order. left is what follows the last complete
// event. The framing alone does not prove that the target has sent the whole stream: a target that
// fails may end its answer in order, too.
func (s *stream) endStream(ctx context.Context, a *attempt, parser *eventstream.Parser, left []byte) *hookhall.Error {
	switch {
	case parser.InsideEvent():
		s.r.unfinishedBytes = len(left)
		return s.broken(ctx, a, "the stream ended inside an event", io.ErrUnexpectedEOF)
	case parser.Events() == 0 && a.reply.Framing == hookhall.FramedByConnection:
		return s.broken(ctx, a, "the connection ended before the first event", io.ErrUnexpectedEOF)
	}
	s.begin()
	return s.writeEvents(left, parser.LastID())
}

// broken returns the error of a stream that its target broke off, and records a failure of the target
// unless the client had left or stalled the stream.
func (s *stream) broken(ctx context.Context, a *attempt, what string, err error) *hookhall.Error {
	if ctx.Err() == nil && !a.unread {
		return a.recordTruncated(what, err)
	}
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "%s: %v", what, err)
}

// writeEvents sends complete events to the client and records the id of the last one, "" if none has
// an id.
func (s *stream) writeEvents(events []byte, lastID string) *hookhall.Error {
	if len(events) == 0 {
		return nil
	}
	s.begin()
	if err := s.r.answer.Chunk(events); err != nil {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseCanceled, "the client has gone: %v", err)
	}
	if lastID != "" {
		s.lastEventID = lastID
	}
	now := clock.Now()
	if s.lastWrite.IsZero() {
		s.r.firstByteElapsed = now.Sub(s.r.arrived)
	} else {
		s.r.maxEventGap = max(s.r.maxEventGap, now.Sub(s.lastWrite))
	}
	s.lastWrite = now
	return nil
}
