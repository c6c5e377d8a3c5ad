// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Sheet names one kind of row of the operators' table.
type Sheet string

// The sheets of the table.
const (
	SheetAccounts Sheet = "accounts"
	SheetClasses  Sheet = "classes"
	SheetStages   Sheet = "stages"
	SheetTargets  Sheet = "targets"
)

// Row is one row of the table as shown to operators.
type Row struct {
	Sheet Sheet             `json:"sheet"`
	Name  string            `json:"name"`
	Cells map[string]string `json:"cells"` // column name to value
}

// Edit changes one cell. It is applied only if the cell still holds Base, unless
// Force is set. An Edit with Delete has an empty Value and removes the whole row,
// without regard to Base.
type Edit struct {
	Sheet  Sheet  `json:"sheet"`
	Row    string `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	Base   string `json:"base"`
	Force  bool   `json:"force,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Account is a compiled row of the accounts sheet.
type Account struct {
	Name string
	// KeyHash is the hex SHA-256 of the account's key.
	KeyHash string
	// Weight is the share among accounts of the same priority.
	Weight float64
	// Priority is from 0 (lowest) to 9.
	Priority int
	// Deadline is the time from a request's arrival to its deadline, when the caller
	// requests no shorter one.
	Deadline time.Duration
	// Rate is the limit in requests per second for the whole fleet, 0 for no limit.
	Rate float64
	// Concurrency is the maximum number of simultaneous requests in the whole fleet,
	// 0 for no limit.
	Concurrency int
}

// Class is a compiled row of the classes sheet. Empty cells leave the account's
// values in effect.
type Class struct {
	Name       string
	Weight     float64       // factor of the account's weight, 0 for an empty cell
	Priority   int           // from 0 (lowest) to 9, -1 for an empty cell
	Deadline   time.Duration // as Account.Deadline, 0 for an empty cell
	Repeatable bool          // whether requests may run more than once
}

// Stage is one step of a pipeline, a compiled row of the stages sheet. The
// row is named PIPELINE/ORDER-STAGE, as in recap/1-encode.
type Stage struct {
	Name string
	Pool string
	// Pure is set for stages without external effects, which may always be retried.
	Pure bool
	// MaxTokens limits the stage's output; 0 applies the request's limit.
	MaxTokens int
}

// Pipeline is a named sequence of stages.
type Pipeline struct {
	Name   string
	Stages []Stage
}
