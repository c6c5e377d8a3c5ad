// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package front serves clients whose requests are passed on to targets.
//
// # Model
//
// A Handler reads a complete request with the header fields of the platform's
// protocol, passes it to a Service and writes the answer. The verdict and cause
// of a refusal determine its status: 503 only if the request has not run and never
// will; 502 and 504 if it may have run, and 502 for request content that crashes
// targets. A Drain stops the server without cutting off requests. An Intake refuses connections, and
// closes them with a request unread, while this process takes in more than it can serve.
//
// # Invariants
//
//   - A client can detect a truncated answer: its connection is closed without
//     the end of the framing, or with a reset if the answer has no framing.
//   - A refusal never carries header fields of a target.
package front

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// Service answers the calls that a Handler reads.
type Service interface {
	// Serve writes the answer to c. It returns a *hookhall.Error only if nothing was
	// written yet; any other error cuts the connection.
	Serve(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error
	// MaxBody returns the maximum size of a request's body in bytes, or 0 for the
	// default of this package.
	MaxBody() int
	// TimeLimit returns how long a request may take, from its head to the end of its answer. clientTimeout
	// is the timeout that its client states, 0 for none.
	TimeLimit(host, uri string, clientTimeout time.Duration) time.Duration
}

const (
	// defaultMaxBodyBytes bounds a request's body if the service has no bound.
	defaultMaxBodyBytes = 64 << 20
	// bodyRetryDelay is the delay after which a client should retry whose body did not
	// fit into the shared budget.
	bodyRetryDelay = time.Second
)

// Meter receives the counts of a Handler.
type Meter interface {
	// OwnAnswer counts an answer that this process made itself, by status and cause.
	OwnAnswer(status int, cause string)
}

// Handler is an http.Handler that passes requests to a Service.
type Handler struct {
	// Meter counts answers; nil counts none. Set it before the first request.
	Meter Meter
	// IsCrowded reports whether connections are to be closed after their next answer, so that
	// their clients reach other instances. It may be nil, and must be set before the first request.
	IsCrowded func() bool

	service    Service
	dialect    hookhall.Dialect
	bodyBudget *buffer.Budget
	reading    atomic.Int64 // bodies being read
	log        *log.Logger
}

// NewHandler returns a Handler. bodyBudget is the memory budget that the bodies of all
// requests in progress share.
func NewHandler(service Service, dialect hookhall.Dialect, bodyBudget *buffer.Budget, logger *log.Logger) *Handler {
	return &Handler{service: service, dialect: dialect, bodyBudget: bodyBudget, log: logger}
}

// Reading returns the number of request bodies being read.
func (h *Handler) Reading() int64 { return h.reading.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := h.maxBody()
	body := h.bodyBudget.New(limit + 1)
	defer body.Release()
	info, invalid := h.dialect.Read(r.Header)
	timeLimit := h.service.TimeLimit(r.Host, r.RequestURI, info.ClientTimeout)
	lastWrite := connDeadline(timeLimit + answerMargin)
	clock.DetectSuspension() // else one that ended before the request would count as time of it
	headReadAt := clock.Now()
	if failure := h.readBody(w, r, body, limit, timeLimit); failure != nil {
		h.logRejected(r, failure)
		boundBodyRest(w)
		h.Refuse(w, failure)
		return
	}
	if invalid != nil {
		failure := hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "%v", invalid)
		h.logRejected(r, failure)
		h.Refuse(w, failure)
		return
	}
	call := &hookhall.Call{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: EndToEnd(r.Header, h.dialect.EndToEnd), Body: body.Bytes(),
		HeadReadAt: headReadAt, CallInfo: info,
	}
	err := h.service.Serve(r.Context(), call, &answerWriter{w, h, lastWrite})
	if err == nil {
		return
	}
	var refusal *hookhall.Error
	if errors.As(err, &refusal) {
		h.Refuse(w, refusal)
		return
	}
	abort(w, r)
}

