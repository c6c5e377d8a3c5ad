// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import "time"

// Request is one caller's request, as admitted by an entry.
type Request struct {
	// ID is unique to this admission; a retry by the caller gets a new one.
	ID string
	// Account is the authenticated client account.
	Account string
	// Key is the caller's idempotency key, "" when the caller gave none.
	Key string
	// Pipeline names the pipeline to run.
	Pipeline string
	// Class names a row of the classes sheet, "" for none.
	Class string
	// Input is the first stage's input.
	Input []byte
	// MaxTokens limits the output of the generating stages; 0 for no limit but theirs.
	MaxTokens int
	// Deadline is the time after which the answer is worthless, by this process's clock.
	Deadline time.Time
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// Digest is the hash of pipeline, class, MaxTokens and input. A request with the
	// same key and another digest is refused.
	Digest uint64
}

// StageCost is what one stage spent on one request, retries included.
type StageCost struct {
	Stage  string  `json:"stage"`
	Calls  int     `json:"calls"`
	Tokens int     `json:"tokens"`
	WaitMS float64 `json:"wait_ms"` // in the queues of hookhall and of the targets
	BusyMS float64 `json:"busy_ms"` // running at targets
}

// Answer is the complete answer to one request.
type Answer struct {
	// Output is the last stage's output.
	Output []byte `json:"output"`
	// Cost has one row per stage, in the pipeline's order.
	Cost []StageCost `json:"cost"`
	// Replayed is set when this is the stored answer of an earlier run.
	Replayed bool `json:"replayed,omitempty"`
	// TimeToFirstToken is the time from admission to the first streamed chunk.
	TimeToFirstToken time.Duration `json:"first_token_ns,omitempty"`
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
	// MaxTokens limits the output.
	MaxTokens int
	// Priority is forwarded to the target; higher values run first.
	Priority int
	// Deadline is sent as the number of milliseconds remaining.
	Deadline time.Time
	// Key is an idempotency key. Targets that check it may discard duplicates.
	Key string
	// Epoch and Token fence the call at targets that check them.
	Epoch uint64
	Token uint64
	// AtMostOnce forbids a second attempt unless the verdict on the first was NotRun.
	AtMostOnce bool
}

// StageResult is what a target returned for one call.
type StageResult struct {
	Output []byte
	Tokens int
	// QueueTime is the time that the call was queued at the target, as reported by the target.
	QueueTime time.Duration
	// BusyTime is the time that the call ran, as reported by the target.
	BusyTime time.Duration
	// Load is the load report that came with the answer.
	Load LoadReport
}
