// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package httpclient has the transport of HTTP clients that call other processes, which may send
// anything.
//
// # Invariants
//
//   - A head that is not valid (package answers), or longer than MaxHeadBytes, is an error.
//   - A body ends with io.EOF only if it arrived whole: not if its trailer is not valid, and not
//     if it ends with its connection before the request was written (package upstream).
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/hookhall/hookhall/internal/protocol/answers"
	"github.com/hookhall/hookhall/internal/transport/sockets"
)

// MaxHeadBytes bounds the heads of the answers to one request.
const MaxHeadBytes = 64 << 10

// Transport is an http.RoundTripper that rejects answers which are not valid.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport over base, whose limit of heads and way of dialing it changes. base must not
// be used by itself afterwards.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newRequestConn(sockets.RememberBreak(c)), nil
	}
	return &Transport{base}
}

// NewDefaultTransport returns a Transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), newTrace(r))))
	if err != nil {
		return nil, err
	}
	if err := answers.CheckHead(resp.StatusCode, resp.Header); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = answers.NewBody(resp)
	return resp, nil
}

// newTrace returns the trace of a request. The writing of one without a body is not followed: net/http may
// write it again on another connection before the first attempt ends.
func newTrace(r *http.Request) *httptrace.ClientTrace {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		return answers.CheckHead(status, http.Header(h))
	}}
	if r.Body == nil || r.Body == http.NoBody {
		return trace
	}
	var conn *requestConn // of the last attempt
	trace.GotConn = func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*requestConn); conn != nil {
			conn.beginRequest()
		}
	}
	trace.WroteRequest = func(info httptrace.WroteRequestInfo) {
		if conn != nil {
			conn.endRequest(info.Err)
		}
	}
	return trace
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
