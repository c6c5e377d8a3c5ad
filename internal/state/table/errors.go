// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"fmt"
	"strings"

	"github.com/hookhall/hookhall"
)

// CellError is the error of one invalid cell, or of its row or sheet when Column is empty.
type CellError struct {
	Sheet   hookhall.Sheet `json:"sheet"`
	Row     string         `json:"row"`
	Column  string         `json:"column,omitempty"`
	Message string         `json:"message"`
}

// Error returns the position and the message, as in accounts/acme:rate: ...
func (e *CellError) Error() string {
	position := fmt.Sprintf("%s/%s", e.Sheet, e.Row)
	if e.Column != "" {
		position += ":" + e.Column
	}
	return position + ": " + e.Message
}

// Conflict is an edit whose Base differs from the cell's value, Current.
type Conflict struct {
	Edit    hookhall.Edit `json:"edit"`
	Current string        `json:"current"`
}

// Conflicts is the error of an edit request that has at least one conflict.
type Conflicts []Conflict

// Error returns one line for each conflict.
func (c Conflicts) Error() string {
	lines := make([]string, len(c))
	for i, x := range c {
		lines[i] = fmt.Sprintf("%s/%s:%s: changed meanwhile: it holds %q, the edit was made on %q",
			x.Edit.Sheet, x.Edit.Row, x.Edit.Column, x.Current, x.Edit.Base)
	}
	return strings.Join(lines, "\n")
}

// CellErrors is the error of a table or an edit request with at least one invalid cell.
type CellErrors []*CellError

// Error returns one line for each cell.
func (e CellErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}
