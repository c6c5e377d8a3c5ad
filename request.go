// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Request is one caller's request, as admitted by an entry.
type Request struct {
	// ID is unique to this admission; retries by the caller get new ones.
	ID string
	// Account is the authenticated client account.
	Account string
	// Key is the caller's idempotency key, "" when the caller gave none.
	Key string
	// Pipeline names the pipeline to run.
	Pipeline string
	// Class is the class of work, "" for none.
	Class string
	// Input is the first stage's input.
	Input []byte
	// MaxTokens bounds what the generating stages may emit.
	MaxTokens int
	// Deadline is when the answer loses its worth, by this process's clock.
	Deadline time.Time
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// Digest is the hash of pipeline, input and size: the same key with
	// another digest is refused.
	Digest uint64
}

// StageCost is what one stage spent on one request, retries included.
type StageCost struct {
	Stage  string  `json:"stage"`
	Calls  int     `json:"calls"`
	Tokens int     `json:"tokens"`
	WaitMS float64 `json:"wait_ms"` // in hookhall's and the target's queues
	BusyMS float64 `json:"busy_ms"` // running at targets
}

// Answer is the whole answer to one request.
type Answer struct {
	// Output is the last stage's output.
	Output []byte `json:"output"`
	// Cost has one row per stage, in the pipeline's order.
	Cost []StageCost `json:"cost"`
	// Replayed is set when the answer is the stored one of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
	// FirstToken is the time from admission to the first streamed chunk.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
}

// StageCall is one call of one stage to one target.
type StageCall struct {
	// Request, Stage, Attempt and Digest identify the call; the target
	// echoes all four. Digest is the hash of Input.
	Request string
	Stage   string
	Attempt int
	Digest  uint64
	// Input is the stage's input.
	Input []byte
	// MaxTokens bounds generation.
	MaxTokens int
	// Priority is passed on to engines; higher goes first.
	Priority int
	// Deadline is passed on as remaining milliseconds.
	Deadline time.Time
	// Key is the key under which targets that check may drop doubles.
	Key string
	// Epoch and Token fence the call at targets that check them.
	Epoch uint64
	Token uint64
	// Once forbids a second attempt unless the first was NotRun.
	Once bool
}

// StageResult is what a target returned for one call.
type StageResult struct {
	Output []byte
	Tokens int
	// Queue and Busy are the target's own account of its time.
	Queue time.Duration
	Busy  time.Duration
	// Load is the report that came with the answer.
	Load LoadReport
}
