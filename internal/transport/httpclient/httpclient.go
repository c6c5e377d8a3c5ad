// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package httpclient has the transport of HTTP clients that call other processes, which may send
// anything.
//
// # Invariants
//
//   - A head that is not valid (package answers), or longer than MaxHeadBytes, is an error.
//   - A body whose trailer is not valid does not end with io.EOF.
package httpclient

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/hookhall/hookhall/internal/protocol/answers"
)

// MaxHeadBytes bounds the heads of the answers to one request.
const MaxHeadBytes = 64 << 10

// Transport is an http.RoundTripper that rejects answers which are not valid.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport over base, whose limit of heads it changes.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = MaxHeadBytes
	return &Transport{base}
}

// NewDefaultTransport returns a Transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), newTrace())))
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

// newTrace returns the trace of a request.
func newTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: func(status int, h textproto.MIMEHeader) error {
		return answers.CheckHead(status, http.Header(h))
	}}
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
