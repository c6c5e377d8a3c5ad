// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package table

import (
	"sort"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
)

// Defaults of cells that are empty.
const (
	DefaultWeight   = 1.0
	DefaultPriority = 4
	DefaultDeadline = time.Second
)

// Snapshot is a compiled table. It is read by many threads and never changed.
type Snapshot struct {
	Version   uint64
	Accounts  map[string]*hookhall.Account
	Classes   map[string]*hookhall.Class
	Pipelines map[string]*hookhall.Pipeline
	// Leaving holds the targets whose leaving cell is true.
	Leaving map[string]bool
	byKey   map[string]*hookhall.Account
}

// AccountByKey finds the account whose key has this hex SHA-256.
func (s *Snapshot) AccountByKey(hash string) *hookhall.Account { return s.byKey[hash] }

// Compile turns a document into a Snapshot, or says which cells are wrong.
func Compile(d *Document) (*Snapshot, error) {
	s := &Snapshot{
		Version:   d.Root.Version,
		Accounts:  map[string]*hookhall.Account{},
		Classes:   map[string]*hookhall.Class{},
		Pipelines: map[string]*hookhall.Pipeline{},
		Leaving:   map[string]bool{},
		byKey:     map[string]*hookhall.Account{},
	}
	var list Errors
	stages := map[string][]hookhall.Row{}
	for _, w := range d.Rows() {
		switch w.Sheet {
		case hookhall.SheetAccounts:
			list = append(list, s.addAccount(w)...)
		case hookhall.SheetClasses:
			s.Classes[w.Name] = compileClass(w)
		case hookhall.SheetStages:
			p, _, _, _ := splitStage(w.Name)
			stages[p] = append(stages[p], w)
		case hookhall.SheetTargets:
			s.Leaving[w.Name] = w.Cells["leaving"] == "true"
		}
	}
	for name, rows := range stages {
		s.Pipelines[name] = compilePipeline(name, rows)
	}
	if len(list) > 0 {
		return nil, list
	}
	return s, nil
}

func (s *Snapshot) addAccount(w hookhall.Row) Errors {
	a := &hookhall.Account{
		Name:        w.Name,
		KeyHash:     w.Cells["key_sha256"],
		Weight:      number(w, "weight", DefaultWeight),
		Priority:    int(number(w, "priority", DefaultPriority)),
		Deadline:    millis(w, "deadline_ms", DefaultDeadline),
		Rate:        number(w, "rate", 0),
		Concurrency: int(number(w, "concurrency", 0)),
	}
	s.Accounts[a.Name] = a
	if a.KeyHash == "" {
		return nil
	}
	if other := s.byKey[a.KeyHash]; other != nil {
		return Errors{{w.Sheet, w.Name, "key_sha256", "account " + other.Name + " has the same key"}}
	}
	s.byKey[a.KeyHash] = a
	return nil
}

func compileClass(w hookhall.Row) *hookhall.Class {
	return &hookhall.Class{
		Name:       w.Name,
		Weight:     number(w, "weight", 0),
		Priority:   int(number(w, "priority", -1)),
		Deadline:   millis(w, "deadline_ms", 0),
		Repeatable: w.Cells["repeatable"] != "false",
	}
}

func compilePipeline(name string, rows []hookhall.Row) *hookhall.Pipeline {
	sort.Slice(rows, func(i, j int) bool {
		_, a, _, _ := splitStage(rows[i].Name)
		_, b, _, _ := splitStage(rows[j].Name)
		if a != b {
			return a < b
		}
		return rows[i].Name < rows[j].Name
	})
	p := &hookhall.Pipeline{Name: name}
	for _, w := range rows {
		_, _, stage, _ := splitStage(w.Name)
		p.Stages = append(p.Stages, hookhall.Stage{
			Name:      stage,
			Pool:      w.Cells["pool"],
			Pure:      w.Cells["pure"] == "true",
			MaxTokens: int(number(w, "max_tokens", 0)),
		})
	}
	return p
}

// number reads a cell that CheckCell has accepted.
func number(w hookhall.Row, column string, otherwise float64) float64 {
	f, err := strconv.ParseFloat(w.Cells[column], 64)
	if err != nil {
		return otherwise
	}
	return f
}

func millis(w hookhall.Row, column string, otherwise time.Duration) time.Duration {
	return time.Duration(number(w, column, float64(otherwise.Milliseconds()))) * time.Millisecond
}
