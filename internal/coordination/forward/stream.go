// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	readSize = 4 << 10
	// unreadTime is how long a client may hold up a stream before its target may break it
	// off without having failed.
	unreadTime = time.Second
)

// stream is an answer that goes on event by event.
type stream struct {
	r     *request
	begun bool      // the head went to the client
	wrote time.Time // the last event went to the client
	last  string    // id of the last whole event that the client has
}

// serveStream passes a stream on, over several targets where the route allows.
func (r *request) serveStream(ctx context.Context) error {
	s := &stream{r: r, last: r.call.LastEvent}
	for {
		if err := r.remake(ctx); err != nil {
			return s.end(ctx, hookhall.AsError(err))
		}
		t, none := r.choose(ctx)
		if none != nil {
			return s.end(ctx, none)
		}
		a := r.send(ctx, t, s.last)
		if a.err == nil {
			a.err = s.forward(ctx, a)
		}
		if a.err == nil {
			return nil
		}
		if !r.next(ctx, a, t) {
			return s.end(ctx, a.err)
		}
	}
}

// end makes the final answer after the last failure.
func (s *stream) end(ctx context.Context, e *hookhall.Error) error {
	if s.begun {
		s.r.cutBy = e.Detail
		return hookhall.ErrCut
	}
	return s.r.giveUp(ctx, e)
}

// forward passes one target's answer on. nil means that the client has a whole
// answer.
func (s *stream) forward(ctx context.Context, a *attempt) *hookhall.Error {
	defer a.close()
	if a.reply.Status >= http.StatusMultipleChoices {
		return s.failure(a)
	}
	if !a.reply.Info.Sealed {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer bears no signature")
	}
	a.read()
	if s.r.results.Released() {
		s.r.reading.inTime()
	}
	s.r.results.Release()
	if !s.begun {
		s.begun = true
		a.reply.Header.Del("Content-Length")
		s.r.answer.Begin(a.reply.Status, a.reply.Header)
	}
	return s.events(ctx, a)
}

// failure passes a target's own failure on, if no stream has begun.
func (s *stream) failure(a *attempt) *hookhall.Error {
	if s.begun {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTarget, "status %d in place of a stream", a.reply.Status)
	}
	begun, err := s.r.readAhead(a)
	if err != nil {
		return err
	}
	_ = s.r.pass(begun) // a client that has gone needs nothing
	return nil
}

// events passes whole events on as they come.
func (s *stream) events(ctx context.Context, a *attempt) *hookhall.Error {
	buffer := make([]byte, 0, readSize)
	waited := clock.Now()
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		if clock.Since(waited) >= unreadTime {
			a.unread = true
		}
		n, err := a.reply.Body.Read(buffer[len(buffer):cap(buffer)])
		waited = clock.Now()
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return s.chunk(buffer)
		}
		if cut := wholeEvents(buffer); cut > 0 {
			if e := s.chunk(buffer[:cut]); e != nil {
				return e
			}
			buffer = buffer[:copy(buffer, buffer[cut:])]
		}
		if err != nil {
			if ctx.Err() == nil && !a.unread {
				a.failed(false)
			}
			return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the stream broke: %v", err)
		}
	}
}

// chunk writes whole events and remembers the last one's id.
func (s *stream) chunk(b []byte) *hookhall.Error {
	if len(b) == 0 {
		return nil
	}
	if err := s.r.answer.Chunk(b); err != nil {
		return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseCanceled, "the client has gone: %v", err)
	}
	if id := lastID(b); id != "" {
		s.last = id
	}
	now := clock.Now()
	if s.wrote.IsZero() {
		s.r.first = now.Sub(s.r.arrived)
	} else {
		s.r.gap = max(s.r.gap, now.Sub(s.wrote))
	}
	s.wrote = now
	return nil
}

// wholeEvents is the length of the events in b that have come whole.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// lastID finds the id of the last event in b that has one.
func lastID(b []byte) string {
	for len(b) > 0 {
		i := bytes.LastIndexByte(bytes.TrimRight(b, "\r\n"), '\n')
		line := bytes.TrimRight(b[i+1:], "\r\n")
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id))
		}
		b = b[:i+1]
	}
	return ""
}
