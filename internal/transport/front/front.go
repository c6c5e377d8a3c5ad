// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package front serves clients whose requests are passed on to targets.
//
// # Model
//
// A Handler reads a whole request, marks included, hands it to a Service and
// writes what comes back. A refusal becomes a status by its verdict and cause:
// 429 and 503 only for what has not run and never will; 502 and 504 for what
// may have run.
//
// # Invariants
//
//   - An answer that ends early is cut visibly: its connection is closed
//     without the framing's end.
//   - A refusal never bears a target's fields.
package front

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/pkg/errors"
)

// Service answers calls.
type Service interface {
	// Serve answers c. A *hookhall.Error means that nothing was written.
	Serve(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error
	// MaxBody bounds a request's body in bytes; 0 for no bound.
	MaxBody() int
}

const (
	// bodyMost is the bound on bodies when the service has none, in bytes.
	bodyMost = 64 << 20
	// roomBack is when a client should come back for whose body there is no room.
	roomBack = time.Second
)

// Handler is an http.Handler.
type Handler struct {
	service Service
	dialect hookhall.Dialect
	bodies  *buffer.Budget
	log     *log.Logger
}

// NewHandler makes a Handler. The bodies of all requests in progress share a budget.
func NewHandler(s Service, d hookhall.Dialect, bodies *buffer.Budget, l *log.Logger) *Handler {
	return &Handler{s, d, bodies, l}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := h.bodies.New(h.maxBody() + 1)
	defer body.Release()
	c, e := h.read(w, r, body)
	if e != nil {
		h.logUnread(r, e)
		h.Refuse(w, e)
		return
	}
	err := h.service.Serve(r.Context(), c, &answer{w, h.dialect})
	if err == nil {
		return
	}
	var refusal *hookhall.Error
	if errors.As(err, &refusal) {
		h.Refuse(w, refusal)
		return
	}
	// Tells net/http to close the connection without an end.
	panic(http.ErrAbortHandler)
}

func (h *Handler) maxBody() int {
	if limit := h.service.MaxBody(); limit > 0 {
		return limit
	}
	return bodyMost
}

// read reads a request whole. Its body lies in the buffer, and is valid until that is
// released.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, body *buffer.Buffer) (*hookhall.Call, *hookhall.Error) {
	more, err := body.Fill(http.MaxBytesReader(w, r.Body, int64(h.maxBody())))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTooLarge, "the body has more than %d bytes", large.Limit)
	case err != nil:
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "the body did not come whole: %v", err)
	case more:
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseOverload, "no room is left for the body").After(roomBack)
	}
	marks, err := h.dialect.Read(r.Header)
	if err != nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "%v", err)
	}
	return &hookhall.Call{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: EndToEnd(r.Header, h.dialect.EndToEnd), Body: body.Bytes(), CallInfo: marks,
	}, nil
}

// logUnread writes a line on a request that is refused before it was read whole.
func (h *Handler) logUnread(r *http.Request, e *hookhall.Error) {
	marks, _ := h.dialect.Read(r.Header) // what can be read of wrong marks is told
	h.log.Warn("A request was not read.", "request", marks.ID, "uri", r.RequestURI, "bytes", r.ContentLength,
		"cause", string(e.Cause), "detail", e.Detail, "body_bytes", h.bodies.Held())
}

// Refuse writes the final answer of a request that gets no target's.
func (h *Handler) Refuse(w http.ResponseWriter, e *hookhall.Error) {
	if e.RetryAfter > 0 {
		h.dialect.Refusal(w.Header(), e.RetryAfter)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(Status(e))
	_, _ = io.WriteString(w, string(e.Cause)+": "+e.Detail+"\n") // the client may have gone
}

// Status is the status of a refusal.
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
		// Clients come back after a 503, and this content is not served then either.
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// hopByHop are the fields that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of h without the fields of one connection: the usual
// ones, and those that Connection names unless keep holds them back.
func EndToEnd(h http.Header, keep func(name string) bool) http.Header {
	c := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); !keep(name) {
				c.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		c.Del(name)
	}
	return c
}

// answer is an AnswerWriter over HTTP.
type answer struct {
	w       http.ResponseWriter
	dialect hookhall.Dialect
}

// Begin implements hookhall.AnswerWriter.
func (a *answer) Begin(status int, h http.Header) {
	to := a.w.Header()
	for k, v := range EndToEnd(h, a.dialect.EndToEnd) {
		to[k] = v
	}
	if len(to["Content-Type"]) == 0 {
		to["Content-Type"] = nil // else net/http would guess one
	}
	a.w.WriteHeader(status)
}

const (
	// writeTimeout bounds one write to a client that does not read.
	writeTimeout = 10 * time.Second
	// writeSize is how many bytes are written at a time: a client that reads a kilobyte a
	// second reads as many within writeTimeout.
	writeSize = 8 << 10
)

// Chunk implements hookhall.AnswerWriter.
func (a *answer) Chunk(b []byte) error {
	rc := http.NewResponseController(a.w)
	for len(b) > 0 {
		// Deadlines of connections are those of Go's own timers.
		_ = rc.SetWriteDeadline(time.Now().Add(writeTimeout)) // not to be had in tests
		n, err := a.w.Write(b[:min(len(b), writeSize)])
		if err != nil {
			return errors.Wrap(err, "client")
		}
		b = b[n:]
	}
	return errors.Wrap(rc.Flush(), "client")
}
