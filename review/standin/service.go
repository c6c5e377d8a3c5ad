// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// engineFault is the way in which an engine fails a request.
type engineFault int

// The faults of a plain service's engine.
const (
	faultNone    engineFault = iota
	faultBare503             // runs the request, and answers 503 without Not-Executed and Server-Seal
	faultGarbage             // runs the request, and sends bytes that are no answer
)

// serviceEngine is an engine of a plain service.
type serviceEngine struct {
	w     *world
	id    string
	ran   *runs
	fault func() engineFault // of the next request
}

// addService starts the i-th engine of the plain service and lists it.
func (w *world) addService(e *serviceEngine, i int) error {
	l, err := w.listen()
	if err != nil {
		return err
	}
	go e.serve(l)
	w.list(e.id, "auth-gate", halls[i%len(halls)], l.Addr().String(), 6)
	return nil
}

// serve accepts connections until the listener is closed.
func (e *serviceEngine) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

// serveConn serves the requests of one connection in turn.
func (e *serviceEngine) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		if !e.serveRequest(c, r) {
			return
		}
	}
}

// workTime is the time that a request takes.
const workTime = 60 * time.Millisecond

// serveRequest serves one request, and reports whether the connection can be used further.
func (e *serviceEngine) serveRequest(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	header := http.Header{"Request-Id": {id}}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		header.Set("Instance-Id", e.id)
		return write(c, encodeAnswer(http.StatusMisdirectedRequest, header, nil))
	}
	e.ran.add(id, e.id)
	e.w.record.add("%s runs %s", e.id, id)
	time.Sleep(workTime)
	switch e.fault() {
	case faultBare503:
		e.w.record.add("%s answers %s with 503, without Not-Executed and Server-Seal", e.id, id)
		return write(c, encodeAnswer(http.StatusServiceUnavailable, header, nil))
	case faultGarbage:
		n := sendGarbage(c)
		e.w.record.add("%s sent %d bytes that are no answer to %s until its connection was closed", e.id, n, id)
		return false
	}
	header.Set("Server-Seal", e.id)
	return write(c, encodeAnswer(http.StatusOK, header, []byte("answer to "+id)))
}

// write writes to a connection and reports whether that succeeded.
func write(c net.Conn, b []byte) bool {
	_, err := c.Write(b)
	return err == nil
}

// authConfig returns the operators' configuration: one route of a plain service, whose requests
// must run at most once.
func authConfig() object {
	c := surplusConfig()
	c["routes"] = []object{{
		"name": "r-auth", "host": "jepu9.example", "pathPrefix": "/sebo924/", "kind": "unsafe", "timeoutMs": 1500, "sloMs": 300, "priority": 2,
		"service": "auth-gate", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}}
	c["services"] = []object{{"name": "auth-gate", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}}
	return c
}
