// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Verdict states whether a request, or one call of a stage, may have run.
type Verdict int

// The verdicts. The zero value is the one that is safe without evidence.
const (
	// MayHaveRun: the call was sent, and nothing proves that it did not run.
	MayHaveRun Verdict = iota
	// NotRun: there is evidence that nothing ran.
	NotRun
	// Ran: the call ran to its end.
	Ran
)

var verdictNames = [...]string{"may-have-run", "not-run", "ran"}

// String returns the verdict as it is written in problem documents.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "may-have-run"
	}
	return verdictNames[v]
}

// ParseVerdict is the inverse of String. It returns MayHaveRun for unknown names.
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

// The causes that callers can receive. docs/API.md describes how to handle each.
const (
	CauseBadRequest   Cause = "bad-request"  // the request is malformed
	CauseUnauthorized Cause = "unauthorized" // the key or token is missing or unknown
	CauseTooLarge     Cause = "too-large"    // the body exceeds its limit
	CauseNoPipeline   Cause = "unknown-pipeline"
	CauseNoRoute      Cause = "unknown-route"
	CauseLimit        Cause = "limit"              // the account is at its rate or concurrency limit
	CauseDeadline     Cause = "deadline"           // the deadline passed or can't be met
	CauseOverload     Cause = "overload"           // the queues are too long for the deadline, or memory for the body is short
	CauseShed         Cause = "load-shed"          // the stage pools on the request's path have too much work to serve it in time
	CauseNoTarget     Cause = "no-target"          // no eligible target is left
	CauseStopping     Cause = "stopping"           // this process is about to stop
	CauseNotReady     Cause = "not-ready"          // this process is still starting, for example without a table
	CauseKeyReused    Cause = "key-reused"         // the idempotency key was used for another request
	CauseInProgress   Cause = "in-progress"        // another submission with the key is still running
	CauseUnknown      Cause = "outcome-unknown"    // the outcome of an earlier submission with the key is not available
	CauseNoClaim      Cause = "claim-unavailable"  // no claim could be obtained
	CauseTarget       Cause = "target-failed"      // the target failed
	CauseRefused      Cause = "target-refused"     // the target refused the call
	CauseMisdirected  Cause = "misdirected-answer" // another target answered, or the answer belongs to another call
	CauseTruncated    Cause = "truncated-answer"   // the answer is incomplete, altered or not signed
	CauseConnection   Cause = "connection"         // the connection failed or was lost
	CauseStage        Cause = "stage-failed"       // a stage failed, or its result no longer exists
	CauseBudget       Cause = "retry-budget"       // the retry budget is exhausted
	CauseCanceled     Cause = "canceled"           // the caller has disconnected
	CauseCrashes      Cause = "crashes-targets"    // targets crashed while they ran the same request content
)

// ErrStopping is the cause of a context that is canceled because this process is about to
// stop; its requests get their final answers now.
var ErrStopping = errors.New("this instance stops")

// Error is the only error type of the request path.
type Error struct {
	// Verdict is set where the evidence is available. Without evidence it stays MayHaveRun.
	Verdict Verdict
	// Cause is the documented reason.
	Cause Cause
	// Detail is one sentence for a human reader.
	Detail string
	// Stage names the pipeline's stage that failed; it is empty before the first stage.
	Stage string
	// RetryAfter is the time after which a retry may succeed; zero means that a retry
	// can't help.
	RetryAfter time.Duration
	// Cost is what was spent in spite of the failure, by stage.
	Cost []StageCost
	// Leaving is set when a target refused because it is leaving.
	Leaving bool
	// OwnPath is set if the connection broke because of this process's path to the target, as
	// far as it knows: the error says nothing about the target.
	OwnPath bool
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", e.Cause, e.Detail, e.Verdict)
	if e.Stage != "" {
		return "stage " + e.Stage + ": " + s
	}
	return s
}

// Errorf returns an Error whose detail is the formatted text. Callers and peers receive it.
func Errorf(v Verdict, c Cause, format string, args ...any) *Error {
	return &Error{Verdict: v, Cause: c, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets e.RetryAfter to d and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// AsError returns the Error in err's chain, nil for a nil err. For any other error it
// returns a MayHaveRun Error with CauseTarget.
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
