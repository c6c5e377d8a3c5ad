// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

const (
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes = 1 << 20
	// MaxKeyBytes is the largest length of an idempotency key in bytes.
	MaxKeyBytes = 200
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = 10 * time.Minute
	// maxTokens is the largest output limit that a caller may request, in tokens.
	maxTokens = 100_000
)

// Headers of the callers' interface.
const (
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestID carries the request's id. Stage calls carry it as well.
	HeaderRequestID = "Hookhall-Request"
)

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	Pipeline string `json:"pipeline"`
	Input    string `json:"input"`
	Class    string `json:"class,omitempty"`
	// MaxTokens bounds the output in tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// DeadlineMS is the deadline in milliseconds after the request's arrival. The deadline
	// of the class, or of the account, applies if DeadlineMS is 0 or exceeds it.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// Repeatable is false for work that must run at most once. If it is absent,
	// the value of the class applies, or true without a class. It can't override
	// a class whose requests must run at most once.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Stream requests an answer that is sent while it is produced, as StreamLines.
	Stream bool `json:"stream,omitempty"`
}

// RunAnswer is the answer to POST /v1/run, and the End of a streamed answer,
// where Output is empty. Length and Checksum are of the complete output, Length in
// bytes. FirstTokenMS is the time from admission to the first streamed chunk in
// milliseconds. Replayed is set for the stored answer of an earlier request with the
// same idempotency key.
type RunAnswer struct {
	RequestID    string               `json:"request_id"`
	Verdict      string               `json:"verdict"`
	Output       string               `json:"output,omitempty"`
	Length       int                  `json:"length"`
	Checksum     string               `json:"checksum"`
	Replayed     bool                 `json:"replayed,omitempty"`
	FirstTokenMS float64              `json:"first_token_ms,omitempty"`
	Cost         []hookhall.StageCost `json:"cost"`
}

// StreamLine is one line of a streamed answer. Only the last line has End or Error set.
type StreamLine struct {
	Text string `json:"text,omitempty"`
	// Restart tells the caller to discard all text received so far.
	Restart bool       `json:"restart,omitempty"`
	End     *RunAnswer `json:"end,omitempty"`
	Error   *Problem   `json:"error,omitempty"`
}

// Checksum returns the 64-bit xxHash of an output in hexadecimal.
func Checksum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// NewRunAnswer converts a to the form that is sent to callers; id is the request's.
func NewRunAnswer(id string, a *hookhall.Answer) *RunAnswer {
	return &RunAnswer{
		RequestID: id, Verdict: hookhall.Ran.String(), Output: string(a.Output),
		Length: len(a.Output), Checksum: Checksum(a.Output), Replayed: a.Replayed,
		FirstTokenMS: float64(a.TimeToFirstToken) / float64(time.Millisecond), Cost: a.Cost,
	}
}

// ReadRunRequest reads and validates a request body. Errors are of type *hookhall.Error.
func ReadRunRequest(r io.Reader) (*RunRequest, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return nil, badRequest("the body could not be read: %v", err)
	}
	if len(b) > MaxBodyBytes {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTooLarge, "the body is larger than %d bytes", MaxBodyBytes)
	}
	q := &RunRequest{}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(q); err != nil {
		return nil, badRequest("the body is not a run request: %v", err)
	}
	if d.More() {
		return nil, badRequest("the body goes on after the run request")
	}
	return q, q.validate()
}

// validate returns an error if a field is missing or out of its range.
func (q *RunRequest) validate() error {
	switch {
	case q.Pipeline == "":
		return badRequest("pipeline is missing")
	case q.DeadlineMS < 0 || time.Duration(q.DeadlineMS)*time.Millisecond > maxDeadline:
		return badRequest("deadline_ms must be from 0 to %d", maxDeadline.Milliseconds())
	case q.MaxTokens < 0 || q.MaxTokens > maxTokens:
		return badRequest("max_tokens must be from 0 to %d", maxTokens)
	}
	return nil
}

// CheckKey returns an error unless key is at most MaxKeyBytes long and consists of
// printable ASCII without spaces. An empty key is valid.
func CheckKey(key string) error {
	if len(key) > MaxKeyBytes {
		return badRequest("%s is longer than %d bytes", HeaderIdempotencyKey, MaxKeyBytes)
	}
	for _, r := range key {
		if r < '!' || r > '~' {
			return badRequest("%s may hold printable ASCII without spaces only", HeaderIdempotencyKey)
		}
	}
	return nil
}

// badRequest returns the error of an invalid request, which has not run.
func badRequest(format string, args ...any) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, format, args...)
}

// Digest returns a hash of the pipeline, class, token limit and input. It is the same
// for equal requests of different callers, deadlines and times.
func (q *RunRequest) Digest() uint64 {
	d := xxhash.New()
	// Each part follows its length, so that different parts never hash the same bytes.
	for _, s := range []string{q.Pipeline, q.Class, strconv.Itoa(q.MaxTokens), q.Input} {
		_, _ = d.WriteString(strconv.Itoa(len(s))) // never fails
		_, _ = d.WriteString(":" + s)
	}
	return d.Sum64()
}
