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

// Row is one row of the table as operators see it: cells by column name.
type Row struct {
	Sheet Sheet             `json:"sheet"`
	Name  string            `json:"name"`
	Cells map[string]string `json:"cells"`
}

// Edit changes one cell. An edit is applied only if the cell still holds Base,
// unless Force is set; an empty Value with Delete removes the row.
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
	// Priority is 0 (lowest) to 9.
	Priority int
	// Deadline applies when the caller names none; it is also the longest.
	Deadline time.Duration
	// Rate is requests a second over the whole fleet, 0 for no limit.
	Rate float64
	// Concurrency is requests at once over the whole fleet, 0 for no limit.
	Concurrency int
}

// Class is a compiled row of the classes sheet; zero cells leave the
// account's value in force.
type Class struct {
	Name       string
	Weight     float64
	Priority   int
	Deadline   time.Duration
	Repeatable bool
}

// Stage is one step of a pipeline, a compiled row of the stages sheet. The
// row is named PIPELINE/ORDER-STAGE, as in recap/1-encode.
type Stage struct {
	Name string
	Pool string
	// Pure stages have no effect outside and may always be retried.
	Pure bool
	// MaxTokens bounds the stage's output; 0 takes the request's.
	MaxTokens int
}

// Pipeline is the ordered stages of one pipeline.
type Pipeline struct {
	Name   string
	Stages []Stage
}
