// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/hookhall/hookhall"
)

// Column describes one column of a sheet.
type Column struct {
	Name string
	// Accepts describes the accepted values, as the end of the phrase "it must be".
	Accepts string
	check   func(string) bool
}

// columnsBySheet has the columns of all sheets. A test compares it with
// docs/OPERATING.md.
var columnsBySheet = map[hookhall.Sheet][]Column{
	hookhall.SheetAccounts: {
		{"key_sha256", "64 hex digits, the SHA-256 of the account's key", isHash},
		{"weight", "a number from 0.01 to 1000", isNumber(0.01, 1000)},
		{"priority", "a whole number from 0 to 9", isInteger(0, 9)},
		{"deadline_ms", "a whole number from 1 to 600000", isInteger(1, 600000)},
		{"rate", "requests a second, from 0 (no limit) to 1000000", isNumber(0, 1e6)},
		{"concurrency", "requests at once, from 0 (no limit) to 1000000", isInteger(0, 1e6)},
	},
	hookhall.SheetClasses: {
		{"weight", "a number from 0.01 to 1000", isNumber(0.01, 1000)},
		{"priority", "a whole number from 0 to 9", isInteger(0, 9)},
		{"deadline_ms", "a whole number from 1 to 600000", isInteger(1, 600000)},
		{"repeatable", "true or false", isBool},
	},
	hookhall.SheetStages: {
		{"pool", "the name of a pool", isWord},
		{"pure", "true or false", isBool},
		{"max_tokens", "a whole number from 0 to 100000", isInteger(0, 100000)},
	},
	hookhall.SheetTargets: {
		{"leaving", "true or false", isBool},
	},
}

// Sheets returns the names of all sheets, sorted.
func Sheets() []hookhall.Sheet {
	names := make([]hookhall.Sheet, 0, len(columnsBySheet))
	for s := range columnsBySheet {
		names = append(names, s)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Columns returns the columns of a sheet, nil for an unknown one.
func Columns(s hookhall.Sheet) []Column { return columnsBySheet[s] }

// CheckCell returns a *CellError when the sheet or column is unknown, the row's name is
// invalid, or the column doesn't accept value. The empty value, which stands for the
// default, is always accepted.
func CheckCell(s hookhall.Sheet, row, column, value string) error {
	columns, ok := columnsBySheet[s]
	if !ok {
		return &CellError{Sheet: s, Row: row, Message: fmt.Sprintf("unknown sheet; there are %v", Sheets())}
	}
	if err := checkRowName(s, row); err != nil {
		return err
	}
	for _, c := range columns {
		if c.Name != column {
			continue
		}
		if value != "" && !c.check(value) {
			return &CellError{s, row, column, fmt.Sprintf("%q is not accepted; it must be %s", value, c.Accepts)}
		}
		return nil
	}
	return &CellError{s, row, column, "unknown column; there are " + columnNames(columns)}
}

// columnNames returns the names of columns, separated by commas.
func columnNames(columns []Column) string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.Name
	}
	return strings.Join(names, ", ")
}

// maxRowNameBytes limits the length of row names, so that the number of its rows bounds
// the size of a chunk.
const maxRowNameBytes = 128

// checkRowName returns a *CellError when a row of the sheet can't have this name.
func checkRowName(s hookhall.Sheet, row string) error {
	if !isWord(strings.ReplaceAll(row, "/", "-")) || len(row) > maxRowNameBytes {
		return &CellError{Sheet: s, Row: row, Message: "a row's name has 1 to 128 letters, digits and . _ - /"}
	}
	if s == hookhall.SheetStages {
		if _, _, _, ok := parseStageRow(row); !ok {
			return &CellError{Sheet: s, Row: row, Message: "a stage's row is named PIPELINE/ORDER-STAGE, as in recap/1-encode"}
		}
	}
	return nil
}

// parseStageRow parses the name of a row of the stages sheet: recap/1-encode gives
// pipeline recap, order 1 and stage encode.
func parseStageRow(row string) (pipeline string, order int, stage string, ok bool) {
	pipeline, rest, hasSlash := strings.Cut(row, "/")
	number, stage, hasHyphen := strings.Cut(rest, "-")
	order, err := strconv.Atoi(number)
	return pipeline, order, stage, hasSlash && hasHyphen && err == nil && pipeline != "" && stage != ""
}

// isWord reports whether s consists of one or more ASCII letters, digits, dots, underscores
// and hyphens.
func isWord(s string) bool {
	for _, r := range s {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '_', r == '-':
		default:
			return false
		}
	}
	return s != ""
}

// isBool reports whether s is "true" or "false".
func isBool(s string) bool { return s == "true" || s == "false" }

// isHash reports whether s is a SHA-256 in hex.
func isHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}

// isNumber returns a check for numbers from low to high, both included.
func isNumber(low, high float64) func(string) bool {
	return func(s string) bool {
		f, err := strconv.ParseFloat(s, 64)
		return err == nil && f >= low && f <= high
	}
}

// isInteger returns a check for whole numbers from low to high, both included.
func isInteger(low, high int) func(string) bool {
	return func(s string) bool {
		n, err := strconv.Atoi(s)
		return err == nil && n >= low && n <= high
	}
}
