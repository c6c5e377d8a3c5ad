// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
)

// Problem is the problem document (RFC 9457) of a failure.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Verdict states whether the request ran: not-run, may-have-run or ran.
	Verdict      string `json:"verdict"`
	Cause        string `json:"cause"`
	Stage        string `json:"stage,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// Cost is the work spent on the failed request, by stage.
	Cost []hookhall.StageCost `json:"cost,omitempty"`
}

// ProblemMediaType is the media type of a Problem.
const ProblemMediaType = "application/problem+json"

// statusByCause maps causes to HTTP statuses; other causes are sent as 502.
var statusByCause = map[hookhall.Cause]int{
	hookhall.CauseBadRequest:   http.StatusBadRequest,
	hookhall.CauseUnauthorized: http.StatusUnauthorized,
	hookhall.CauseTooLarge:     http.StatusRequestEntityTooLarge,
	hookhall.CauseNoPipeline:   http.StatusNotFound,
	hookhall.CauseNoRoute:      http.StatusNotFound,
	hookhall.CauseLimit:        http.StatusTooManyRequests,
	hookhall.CauseDeadline:     http.StatusGatewayTimeout,
	hookhall.CauseOverload:     http.StatusServiceUnavailable,
	hookhall.CauseShed:         http.StatusServiceUnavailable,
	hookhall.CauseNoTarget:     http.StatusServiceUnavailable,
	hookhall.CauseStopping:     http.StatusServiceUnavailable,
	hookhall.CauseNotReady:     http.StatusServiceUnavailable,
	hookhall.CauseNoClaim:      http.StatusServiceUnavailable,
	hookhall.CauseKeyReused:    http.StatusUnprocessableEntity,
	hookhall.CauseInProgress:   http.StatusConflict,
	hookhall.CauseUnknown:      http.StatusConflict,
}

// NewProblem returns the document for e; id is the request's.
func NewProblem(id string, e *hookhall.Error) *Problem {
	status, ok := statusByCause[e.Cause]
	if !ok {
		status = http.StatusBadGateway
	}
	return &Problem{
		Type: "about:blank", Title: string(e.Cause), Status: status, Detail: e.Detail,
		Verdict: e.Verdict.String(), Cause: string(e.Cause), Stage: e.Stage,
		RequestID: id, RetryAfterMS: e.RetryAfter.Milliseconds(), Cost: e.Cost,
	}
}

// Err converts the document back to an error. It is the inverse of NewProblem, except
// that the cost and the request's id are dropped.
func (p *Problem) Err() *hookhall.Error {
	return &hookhall.Error{
		Verdict: hookhall.ParseVerdict(p.Verdict), Cause: hookhall.Cause(p.Cause), Detail: p.Detail,
		Stage: p.Stage, RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
	}
}

// WriteProblem sends p with its status. It sets Retry-After to RetryAfterMS, rounded
// up to whole seconds, if that is positive.
func WriteProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", ProblemMediaType)
	if p.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(p.RetryAfterMS)/1000))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p) // fails only if the caller has disconnected
}

// WriteJSON sends v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the caller has disconnected
}