// abort ends an answer that can't be completed. It does not return.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	// Makes net/http close the connection without the end of the framing.
	panic(http.ErrAbortHandler)
}

// reset makes the connection end with a reset: an answer without chunks, which clients of HTTP/1.0 get,
// is complete for them if its connection ends in order.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is not one of HTTP/1
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails on a closed connection
	}
	_ = c.Close()
}

// maxBody returns the maximum size of a body in bytes.
func (h *Handler) maxBody() int {
	if limit := h.service.MaxBody(); limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// readBody reads the body of a request, of at most limit bytes and within timeLimit. It is held in the given buffer and is
// valid until the buffer is released.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, body *buffer.Buffer, limit int, timeLimit time.Duration) *hookhall.Error {
	err := h.fill(w, r, body, limit, timeLimit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, hookhall.ErrStopping), errors.Is(err, os.ErrDeadlineExceeded) && errors.Is(context.Cause(r.Context()), hookhall.ErrStopping):
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseStopping, "this instance stops before the body came whole").WithRetryAfter(stopRetryDelay)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline, "the body did not come whole before the deadline")
	case errors.As(err, &tooLarge):
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, buffer.ErrNoRoom):
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload, "no room is left for the body").WithRetryAfter(bodyRetryDelay)
	case err != nil:
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "the body did not come whole: %v", err)
	}
	return nil
}

// fill reads a body of at most limit bytes. Without a whole body within timeLimit, or before the end of
// the request's context, it fails with os.ErrDeadlineExceeded. It fails with hookhall.ErrStopping if the body is
// not whole when this process begins to refuse requests, and may stop before timeLimit.
func (h *Handler) fill(w http.ResponseWriter, r *http.Request, body *buffer.Buffer, limit int, timeLimit time.Duration) (err error) {
	h.reading.Add(1)
	defer h.reading.Add(-1)
	if r.ContentLength != 0 {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(connDeadline(timeLimit)) // the recorders of tests have no deadlines
		interrupt := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
		endOfContext := context.AfterFunc(r.Context(), interrupt)
		unservable := watchUnservable(r.Context(), clock.Now().Add(timeLimit), interrupt)
		defer func() {
			isContextActive, isUnservable := endOfContext(), unservable.done()
			switch {
			case isUnservable && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
				err = hookhall.ErrStopping
			case isContextActive && !isUnservable && err == nil:
				_ = controller.SetReadDeadline(time.Time{})
			}
		}()
	}
	return body.FillRequest(http.MaxBytesReader(w, r.Body, int64(limit)), r.ContentLength)
}

// logRejected logs a request that is refused before it was read completely.
func (h *Handler) logRejected(r *http.Request, e *hookhall.Error) {
	info, _ := h.dialect.Read(r.Header) // of invalid header fields, the readable part is logged
	h.log.Warn("request not read", "request", info.ID, "uri", r.RequestURI, "bytes", r.ContentLength,
		"cause", string(e.Cause), "detail", e.Detail, "body_bytes", h.bodyBudget.Held())
}

// closeIfCrowded makes the connection of an answer close after it while this process is crowded.
func (h *Handler) closeIfCrowded(w http.ResponseWriter) {
	if h.IsCrowded != nil && h.IsCrowded() {
		w.Header().Set("Connection", "close")
	}
}

// boundBodyRest bounds the wait for the rest of a body that is not read: net/http reads that of a short one before it
// writes a refusal. It is not for requests whose body was read, since net/http then takes the end of the time for that of the connection.
func boundBodyRest(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(connDeadline(refusedBodyWait)) // the recorders of tests have no deadlines
}

