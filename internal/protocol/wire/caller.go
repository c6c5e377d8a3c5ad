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
	// MaxBody is the largest request body in bytes.
	MaxBody = 1 << 20
	// MaxKey is the longest idempotency key.
	MaxKey = 200
	// maxDeadline bounds what a caller may ask for.
	maxDeadline = 10 * time.Minute
	// maxTokens bounds what a caller may ask for.
	maxTokens = 100_000
)

// Headers of the callers' interface.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderRequestID = "Hookhall-Request"
)

// RunRequest is the body of POST /v1/run.
type RunRequest struct {
	Pipeline  string `json:"pipeline"`
	Input     string `json:"input"`
	Class     string `json:"class,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`
	// DeadlineMS is milliseconds from the request's arrival; 0 takes the
	// class's or the account's.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// Repeatable is false for work that must run at most once; absent takes
	// the class's, or true.
	Repeatable *bool `json:"repeatable,omitempty"`
	// Stream asks for the answer piece by piece.
	Stream bool `json:"stream,omitempty"`
}

// RunAnswer is the answer to POST /v1/run, and the End of a streamed one, which
// leaves out Output.
type RunAnswer struct {
	RequestID string               `json:"request_id"`
	Verdict   string               `json:"verdict"`
	Output    string               `json:"output,omitempty"`
	Length    int                  `json:"length"`
	Checksum  string               `json:"checksum"`
	Replayed  bool                 `json:"replayed,omitempty"`
	FirstMS   float64              `json:"first_token_ms,omitempty"`
	Cost      []hookhall.StageCost `json:"cost"`
}

// StreamLine is one line of a streamed answer.
type StreamLine struct {
	Text string `json:"text,omitempty"`
	// Restart: drop all text received so far.
	Restart bool       `json:"restart,omitempty"`
	End     *RunAnswer `json:"end,omitempty"`
	Error   *Problem   `json:"error,omitempty"`
}

// Checksum is the hex xxhash of an output.
func Checksum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

// NewRunAnswer makes the caller's form of an answer.
func NewRunAnswer(id string, a *hookhall.Answer) *RunAnswer {
	return &RunAnswer{
		RequestID: id, Verdict: hookhall.Ran.String(), Output: string(a.Output),
		Length: len(a.Output), Checksum: Checksum(a.Output), Replayed: a.Replayed,
		FirstMS: float64(a.FirstToken) / float64(time.Millisecond), Cost: a.Cost,
	}
}

// ReadRunRequest reads and checks a body. Errors are *hookhall.Error.
func ReadRunRequest(r io.Reader) (*RunRequest, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, bad("the body could not be read: %v", err)
	}
	if len(b) > MaxBody {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTooLarge, "the body is larger than %d bytes", MaxBody)
	}
	q := &RunRequest{}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(q); err != nil {
		return nil, bad("the body is not a run request: %v", err)
	}
	if d.More() {
		return nil, bad("the body goes on after the run request")
	}
	return q, q.check()
}

func (q *RunRequest) check() error {
	switch {
	case q.Pipeline == "":
		return bad("pipeline is missing")
	case q.DeadlineMS < 0 || time.Duration(q.DeadlineMS)*time.Millisecond > maxDeadline:
		return bad("deadline_ms must be from 0 to %d", maxDeadline.Milliseconds())
	case q.MaxTokens < 0 || q.MaxTokens > maxTokens:
		return bad("max_tokens must be from 0 to %d", maxTokens)
	}
	return nil
}

// CheckKey checks an idempotency key.
func CheckKey(key string) error {
	if len(key) > MaxKey {
		return bad("%s is longer than %d bytes", HeaderKey, MaxKey)
	}
	for _, r := range key {
		if r < '!' || r > '~' {
			return bad("%s may hold printable ASCII without spaces only", HeaderKey)
		}
	}
	return nil
}

func bad(format string, args ...any) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseBadRequest, format, args...)
}

// Digest identifies what a request asks for, whoever asks and when.
func (q *RunRequest) Digest() uint64 {
	d := xxhash.New()
	for _, s := range []string{q.Pipeline, q.Class, strconv.Itoa(q.MaxTokens), q.Input} {
		_, _ = d.WriteString(strconv.Itoa(len(s))) // never fails
		_, _ = d.WriteString(":" + s)
	}
	return d.Sum64()
}
