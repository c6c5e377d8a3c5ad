// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package callers is the HTTP interface that callers use.
//
// # Model
//
// POST /v1/run accepts a wire.RunRequest from an account that presents its key as
// a bearer token. It answers with one JSON document, or with JSON lines if the
// request asks for a stream. GET /readyz reports to the load balancer whether this
// entry accepts new requests; GET /healthz whether the process runs.
//
// # Invariants
//
//   - A streamed answer always ends with an end or an error line, unless the
//     connection broke, so that a caller can't mistake a partial answer for a
//     complete one.
//   - A refusal is sent as soon as its cause is found, before further processing.
package callers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/pipeline"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/table"
)

// Paths of the callers' HTTP interface.
const (
	PathRun    = "/v1/run"
	PathReady  = "/readyz"
	PathHealth = "/healthz"
)

// stopRetryDelay is the delay after which a caller should retry at another entry while
// this one stops.
const stopRetryDelay = 100 * time.Millisecond

// answerMargin is how much longer than until the request's deadline its body may be read, and its answer
// written.
const answerMargin = 5 * time.Second

// Service runs the requests that a Handler reads.
type Service interface {
	// Table returns the table currently applied.
	Table() *table.Snapshot
	// Ready reports whether the load balancer should send new requests here.
	Ready() bool
	// Accepting reports whether new requests are still accepted, and the cause if
	// they are not.
	Accepting() (bool, hookhall.Cause)
	// Run runs a request and returns its answer. emit receives each chunk of the
	// output; nil if the answer is not streamed.
	Run(ctx context.Context, request *hookhall.Request, emit pipeline.Emit) (*hookhall.Answer, error)
}

// Handler serves the HTTP requests of callers.
type Handler struct{ service Service }

// New returns a Handler that passes requests to s.
func New(s Service) *Handler { return &Handler{s} }

// Run serves POST /v1/run.
func (h *Handler) Run(w http.ResponseWriter, r *http.Request) {
	now := clock.Now()
	id := uuid.NewString()
	w.Header().Set(wire.HeaderRequestID, id)
	c := callerConn{http.NewResponseController(w)}
	if !h.service.Ready() {
		w.Header().Set("Connection", "close") // the next request goes through the load balancer
	}
	request, body, err := h.readRequest(r, c, id, now)
	if err != nil {
		wire.WriteProblem(w, wire.NewProblem(id, hookhall.AsError(err)))
		return
	}
	c.boundAnswer(request.Deadline.Add(answerMargin))
	if !body.Stream {
		answer, err := h.service.Run(r.Context(), request, nil)
		if err != nil {
			wire.WriteProblem(w, wire.NewProblem(id, hookhall.AsError(err)))
			return
		}
		wire.WriteJSON(w, http.StatusOK, wire.NewRunAnswer(id, answer))
		return
	}
	s := &stream{w: w, encoder: json.NewEncoder(w)}
	answer, err := h.service.Run(r.Context(), request, s.emit)
	s.finish(id, answer, hookhall.AsError(err))
}

// readRequest reads and checks the request r that arrived at now. It makes every check
// that needs no stage call.
func (h *Handler) readRequest(r *http.Request, c callerConn, id string, now time.Time) (*hookhall.Request, *wire.RunRequest, error) {
	if r.Method != http.MethodPost {
		return nil, nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "use POST")
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	if ok, cause := h.service.Accepting(); !ok {
		return nil, nil, notAccepting(key, cause)
	}
	t := h.service.Table()
	account, err := authenticate(t, r)
	if err != nil {
		return nil, nil, err
	}
	if err := wire.CheckKey(key); err != nil {
		return nil, nil, err
	}
	// The deadline of the request counts from its arrival, so that a body which takes longer is of no use.
	c.bound(now.Add(account.Deadline + answerMargin))
	body, err := wire.ReadRunRequest(r.Body)
	if err != nil {
		return nil, nil, err
	}
	request, err := newRequest(t, account, body, now)
	if err != nil {
		return nil, nil, err
	}
	request.ID, request.Key = id, key
	return request, body, nil
}

