// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package backend

import (
	"io"

	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/pkg/errors"
)

const (
	// maxAnswerBytes bounds the answer of a target, JSON framing included.
	maxAnswerBytes = 16 << 20
	// unreservedBytes of each answer are read without a reservation, so that small answers are read
	// while large ones use up the budget.
	unreservedBytes = 32 << 10
	// memoryPerByte is how many bytes of memory a byte of an answer may need: the decoder's buffer,
	// which grows by doubling, the text of a line, and the output.
	memoryPerByte = 5
	// reservationBytes is the size of an answer's reservation in bytes of the answer.
	reservationBytes = 32 << 10
)

// errAnswerTooLong is the error of an answer of more than maxAnswerBytes.
var errAnswerTooLong = errors.Errorf("the answer has more than %d bytes", maxAnswerBytes)

// answerReader reads an answer within the budget of all answers in progress. release must be called at the
// end of the call.
type answerReader struct {
	body     io.Reader
	budget   *buffer.Budget
	read     int // bytes so far
	allowed  int // bytes of the answer that may be read with the current reservation
	reserved int // bytes of the budget
}

// newAnswerReader returns an answerReader of a body.
func newAnswerReader(body io.Reader, budget *buffer.Budget) *answerReader {
	return &answerReader{body: body, budget: budget, allowed: unreservedBytes}
}

// Read implements io.Reader. It fails with buffer.ErrNoRoom if the budget is spent.
func (r *answerReader) Read(p []byte) (int, error) {
	if r.read >= maxAnswerBytes {
		return 0, errAnswerTooLong
	}
	if r.read == r.allowed {
		if !r.budget.Reserve(reservationBytes * memoryPerByte) {
			return 0, buffer.ErrNoRoom
		}
		r.reserved += reservationBytes * memoryPerByte
		r.allowed += reservationBytes
	}
	n, err := r.body.Read(p[:min(len(p), r.allowed-r.read)])
	r.read += n
	return n, err
}

// release returns what was reserved.
func (r *answerReader) release() {
	if r.reserved > 0 {
		r.budget.Return(r.reserved)
		r.reserved = 0
	}
}