// Refuse writes the answer to a request that is not passed on or got no answer from a
// target.
func (h *Handler) Refuse(w http.ResponseWriter, e *hookhall.Error) {
	if h.Meter != nil {
		h.Meter.OwnAnswer(Status(e), string(e.Cause))
	}
	if e.RetryAfter > 0 {
		h.dialect.SetRetryAfter(w.Header(), e.RetryAfter)
	}
	h.closeIfCrowded(w)
	_ = http.NewResponseController(w).SetWriteDeadline(connDeadline(refusalTimeout)) // the recorders of tests have no deadlines
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(Status(e))
	_, _ = io.WriteString(w, string(e.Cause)+": "+e.Detail+"\n") // fails if the client has disconnected
}

// Status returns the HTTP status of a refusal. 503 is the default for a request that
// has not run.
func Status(e *hookhall.Error) int {
	if e.Verdict == hookhall.MayHaveRun {
		if e.Cause == hookhall.CauseDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch e.Cause {
	case hookhall.CauseBadRequest:
		return http.StatusBadRequest
	case hookhall.CauseUnauthorized:
		return http.StatusUnauthorized
	case hookhall.CauseNoRoute:
		return http.StatusNotFound
	case hookhall.CauseTooLarge:
		return http.StatusRequestEntityTooLarge
	case hookhall.CauseCrashes:
		// Clients retry after a 503, and this request content is refused then as well.
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// hopByHopFields are the header fields that apply to one connection only.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the fields that apply to one connection: the
// standard ones, and those that Connection names unless keep returns true for them.
func EndToEnd(h http.Header, keep func(name string) bool) http.Header {
	copied := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); !keep(name) {
				copied.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		copied.Del(name)
	}
	return copied
}

// answerWriter is a hookhall.AnswerWriter that writes to a client over HTTP.
type answerWriter struct {
	w         http.ResponseWriter
	handler   *Handler
	lastWrite time.Time // end of the last write, by time.Now
}

// Begin implements hookhall.AnswerWriter. Hop-by-hop fields of h are dropped.
func (a *answerWriter) Begin(status int, h http.Header) {
	header := a.w.Header()
	for k, v := range EndToEnd(h, a.handler.dialect.EndToEnd) {
		header[k] = v
	}
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil // keeps net/http from setting a detected type
	}
	a.handler.closeIfCrowded(a.w)
	// Bounds the write of an answer without a body. The recorders of tests have no deadlines.
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.deadline())
	a.w.WriteHeader(status)
}

const (
	// writeTimeout bounds one write to a client that does not read; after it the
	// connection is closed.
	writeTimeout = 10 * time.Second
	// maxWriteBytes is how many bytes are written at a time. A client that reads one
	// kilobyte per second reads them within writeTimeout.
	maxWriteBytes = 8 << 10
	// answerMargin is the time after the time limit of a request in which its answer can still be written: what takes
	// longer is of no use to the client.
	answerMargin = 500 * time.Millisecond
	// refusalTimeout bounds the time for a refusal, and refusedBodyWait the part of it in which what is left of the
	// request's body is read, so that the answer is not lost to a reset.
	refusalTimeout  = time.Second
	refusedBodyWait = 500 * time.Millisecond
)

// connDeadline returns the deadline of a connection after a time. Such deadlines are compared with time.Now, not with
// package clock.
func connDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// deadline returns the deadline of a write that begins now.
func (a *answerWriter) deadline() time.Time {
	deadline := connDeadline(writeTimeout)
	if a.lastWrite.Before(deadline) {
		return a.lastWrite
	}
	return deadline
}

// Chunk implements hookhall.AnswerWriter. Each part of maxWriteBytes must be written
// within writeTimeout, and all of them before lastWrite.
func (a *answerWriter) Chunk(b []byte) error {
	controller := http.NewResponseController(a.w)
	for len(b) > 0 {
		_ = controller.SetWriteDeadline(a.deadline()) // the recorders of tests have no deadlines
		n, err := a.w.Write(b[:min(len(b), maxWriteBytes)])
		if err != nil {
			return errors.Wrap(err, "client")
		}
		b = b[n:]
	}
	return errors.Wrap(controller.Flush(), "client")
}
