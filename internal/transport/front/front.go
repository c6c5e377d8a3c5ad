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
}

const (
	// defaultMaxBodyBytes bounds a request's body if the service has no bound.
	defaultMaxBodyBytes = 64 << 20
	// defaultBodyTimeout bounds the time for a body if the client states no deadline.
	defaultBodyTimeout = 30 * time.Second
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
	call, failure := h.read(w, r, body, limit)
	if failure != nil {
		h.logRejected(r, failure)
		h.Refuse(w, failure)
		return
	}
	err := h.service.Serve(r.Context(), call, &answerWriter{w, h})
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

// read reads a complete request, whose body has at most limit bytes. The body is held in the given buffer and is valid until
// the buffer is released.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, body *buffer.Buffer, limit int) (*hookhall.Call, *hookhall.Error) {
	info, invalid := h.dialect.Read(r.Header)
	err := h.fill(w, r, body, limit, info.ClientTimeout)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseDeadline, "the body did not come whole before the deadline")
	case errors.As(err, &tooLarge):
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	case errors.Is(err, buffer.ErrNoRoom):
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload, "no room is left for the body").WithRetryAfter(bodyRetryDelay)
	case err != nil:
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "the body did not come whole: %v", err)
	}
	if invalid != nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "%v", invalid)
	}
	return &hookhall.Call{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: EndToEnd(r.Header, h.dialect.EndToEnd), Body: body.Bytes(), CallInfo: info,
	}, nil
}

// fill reads a body of at most limit bytes. Without a whole body within the time that the client waits, 0 for
// defaultBodyTimeout, it fails with os.ErrDeadlineExceeded.
func (h *Handler) fill(w http.ResponseWriter, r *http.Request, body *buffer.Buffer, limit int, clientTimeout time.Duration) (err error) {
	h.reading.Add(1)
	defer h.reading.Add(-1)
	if r.ContentLength != 0 {
		if clientTimeout <= 0 {
			clientTimeout = defaultBodyTimeout
		}
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(connDeadline(clientTimeout)) // the recorders of tests have no deadlines
		defer func() {
			if err == nil {
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
	w       http.ResponseWriter
	handler *Handler
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
	a.w.WriteHeader(status)
}

const (
	// writeTimeout bounds one write to a client that does not read; after it the
	// connection is closed.
	writeTimeout = 10 * time.Second
	// maxWriteBytes is how many bytes are written at a time. A client that reads one
	// kilobyte per second reads them within writeTimeout.
	maxWriteBytes = 8 << 10
)

// connDeadline returns the deadline of a connection after a time. Such deadlines are compared with time.Now, not with
// package clock.
func connDeadline(after time.Duration) time.Time { return time.Now().Add(after) }

// Chunk implements hookhall.AnswerWriter. Each part of maxWriteBytes must be written
// within writeTimeout.
func (a *answerWriter) Chunk(b []byte) error {
	controller := http.NewResponseController(a.w)
	for len(b) > 0 {
		_ = controller.SetWriteDeadline(connDeadline(writeTimeout)) // the recorders of tests have no deadlines
		n, err := a.w.Write(b[:min(len(b), maxWriteBytes)])
		if err != nil {
			return errors.Wrap(err, "client")
		}
		b = b[n:]
	}
	return errors.Wrap(controller.Flush(), "client")
}
