// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"fmt"
	"strings"

	"github.com/hookhall/hookhall"
)

// CellError says what is wrong with one cell.
type CellError struct {
	Sheet   hookhall.Sheet `json:"sheet"`
	Row     string         `json:"row"`
	Column  string         `json:"column,omitempty"`
	Message string         `json:"message"`
}

// Error gives the position first, as in accounts/acme:rate: ...
func (e *CellError) Error() string {
	pos := fmt.Sprintf("%s/%s", e.Sheet, e.Row)
	if e.Column != "" {
		pos += ":" + e.Column
	}
	return pos + ": " + e.Message
}

// Conflict is an edit whose base is no longer what the cell holds.
type Conflict struct {
	Edit    hookhall.Edit `json:"edit"`
	Current string        `json:"current"`
}

// Conflicts is the list of an edit request's conflicts.
type Conflicts []Conflict

// Error has one line a conflict.
func (c Conflicts) Error() string {
	lines := make([]string, len(c))
	for i, x := range c {
		lines[i] = fmt.Sprintf("%s/%s:%s: changed meanwhile: it holds %q, the edit was made on %q",
			x.Edit.Sheet, x.Edit.Row, x.Edit.Column, x.Current, x.Edit.Base)
	}
	return strings.Join(lines, "\n")
}

// Errors is a list of cell errors.
type Errors []*CellError

// Error has one line a cell.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
