// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package backend calls targets over HTTP.
//
// # Model
//
// A call is one POST with the input as its body. Headers identify the call, and
// the target echoes them. The answer consists of JSON lines, the last of which
// holds the length and checksum of the output.
//
// # Verdicts
//
// NotRun: no connection was established; or the target answered with a status
// of 400 or more, the echoed headers of the call and the header
// Hookhall-Not-Run: true.
// Ran: the complete answer was received and its headers match the call.
// Any other outcome (lost connection, truncated answer, answer to another call, answer
// for which no memory is left) is MayHaveRun.
//
// # Invariants
//
//   - The answers in progress take no more memory than their budget, and some for each.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/transport/httpclient"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds a connection attempt. It is shorter than the second after
	// which the kernel retransmits a lost SYN.
	dialTimeout = 300 * time.Millisecond
	// idleConnTimeout is how long an unused connection to a target stays open.
	idleConnTimeout = 30 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target; connections
	// beyond it are closed after their call.
	maxIdlePerTarget = 64
	// maxDetailBytes bounds the part of a target's error text that is quoted.
	maxDetailBytes = 200
)

// HTTP is a hookhall.Backend that calls targets over HTTP/1.1.
type HTTP struct {
	client  *http.Client
	answers *buffer.Budget
}

// New returns an HTTP with its own connection pool. answers is the memory for the answers in progress.
func New(answers *buffer.Budget) *HTTP {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTP{answers: answers, client: &http.Client{Transport: httpclient.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	})}}
}

// Call implements hookhall.Backend. It sends the call once and never retries.
func (b *HTTP) Call(ctx context.Context, t hookhall.Target, c hookhall.StageCall, emit func([]byte) error) (hookhall.StageResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the call at the target if its answer was not read to the end
	req, err := b.newRequest(ctx, t, c)
	if err != nil {
		return hookhall.StageResult{}, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTarget, "%v", err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return hookhall.StageResult{}, connectionError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return hookhall.StageResult{}, statusError(resp, req.Header)
	}
	if err := wire.CheckEcho(resp.Header, req.Header); err != nil {
		return hookhall.StageResult{}, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "target %s: %v", t.ID, err)
	}
	body := newAnswerReader(resp.Body, b.answers)
	defer body.release()
	return readAnswer(body, emit)
}

// newRequest returns the HTTP request of a call.
func (b *HTTP) newRequest(ctx context.Context, t hookhall.Target, c hookhall.StageCall) (*http.Request, error) {
	// The wrapper hides the type of the body, so that the client can't rewind it.
	// With a rewindable or an empty body, net/http itself resends a request with an
	// idempotency key when a kept connection breaks; only the pipeline may decide
	// on retries.
	body := struct{ io.Reader }{bytes.NewReader(c.Input)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+wire.PathCall, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Input))
	wire.SetCallHeaders(req.Header, c, clock.Now())
	return req, nil
}

// connectionError returns the error of a call without an answer. A failed dial proves
// that nothing was sent, so its verdict is NotRun; any other failure is MayHaveRun.
func connectionError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseConnection, "no connection: %v", opErr.Err)
	}
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseConnection, "connection lost: %v", err)
}

// statusError returns the error for an answer with a status other than 200. Only the
// header Hookhall-Not-Run, in an answer that echoes the identity of the call, proves
// that nothing ran.
func statusError(resp *http.Response, call http.Header) error {
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	if err != nil {
		detail = []byte("no detail")
	}
	e := hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTarget, "status %d: %s", resp.StatusCode, bytes.TrimSpace(detail))
	if resp.Header.Get(wire.HeaderNotRun) == "true" && wire.CheckEcho(resp.Header, call) == nil {
		e.Verdict, e.Cause = hookhall.NotRun, hookhall.CauseRefused
		e.Leaving = resp.Header.Get(wire.HeaderLeaving) == "true"
	}
	return e
}

// readAnswer reads the lines of an answer up to its end line, and passes the text of
// each to emit.
func readAnswer(body io.Reader, emit func([]byte) error) (hookhall.StageResult, error) {
	var result hookhall.StageResult
	decoder := json.NewDecoder(body)
	for {
		var line wire.TargetLine
		if err := decoder.Decode(&line); err != nil {
			return result, readError(err, len(result.Output))
		}
		if line.Text != "" {
			result.Output = append(result.Output, line.Text...)
			result.Tokens++
			if err := emit([]byte(line.Text)); err != nil {
				return result, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseCanceled, "the caller went away: %v", err)
			}
		}
		if line.End != nil {
			return checkResult(result, line.End)
		}
	}
}

// readError returns the error of an answer that can't be read to its end, after a number of bytes of its output.
func readError(err error, output int) error {
	cause := hookhall.CauseTruncated
	if errors.Is(err, buffer.ErrNoRoom) {
		cause = hookhall.CauseOverload
	}
	return hookhall.Errorf(hookhall.MayHaveRun, cause, "the answer broke off after %d bytes: %v", output, err)
}

// checkResult compares the output with the length and checksum of the end line, and
// returns the result with the measurements of the target filled in.
func checkResult(result hookhall.StageResult, end *wire.TargetEnd) (hookhall.StageResult, error) {
	if end.Length != len(result.Output) || end.Checksum != wire.Checksum(result.Output) {
		return result, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer has %d bytes and should have %d", len(result.Output), end.Length)
	}
	result.Tokens = end.Tokens
	result.QueueTime = time.Duration(end.QueueMS * float64(time.Millisecond))
	result.BusyTime = time.Duration(end.BusyMS * float64(time.Millisecond))
	result.Load = end.Load
	return result, nil
}

// Load implements hookhall.Backend. A report is read up to 4096 bytes.
func (b *HTTP) Load(ctx context.Context, t hookhall.Target) (hookhall.LoadReport, error) {
	var report hookhall.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+wire.PathLoad, nil)
	if err != nil {
		return report, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	return report, json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&report)
}
