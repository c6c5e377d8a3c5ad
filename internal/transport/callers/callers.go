// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package callers is the HTTP interface that callers use.
//
// # Model
//
// POST /v1/run takes a wire.RunRequest from an account that shows its key as a
// bearer token, and answers with one JSON document, or with JSON lines when a
// stream was asked for. GET /readyz tells the balancer whether to send work;
// GET /healthz whether the process runs.
//
// # Invariants
//
//   - A streamed answer always ends with an end or an error line, unless the
//     connection broke: a caller never takes a part for the whole.
//   - A refusal is sent the moment it is known.
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

// Paths of the callers' interface.
const (
	PathRun    = "/v1/run"
	PathReady  = "/readyz"
	PathHealth = "/healthz"
)

// stopRetry is when to come back to another entry while this one stops.
const stopRetry = 100 * time.Millisecond

// Service is what the interface stands on.
type Service interface {
	// Table is the table in force.
	Table() *table.Snapshot
	// Ready tells whether new work should come here.
	Ready() bool
	// Accepting tells whether new work is still taken, with the cause if not.
	Accepting() (bool, hookhall.Cause)
	// Run runs a request.
	Run(ctx context.Context, q *hookhall.Request, emit pipeline.Emit) (*hookhall.Answer, error)
}

// Handler serves callers.
type Handler struct{ service Service }

// New makes a Handler.
func New(s Service) *Handler { return &Handler{s} }

// Run serves POST /v1/run.
func (h *Handler) Run(w http.ResponseWriter, r *http.Request) {
	now := clock.Now()
	id := uuid.NewString()
	w.Header().Set(wire.HeaderRequestID, id)
	if !h.service.Ready() {
		w.Header().Set("Connection", "close") // come back through the balancer
	}
	q, body, err := h.read(r, id, now)
	if err != nil {
		wire.WriteProblem(w, wire.NewProblem(id, hookhall.AsError(err)))
		return
	}
	if !body.Stream {
		answer, err := h.service.Run(r.Context(), q, nil)
		if err != nil {
			wire.WriteProblem(w, wire.NewProblem(id, hookhall.AsError(err)))
			return
		}
		wire.WriteJSON(w, http.StatusOK, wire.NewRunAnswer(id, answer))
		return
	}
	s := &stream{w: w, encoder: json.NewEncoder(w)}
	answer, err := h.service.Run(r.Context(), q, s.emit)
	s.end(id, answer, hookhall.AsError(err))
}

// read checks everything that can be checked without running anything.
func (h *Handler) read(r *http.Request, id string, now time.Time) (*hookhall.Request, *wire.RunRequest, error) {
	if r.Method != http.MethodPost {
		return nil, nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "use POST")
	}
	key := r.Header.Get(wire.HeaderKey)
	if ok, cause := h.service.Accepting(); !ok {
		return nil, nil, closed(key, cause)
	}
	t := h.service.Table()
	account, err := authenticate(t, r)
	if err != nil {
		return nil, nil, err
	}
	if err := wire.CheckKey(key); err != nil {
		return nil, nil, err
	}
	body, err := wire.ReadRunRequest(r.Body)
	if err != nil {
		return nil, nil, err
	}
	q, err := newRequest(t, account, body, now)
	if err != nil {
		return nil, nil, err
	}
	q.ID, q.Key = id, key
	return q, body, nil
}

// closed refuses everything. An earlier submission with the same key may have
// run through another entry, and this one does not look.
func closed(key string, cause hookhall.Cause) error {
	v := hookhall.NotRun
	if key != "" {
		v = hookhall.MayHaveRun
	}
	return hookhall.Errorf(v, cause, "this entry takes no new work").After(stopRetry)
}

// authenticate finds the account of the bearer token.
func authenticate(t *table.Snapshot, r *http.Request) (*hookhall.Account, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "the account's key is missing: Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(token))
	a := t.AccountByKey(hex.EncodeToString(sum[:]))
	if a == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized, "no account has this key")
	}
	return a, nil
}

// newRequest fills in what the table says for what the caller left open.
func newRequest(t *table.Snapshot, a *hookhall.Account, b *wire.RunRequest, now time.Time) (*hookhall.Request, error) {
	class := t.Classes[b.Class]
	if b.Class != "" && class == nil {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, "there is no class %q", b.Class)
	}
	longest := a.Deadline
	repeatable := true
	if class != nil {
		repeatable = class.Repeatable
		if class.Deadline > 0 {
			longest = class.Deadline
		}
	}
	if b.Repeatable != nil {
		// A caller may be more careful than its class, never less.
		repeatable = repeatable && *b.Repeatable
	}
	if d := time.Duration(b.DeadlineMS) * time.Millisecond; d > 0 && d < longest {
		longest = d
	}
	return &hookhall.Request{
		Account: a.Name, Pipeline: b.Pipeline, Class: b.Class, Input: []byte(b.Input),
		MaxTokens: b.MaxTokens, Deadline: now.Add(longest), Repeatable: repeatable, Digest: b.Digest(),
	}, nil
}

// Ready serves GET /readyz.
func (h *Handler) Ready(w http.ResponseWriter, _ *http.Request) {
	if !h.service.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// Health serves GET /healthz.
func Health(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// stream writes JSON lines.
type stream struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	begun   sync.Once
}

func (s *stream) begin() {
	s.begun.Do(func() {
		s.w.Header().Set("Content-Type", "application/x-ndjson")
		s.w.WriteHeader(http.StatusOK)
	})
}

func (s *stream) emit(e pipeline.Event) error {
	return s.write(wire.StreamLine{Text: string(e.Text), Restart: e.Restart})
}

func (s *stream) write(l wire.StreamLine) error {
	s.begin()
	if err := s.encoder.Encode(l); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// end writes the last line. A failure before the first line is a plain problem
// document with its own status.
func (s *stream) end(id string, a *hookhall.Answer, failure *hookhall.Error) {
	if failure != nil {
		p := wire.NewProblem(id, failure)
		begun := true
		s.begun.Do(func() { begun = false })
		if !begun {
			wire.WriteProblem(s.w, p)
			return
		}
		_ = s.write(wire.StreamLine{Error: p}) // the caller may be gone
		return
	}
	end := wire.NewRunAnswer(id, a)
	if a.Replayed {
		_ = s.write(wire.StreamLine{Text: end.Output}) // as above
	}
	end.Output = ""
	_ = s.write(wire.StreamLine{End: end}) // as above
}
