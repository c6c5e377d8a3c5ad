// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientKey is the API key of all clients, and clientTenant its tenant.
const (
	clientKey    = "9dnn2ctnfzs989anu6ws"
	clientTenant = "bozi300"
)

// call is one request of a client.
type call struct {
	id     string
	method string
	host   string
	path   string
	body   string
	// deadline is how long the client waits.
	deadline time.Duration
	// fields are further names and values of header fields in turn.
	fields []string
}

// answer is what the client got. status is 0 if there was no answer.
type answer struct {
	status int
	sealed bool
	body   string
	err    error // of the request, or of an answer that ended early
}

// httpClient uses a new connection for each request.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request to a gateway and waits for the whole answer.
func (w *world) send(g *gatewayProcess, c call) answer {
	req, err := http.NewRequest(c.method, "http://"+g.address()+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = c.host
	req.Header.Set("Request-Id", c.id)
	req.Header.Set("X-Api-Key", clientKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	for i := 0; i+1 < len(c.fields); i += 2 {
		req.Header.Set(c.fields[i], c.fields[i+1])
	}
	w.record.add("client sends %s %s to %s, %v", c.id, c.path, g.name, c.fields)
	a := doRequest(req, c.deadline)
	w.record.add("client got %s: status %d, sealed %v, %d bytes, error %v", c.id, a.status, a.sealed, len(a.body), a.err)
	return a
}

// doRequest sends a request and reads the answer. It waits a second longer than the deadline.
func doRequest(req *http.Request, deadline time.Duration) answer {
	client := &http.Client{Transport: httpClient.Transport, Timeout: deadline + time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("Server-Seal") != "", body: string(b), err: err}
}