// notAccepting returns the refusal of a request while this entry accepts none. With an
// idempotency key the verdict is MayHaveRun, because an earlier submission with the
// same key may have run through another entry and this one does not look it up.
func notAccepting(key string, cause hookhall.Cause) error {
	verdict := hookhall.NotRun
	if key != "" {
		verdict = hookhall.MayHaveRun
	}
	return hookhall.Errorf(verdict, cause, "this entry takes no new work").WithRetryAfter(stopRetryDelay)
}

// authenticate returns the account whose key the request presents as bearer token.
func authenticate(t *table.Snapshot, r *http.Request) (*hookhall.Account, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "the account's key is missing: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(token))
	account := t.AccountByKey(hex.EncodeToString(sum[:]))
	if account == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "no account has this key")
	}
	return account, nil
}

// newRequest returns the request of body. Fields that the caller left out come from the
// table: the deadline from the class, or from the account if the class has none. A
// caller can shorten the deadline, not extend it.
func newRequest(t *table.Snapshot, account *hookhall.Account, body *wire.RunRequest, now time.Time) (*hookhall.Request, error) {
	class := t.Classes[body.Class]
	if body.Class != "" && class == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "there is no class %q", body.Class)
	}
	timeout := account.Deadline
	repeatable := true
	if class != nil {
		repeatable = class.Repeatable
		if class.Deadline > 0 {
			timeout = class.Deadline
		}
	}
	if body.Repeatable != nil {
		// A caller may forbid retries that its class allows, not the reverse.
		repeatable = repeatable && *body.Repeatable
	}
	if d := time.Duration(body.DeadlineMS) * time.Millisecond; d > 0 && d < timeout {
		timeout = d
	}
	return &hookhall.Request{
		Account: account.Name, Pipeline: body.Pipeline, Class: body.Class, Input: []byte(body.Input),
		MaxTokens: body.MaxTokens, Deadline: now.Add(timeout), Repeatable: repeatable, Digest: body.Digest(),
	}, nil
}

// Ready serves GET /readyz: 200 if new requests should be sent here, else 503.
func (h *Handler) Ready(w http.ResponseWriter, _ *http.Request) {
	if !h.service.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Health serves GET /healthz: always 200.
func Health(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// stream writes a streamed answer as JSON lines.
type stream struct {
	w          http.ResponseWriter
	encoder    *json.Encoder
	headerOnce sync.Once
}

// writeHeader sends the header of the answer before its first line.
func (s *stream) writeHeader() {
	s.headerOnce.Do(func() {
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	})
}

// emit writes the line of a pipeline event. It is a pipeline.Emit.
func (s *stream) emit(e pipeline.Event) error {
	return s.write(wire.StreamLine{Text: string(e.Text), Restart: e.Restart})
}

// write sends a line, and the header before the first one.
func (s *stream) write(l wire.StreamLine) error {
	s.writeHeader()
	if err := s.encoder.Encode(l); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish writes the last line: an error line if failure is set, else the end line. A
// failure before the first line is sent as a problem document with its own status.
func (s *stream) finish(id string, a *hookhall.Answer, failure *hookhall.Error) {
	if failure != nil {
		problem := wire.NewProblem(id, failure)
		headerSent := true
		s.headerOnce.Do(func() { headerSent = false })
		if !headerSent {
			wire.WriteProblem(s.w, problem)
			return
		}
		_ = s.write(wire.StreamLine{Error: problem}) // fails if the caller has disconnected
		return
	}
	end := wire.NewRunAnswer(id, a)
	if a.Replayed {
		_ = s.write(wire.StreamLine{Text: end.Output}) // fails if the caller has disconnected
	}
	end.Output = ""
	_ = s.write(wire.StreamLine{End: end}) // fails if the caller has disconnected
}
