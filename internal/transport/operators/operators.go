// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package operators is the HTTP interface for operators: the admin serves the
// table, each entry its state.
//
// # Model
//
// Every request must present the operators' token. An edit request carries an ID
// chosen by its sender; an edit that is sent again with the same ID is applied
// only once.
//
// # Invariants
//
//   - The key of a client account gives no access.
//   - An edit is answered with 200 only if it is accepted (package tables); 409
//     lists conflicts, 422 invalid cells. Any other failure is 503, and its verdict
//     states whether the edit may be in force.
package operators

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/state/table"
	"github.com/pkg/errors"
)

// Paths of the operators' HTTP interface.
const (
	PathTable   = "/v1/table"
	PathEdits   = "/v1/table/edits"
	PathStatus  = "/v1/status"
	PathState   = "/debug/state"
	PathExplain = "/debug/explain"
	PathMetrics = "/metrics"
)

// maxEditBytes bounds the body of one edit request: an import of 8,200 accounts
// with all cells has about 6 MB.
const maxEditBytes = 32 << 20

// EditRequest is the body of POST /v1/table/edits.
type EditRequest struct {
	// ID is chosen by the sender and identifies retries of the same request.
	ID    string          `json:"id"`
	Edits []hookhall.Edit `json:"edits"`
}

// EditFailure is the body of the answer to a request that failed.
type EditFailure struct {
	Detail string `json:"detail"`
	// Verdict is not-run if nothing was changed, else may-have-run.
	Verdict   string           `json:"verdict"`
	Conflicts table.Conflicts  `json:"conflicts,omitempty"`
	Cells     table.CellErrors `json:"cells,omitempty"`
}

// TableAnswer is the answer to GET /v1/table. Edits are the latest edit requests that were
// applied, oldest first.
type TableAnswer struct {
	Version uint64              `json:"version"`
	Rows    []hookhall.Row      `json:"rows"`
	Edits   []table.AppliedEdit `json:"edits"`
}

// RequireToken returns a handler that passes requests with the operators' token to
// next and refuses others.
func RequireToken(token string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			wire.WriteProblem(w, wire.NewProblem("", hookhall.Errorf(hookhall.NotRun, hookhall.CauseUnauthorized,
				"the operators' token is missing or wrong")))
			return
		}
		next(w, r)
	}
}

// JSON returns a handler that serves the value f returns as indented JSON.
func JSON(f func(r *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(f(r)) // fails if the client has disconnected
	}
}

// TableHandler serves the requests that read and edit the table.
type TableHandler struct {
	editor  *tables.Editor
	timeout time.Duration
}

// NewTableHandler returns a handler that reads and edits the table through editor. timeout
// bounds each read and each edit.
func NewTableHandler(editor *tables.Editor, timeout time.Duration) *TableHandler {
	return &TableHandler{editor, timeout}
}

// Get serves GET /v1/table?sheet=SHEET; without a sheet, it returns the rows of all.
func (t *TableHandler) Get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), t.timeout)
	defer cancel()
	document, _, err := t.editor.Read(ctx)
	if err != nil {
		writeFailure(w, err)
		return
	}
	answer := TableAnswer{Version: document.Root.Version, Rows: []hookhall.Row{}, Edits: document.Root.Edits}
	sheet := hookhall.Sheet(r.URL.Query().Get("sheet"))
	for _, row := range document.Rows() {
		if sheet == "" || row.Sheet == sheet {
			answer.Rows = append(answer.Rows, row)
		}
	}
	wire.WriteJSON(w, http.StatusOK, answer)
}

// Edit serves POST /v1/table/edits.
func (t *TableHandler) Edit(w http.ResponseWriter, r *http.Request) {
	var request EditRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		wire.WriteJSON(w, http.StatusBadRequest, EditFailure{Detail: "not an edit request: " + err.Error(), Verdict: hookhall.NotRun.String()})
		return
	}
	if request.ID == "" || len(request.Edits) == 0 {
		wire.WriteJSON(w, http.StatusBadRequest, EditFailure{Detail: "id and edits are needed", Verdict: hookhall.NotRun.String()})
		return
	}
	// An edit continues after its client has disconnected, so that its outcome does
	// not depend on a connection.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), t.timeout)
	defer cancel()
	result, err := t.editor.Apply(ctx, request.ID, request.Edits)
	if err != nil {
		writeFailure(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, result)
}

// writeFailure answers a read or an edit that failed. The error determines the status
// and the verdict.
func writeFailure(w http.ResponseWriter, err error) {
	failure := EditFailure{Detail: err.Error(), Verdict: hookhall.NotRun.String()}
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &failure.Conflicts):
		status = http.StatusConflict
	case errors.As(err, &failure.Cells):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, tables.ErrOutcomeUnknown):
		failure.Verdict = hookhall.MayHaveRun.String()
	}
	wire.WriteJSON(w, status, failure)
}
