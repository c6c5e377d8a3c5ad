// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package backend calls targets over HTTP.
//
// # Model
//
// A call is one POST of the input; the identity of the call is in headers,
// which the target echoes. The answer is JSON lines, the last of which has the
// length and checksum of the output.
//
// # Verdicts
//
// NotRun: no connection was made; or the target answered with a status of 400
// or more and the header Hookhall-Not-Run, whose meaning is documented.
// Ran: the whole answer came and is the call's own. Everything else, a cut, a
// truncated or foreign answer, is MayHaveRun.
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
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	dialTime = 300 * time.Millisecond
	idleTime = 30 * time.Second
	// idlePerTarget is how many connections to a target are kept.
	idlePerTarget = 64
	// maxOutput bounds a target's answer.
	maxOutput = 16 << 20
	// maxDetail bounds what is quoted of a target's error.
	maxDetail = 200
)

// HTTP is a hookhall.Backend.
type HTTP struct{ client *http.Client }

// New makes a backend with its own connections.
func New() *HTTP {
	dialer := &net.Dialer{Timeout: dialTime}
	return &HTTP{client: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTime,
		DisableCompression:  true,
	}}}
}

// Call implements hookhall.Backend.
func (b *HTTP) Call(ctx context.Context, t hookhall.Target, c hookhall.StageCall, emit func([]byte) error) (hookhall.StageResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // an answer that is not read to its end is canceled at the target
	req, err := b.request(ctx, t, c)
	if err != nil {
		return hookhall.StageResult{}, hookhall.Errorf(hookhall.NotRun, hookhall.CauseTarget, "%v", err)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return hookhall.StageResult{}, connectionError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return hookhall.StageResult{}, refusal(resp, req.Header)
	}
	if err := wire.CheckEcho(resp.Header, req.Header); err != nil {
		return hookhall.StageResult{}, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseMisdirected, "target %s: %v", t.ID, err)
	}
	return read(resp.Body, emit)
}

func (b *HTTP) request(ctx context.Context, t hookhall.Target, c hookhall.StageCall) (*http.Request, error) {
	// A body that the client can't rewind: with one that it can, or an empty
	// one, it would by itself send a call with an idempotency key again when a
	// kept connection breaks. Only the pipeline decides on retries.
	body := struct{ io.Reader }{bytes.NewReader(c.Input)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Address+wire.PathCall, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(c.Input))
	wire.SetCall(req.Header, c, clock.Now())
	return req, nil
}

// connectionError: a failed dial proves that nothing was sent.
func connectionError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseConnection, "no connection: %v", op.Err)
	}
	return hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseConnection, "connection lost: %v", err)
}

// refusal reads an error answer; only the header, on an answer that is the
// call's own, proves that nothing ran.
func refusal(resp *http.Response, call http.Header) error {
	detail, err := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
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

// read takes in the lines of an answer up to its end.
func read(body io.Reader, emit func([]byte) error) (hookhall.StageResult, error) {
	var r hookhall.StageResult
	d := json.NewDecoder(io.LimitReader(body, maxOutput))
	for {
		var line wire.TargetLine
		if err := d.Decode(&line); err != nil {
			return r, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer broke off after %d bytes: %v", len(r.Output), err)
		}
		if line.Text != "" {
			r.Output = append(r.Output, line.Text...)
			r.Tokens++
			if err := emit([]byte(line.Text)); err != nil {
				return r, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseCanceled, "the caller went away: %v", err)
			}
		}
		if line.End != nil {
			return whole(r, line.End)
		}
	}
}

func whole(r hookhall.StageResult, end *wire.TargetEnd) (hookhall.StageResult, error) {
	if end.Length != len(r.Output) || end.Checksum != wire.Checksum(r.Output) {
		return r, hookhall.Errorf(hookhall.MayHaveRun, hookhall.CauseTruncated, "the answer has %d bytes and should have %d", len(r.Output), end.Length)
	}
	r.Tokens = end.Tokens
	r.Queue = time.Duration(end.QueueMS * float64(time.Millisecond))
	r.Busy = time.Duration(end.BusyMS * float64(time.Millisecond))
	r.Load = end.Load
	return r, nil
}

// Load implements hookhall.Backend.
func (b *HTTP) Load(ctx context.Context, t hookhall.Target) (hookhall.LoadReport, error) {
	var r hookhall.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+wire.PathLoad, nil)
	if err != nil {
		return r, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	return r, json.NewDecoder(io.LimitReader(resp.Body, 4096)).Decode(&r)
}
