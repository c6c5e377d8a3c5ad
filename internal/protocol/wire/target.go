// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// Paths of the targets' interface: stage calls and load reports.
const (
	PathCall = "/v1/call"
	PathLoad = "/v1/load"
)

// Headers of a stage call. A target copies HeaderStage, HeaderAttempt, HeaderDigest and
// HeaderRequestID into its answer.
const (
	HeaderStage   = "Hookhall-Stage"
	HeaderAttempt = "Hookhall-Attempt"
	HeaderDigest  = "Hookhall-Digest"
	// HeaderTimeout carries the time left until the call's deadline in milliseconds.
	HeaderTimeout = "Hookhall-Timeout-Ms"
	// HeaderPriority carries the call's priority; higher values run first.
	HeaderPriority  = "Hookhall-Priority"
	HeaderMaxTokens = "Hookhall-Max-Tokens"
	// HeaderEpoch and HeaderToken identify the claim of a call with an idempotency key.
	HeaderEpoch = "Hookhall-Epoch"
	HeaderToken = "Hookhall-Token"
	// HeaderNotRun is "true" in the answer of a target that refused the call before
	// running it.
	HeaderNotRun = "Hookhall-Not-Run"
	// HeaderLeaving is "true" in the refusal of a target that is leaving.
	HeaderLeaving = "Hookhall-Leaving"
)

// echoedHeaders identify the call that an answer belongs to.
var echoedHeaders = []string{HeaderRequestID, HeaderStage, HeaderAttempt, HeaderDigest}

// TargetLine is one line of a target's streamed answer. The last one has End
// set; a unary answer is one line with Text and End.
type TargetLine struct {
	Text string     `json:"text,omitempty"`
	End  *TargetEnd `json:"end,omitempty"`
}

// TargetEnd marks a complete answer. Length and Checksum are of the complete output,
// Length in bytes and Checksum as the function Checksum returns it. Tokens is the number
// of output tokens. QueueMS and BusyMS are the milliseconds that the call spent waiting
// and running in the target.
type TargetEnd struct {
	Length   int                 `json:"length"`
	Checksum string              `json:"checksum"`
	Tokens   int                 `json:"tokens"`
	QueueMS  float64             `json:"queue_ms"`
	BusyMS   float64             `json:"busy_ms"`
	Load     hookhall.LoadReport `json:"load"`
}

// SetCallHeaders sets the headers of stage call c that is sent at now. The key, epoch
// and token are set only for calls with an idempotency key.
func SetCallHeaders(h http.Header, c hookhall.StageCall, now time.Time) {
	h.Set(HeaderRequestID, c.Request)
	h.Set(HeaderStage, c.Stage)
	h.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	h.Set(HeaderDigest, strconv.FormatUint(c.Digest, 16))
	h.Set(HeaderTimeout, strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10))
	h.Set(HeaderPriority, strconv.Itoa(c.Priority))
	h.Set(HeaderMaxTokens, strconv.Itoa(c.MaxTokens))
	if c.Key != "" {
		h.Set(HeaderIdempotencyKey, c.Key)
		h.Set(HeaderEpoch, strconv.FormatUint(c.Epoch, 10))
		h.Set(HeaderToken, strconv.FormatUint(c.Token, 10))
	}
}

// EchoHeaders copies the headers that identify a call into the headers of its answer.
func EchoHeaders(to, from http.Header) {
	for _, k := range echoedHeaders {
		to.Set(k, from.Get(k))
	}
}

// CheckEcho returns an error if the headers of an answer don't identify call.
func CheckEcho(answer, call http.Header) error {
	for _, k := range echoedHeaders {
		if answer.Get(k) != call.Get(k) {
			return errors.Errorf("%s is %q, not %q", k, answer.Get(k), call.Get(k))
		}
	}
	return nil
}
