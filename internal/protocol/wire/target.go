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

// Paths of the targets' interface.
const (
	PathCall = "/v1/call"
	PathLoad = "/v1/load"
)

// Headers of a stage call. A target echoes the first four.
const (
	HeaderStage     = "Hookhall-Stage"
	HeaderAttempt   = "Hookhall-Attempt"
	HeaderDigest    = "Hookhall-Digest"
	HeaderTimeout   = "Hookhall-Timeout-Ms"
	HeaderPriority  = "Hookhall-Priority"
	HeaderMaxTokens = "Hookhall-Max-Tokens"
	HeaderEpoch     = "Hookhall-Epoch"
	HeaderToken     = "Hookhall-Token"
	// HeaderNotRun is set to "true" by a target that refused before running.
	HeaderNotRun = "Hookhall-Not-Run"
	// HeaderLeaving is set to "true" by a target that is leaving.
	HeaderLeaving = "Hookhall-Leaving"
)

// echoed are the headers that tell whose answer it is.
var echoed = []string{HeaderRequestID, HeaderStage, HeaderAttempt, HeaderDigest}

// TargetLine is one line of a target's streamed answer. The last one has End
// set; a unary answer is one line with Text and End.
type TargetLine struct {
	Text string     `json:"text,omitempty"`
	End  *TargetEnd `json:"end,omitempty"`
}

// TargetEnd marks a whole answer.
type TargetEnd struct {
	Length   int                 `json:"length"`
	Checksum string              `json:"checksum"`
	Tokens   int                 `json:"tokens"`
	QueueMS  float64             `json:"queue_ms"`
	BusyMS   float64             `json:"busy_ms"`
	Load     hookhall.LoadReport `json:"load"`
}

// SetCall writes a call's headers.
func SetCall(h http.Header, c hookhall.StageCall, now time.Time) {
	h.Set(HeaderRequestID, c.Request)
	h.Set(HeaderStage, c.Stage)
	h.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	h.Set(HeaderDigest, strconv.FormatUint(c.Digest, 16))
	h.Set(HeaderTimeout, strconv.FormatInt(c.Deadline.Sub(now).Milliseconds(), 10))
	h.Set(HeaderPriority, strconv.Itoa(c.Priority))
	h.Set(HeaderMaxTokens, strconv.Itoa(c.MaxTokens))
	if c.Key != "" {
		h.Set(HeaderKey, c.Key)
		h.Set(HeaderEpoch, strconv.FormatUint(c.Epoch, 10))
		h.Set(HeaderToken, strconv.FormatUint(c.Token, 10))
	}
}

// Echo copies a call's identity into its answer.
func Echo(to, from http.Header) {
	for _, k := range echoed {
		to.Set(k, from.Get(k))
	}
}

// CheckEcho tells whether an answer is that of the call.
func CheckEcho(answer, call http.Header) error {
	for _, k := range echoed {
		if answer.Get(k) != call.Get(k) {
			return errors.Errorf("%s is %q, not %q", k, answer.Get(k), call.Get(k))
		}
	}
	return nil
}
