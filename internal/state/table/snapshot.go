// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"sort"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
)

// Values of the accounts sheet that apply where a cell is empty.
const (
	DefaultWeight   = 1.0
	DefaultPriority = 4
	DefaultDeadline = time.Second
)

// Snapshot is a compiled table. It is immutable and may be used concurrently.
type Snapshot struct {
	Version uint64
	// Accounts, Classes and Pipelines are keyed by name.
	Accounts  map[string]*hookhall.Account
	Classes   map[string]*hookhall.Class
	Pipelines map[string]*hookhall.Pipeline
	// Leaving has the value of the leaving cell of each row of the targets sheet, keyed by
	// the row's name.
	Leaving           map[string]bool
	accountsByKeyHash map[string]*hookhall.Account
}

// AccountByKey returns the account whose key has this hex SHA-256, nil when there is none.
func (s *Snapshot) AccountByKey(hash string) *hookhall.Account { return s.accountsByKeyHash[hash] }

// Compile returns the Snapshot of a document, or CellErrors when two accounts have the same
// key.
func Compile(d *Document) (*Snapshot, error) {
	s := &Snapshot{
		Version:           d.Root.Version,
		Accounts:          map[string]*hookhall.Account{},
		Classes:           map[string]*hookhall.Class{},
		Pipelines:         map[string]*hookhall.Pipeline{},
		Leaving:           map[string]bool{},
		accountsByKeyHash: map[string]*hookhall.Account{},
	}
	var invalid CellErrors
	stages := map[string][]hookhall.Row{}
	for _, row := range d.Rows() {
		switch row.Sheet {
		case hookhall.SheetAccounts:
			invalid = append(invalid, s.addAccount(row)...)
		case hookhall.SheetClasses:
			s.Classes[row.Name] = compileClass(row)
		case hookhall.SheetStages:
			p, _, _, _ := parseStageRow(row.Name)
			stages[p] = append(stages[p], row)
		case hookhall.SheetTargets:
			s.Leaving[row.Name] = row.Cells["leaving"] == "true"
		}
	}
	for name, rows := range stages {
		s.Pipelines[name] = compilePipeline(name, rows)
	}
	if len(invalid) > 0 {
		return nil, invalid
	}
	return s, nil
}

// addAccount adds the account of a row; it returns CellErrors when another account has the
// same key.
func (s *Snapshot) addAccount(row hookhall.Row) CellErrors {
	a := &hookhall.Account{
		Name:        row.Name,
		KeyHash:     row.Cells["key_sha256"],
		Weight:      cellNumber(row, "weight", DefaultWeight),
		Priority:    int(cellNumber(row, "priority", DefaultPriority)),
		Deadline:    cellDuration(row, "deadline_ms", DefaultDeadline),
		Rate:        cellNumber(row, "rate", 0),
		Concurrency: int(cellNumber(row, "concurrency", 0)),
	}
	s.Accounts[a.Name] = a
	if a.KeyHash == "" {
		return nil
	}
	if other := s.accountsByKeyHash[a.KeyHash]; other != nil {
		return CellErrors{{row.Sheet, row.Name, "key_sha256", "account " + other.Name + " has the same key"}}
	}
	s.accountsByKeyHash[a.KeyHash] = a
	return nil
}

// compileClass returns the class of a row. A weight of 0, a priority of -1 and a deadline
// of 0 leave the account's value in force.
func compileClass(row hookhall.Row) *hookhall.Class {
	return &hookhall.Class{
		Name:       row.Name,
		Weight:     cellNumber(row, "weight", 0),
		Priority:   int(cellNumber(row, "priority", -1)),
		Deadline:   cellDuration(row, "deadline_ms", 0),
		Repeatable: row.Cells["repeatable"] != "false",
	}
}

// compilePipeline returns the pipeline of rows of the stages sheet, ordered by their order
// number and then by name.
func compilePipeline(name string, rows []hookhall.Row) *hookhall.Pipeline {
	sort.Slice(rows, func(i, j int) bool {
		_, a, _, _ := parseStageRow(rows[i].Name)
		_, b, _, _ := parseStageRow(rows[j].Name)
		if a != b {
			return a < b
		}
		return rows[i].Name < rows[j].Name
	})
	p := &hookhall.Pipeline{Name: name}
	for _, row := range rows {
		_, _, stage, _ := parseStageRow(row.Name)
		p.Stages = append(p.Stages, hookhall.Stage{
			Name:      stage,
			Pool:      row.Cells["pool"],
			Pure:      row.Cells["pure"] == "true",
			MaxTokens: int(cellNumber(row, "max_tokens", 0)),
		})
	}
	return p
}

// cellNumber returns the number in a cell that CheckCell has accepted, or defaultValue
// when the cell is empty.
func cellNumber(row hookhall.Row, column string, defaultValue float64) float64 {
	f, err := strconv.ParseFloat(row.Cells[column], 64)
	if err != nil {
		return defaultValue
	}
	return f
}

// cellDuration returns a cell with a whole number of milliseconds as a duration, or
// defaultValue when the cell is empty.
func cellDuration(row hookhall.Row, column string, defaultValue time.Duration) time.Duration {
	return time.Duration(cellNumber(row, column, float64(defaultValue.Milliseconds()))) * time.Millisecond
}
