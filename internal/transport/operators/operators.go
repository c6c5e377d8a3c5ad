// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package operators is the HTTP interface for operators: of the admin, on the
// table, and of each entry, on its state.
//
// # Model
//
// Every request shows the operators' token. An edit request carries an id
// chosen by its sender; sent again with the same id it is applied once.
//
// # Invariants
//
//   - Nothing here is reachable with a client account's key.
//   - An edit is answered with 200 only when it is accepted (package tables);
//     409 lists conflicts, 422 wrong cells, 503 an edit whose outcome is open.
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

// Paths of the operators' interface.
const (
	PathTable   = "/v1/table"
	PathEdits   = "/v1/table/edits"
	PathStatus  = "/v1/status"
	PathState   = "/debug/state"
	PathExplain = "/debug/explain"
	PathMetrics = "/metrics"
)

// maxEditBytes bounds the body of one edit request: an import of 8,200 accounts
// with all cells is some 6 MB.
const maxEditBytes = 32 << 20

// EditRequest is the body of POST /v1/table/edits.
type EditRequest struct {
	ID    string          `json:"id"`
	Edits []hookhall.Edit `json:"edits"`
}

// EditFailure is the body of a refused edit request.
type EditFailure struct {
	Detail string `json:"detail"`
	// Verdict is not-run when nothing was changed.
	Verdict   string          `json:"verdict"`
	Conflicts table.Conflicts `json:"conflicts,omitempty"`
	Cells     table.Errors    `json:"cells,omitempty"`
}

// TableAnswer is the body of GET /v1/table.
type TableAnswer struct {
	Version uint64           `json:"version"`
	Rows    []hookhall.Row   `json:"rows"`
	Edits   []table.EditMark `json:"edits"`
}

// Guard lets requests with the operators' token through.
func Guard(token string, next http.HandlerFunc) http.HandlerFunc {
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

// JSON serves what f returns.
func JSON(f func(r *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(f(r)) // an operator who went away needs no answer
	}
}

// Tables serves the table.
type Tables struct {
	editor  *tables.Editor
	timeout time.Duration
}

// NewTables makes a Tables; an edit is tried for accept.
func NewTables(e *tables.Editor, accept time.Duration) *Tables { return &Tables{e, accept} }

// Get serves GET /v1/table?sheet=SHEET.
func (t *Tables) Get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), t.timeout)
	defer cancel()
	doc, _, err := t.editor.Read(ctx)
	if err != nil {
		writeFailure(w, err)
		return
	}
	a := TableAnswer{Version: doc.Root.Version, Rows: []hookhall.Row{}, Edits: doc.Root.Edits}
	sheet := hookhall.Sheet(r.URL.Query().Get("sheet"))
	for _, row := range doc.Rows() {
		if sheet == "" || row.Sheet == sheet {
			a.Rows = append(a.Rows, row)
		}
	}
	wire.WriteJSON(w, http.StatusOK, a)
}

// Edit serves POST /v1/table/edits.
func (t *Tables) Edit(w http.ResponseWriter, r *http.Request) {
	var q EditRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		wire.WriteJSON(w, http.StatusBadRequest, EditFailure{Detail: "not an edit request: " + err.Error(), Verdict: hookhall.NotRun.String()})
		return
	}
	if q.ID == "" || len(q.Edits) == 0 {
		wire.WriteJSON(w, http.StatusBadRequest, EditFailure{Detail: "id and edits are needed", Verdict: hookhall.NotRun.String()})
		return
	}
	// An edit goes on when its operator goes away: its outcome should not
	// depend on a connection.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), t.timeout)
	defer cancel()
	out, err := t.editor.Apply(ctx, q.ID, q.Edits)
	if err != nil {
		writeFailure(w, err)
		return
	}
	wire.WriteJSON(w, http.StatusOK, out)
}

// fail answers with what is known of an edit that was not accepted.
func writeFailure(w http.ResponseWriter, err error) {
	f := EditFailure{Detail: err.Error(), Verdict: hookhall.NotRun.String()}
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &f.Conflicts):
		status = http.StatusConflict
	case errors.As(err, &f.Cells):
		status = http.StatusUnprocessableEntity
	case errors.Is(err, tables.ErrUnsettled):
		f.Verdict = hookhall.MayHaveRun.String()
	}
	wire.WriteJSON(w, status, f)
}
