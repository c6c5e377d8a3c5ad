// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict says whether a request, or one call of a stage, may have run.
type Verdict int

// The verdicts. The zero value is the careful one.
const (
	// MayHaveRun: the call was sent, and nothing proves that it did not run.
	MayHaveRun Verdict = iota
	// NotRun: there is evidence that nothing ran.
	NotRun
	// Ran: the call ran to its end.
	Ran
)

var verdictNames = [...]string{"may-have-run", "not-run", "ran"}

// String returns the verdict as it stands in problem documents.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "may-have-run"
	}
	return verdictNames[v]
}

// ParseVerdict is the inverse of String; unknown words are MayHaveRun.
func ParseVerdict(s string) Verdict {
	for i, n := range verdictNames {
		if n == s {
			return Verdict(i)
		}
	}
	return MayHaveRun
}

// Cause is the short, documented reason of an Error.
type Cause string

// The causes that callers can meet. docs/API.md tells what to do on each.
const (
	CauseBadRequest   Cause = "bad-request"
	CauseUnauthorized Cause = "unauthorized"
	CauseTooLarge     Cause = "too-large"
	CauseNoPipeline   Cause = "unknown-pipeline"
	CauseNoRoute      Cause = "unknown-route"
	CauseLimit        Cause = "limit"
	CauseDeadline     Cause = "deadline"
	CauseOverload     Cause = "overload"
	CauseNoTarget     Cause = "no-target"
	CauseStopping     Cause = "stopping"
	CauseNotReady     Cause = "not-ready"
	CauseKeyReused    Cause = "key-reused"
	CauseInProgress   Cause = "in-progress"
	CauseUnknown      Cause = "outcome-unknown"
	CauseNoClaim      Cause = "claim-unavailable"
	CauseTarget       Cause = "target-failed"
	CauseRefused      Cause = "target-refused"
	CauseMisdirected  Cause = "misdirected-answer"
	CauseTruncated    Cause = "truncated-answer"
	CauseConnection   Cause = "connection"
	CauseStage        Cause = "stage-failed"
	CauseBudget       Cause = "retry-budget"
	CauseCanceled     Cause = "canceled"
	CauseCrashes      Cause = "crashes-targets"
)

// ErrStopping is the cause of a context that ends because this process is about to: its
// requests get their final answers now.
var ErrStopping = errors.New("this instance stops")

// Error is the one error type of the request path.
type Error struct {
	// Verdict is set by whoever holds the evidence, never guessed upward.
	Verdict Verdict
	// Cause is a documented word.
	Cause Cause
	// Detail is one sentence for a person.
	Detail string
	// Stage names the pipeline's stage that failed; empty before the first.
	Stage string
	// RetryAfter is when to come back; zero means that a retry can't help.
	RetryAfter time.Duration
	// Cost is what was spent all the same, by stage.
	Cost []StageCost
	// Leaving is set when a target refused because it is leaving.
	Leaving bool
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", e.Cause, e.Detail, e.Verdict)
	if e.Stage != "" {
		return "stage " + e.Stage + ": " + s
	}
	return s
}

// Errorf makes an Error.
func Errorf(v Verdict, c Cause, format string, args ...any) *Error {
	return &Error{Verdict: v, Cause: c, Detail: fmt.Sprintf(format, args...)}
}

// After returns e with the time to come back set.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// AsError finds the Error in err; any other error is MayHaveRun.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Errorf(MayHaveRun, CauseTarget, "%v", err)
}
