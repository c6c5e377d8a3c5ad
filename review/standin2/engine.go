// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is how often an engine writes its entry.
const heartbeat = 1200 * time.Millisecond

// engine is a sound engine. Its exported fields are set before start.
type engine struct {
	w       *world
	ID      string
	Service string
	Hall    string
	Version string
	// Events is the number of events of a stream, and Gap the time between two.
	Events int
	Gap    time.Duration
	// Inputs has the results that requests name; nil if they have none.
	Inputs *results
	// Quiet leaves the runs out of the record.
	Quiet bool
	// Ran is called for each request that the engine begins to run; it may be nil.
	Ran func(r *http.Request)

	address string
	mu      sync.Mutex
	seq     int
	silent  bool // no heartbeats any more
	server  *http.Server
}

// start makes the engine listen and writes its entry.
func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	e.beat("ready")
	go func() {
		for range time.Tick(heartbeat) {
			e.mu.Lock()
			silent := e.silent
			e.mu.Unlock()
			if silent {
				return
			}
			e.beat("ready")
		}
	}()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.seq++
	e.w.store.put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Hall, "version": e.Version, "slots": 64, "state": state, "coldLeftMs": 0,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": e.seq,
	})
}

// leave removes the engine's entry. It serves on.
func (e *engine) leave() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.w.store.remove("servers/" + e.ID)
}

// end ends the engine.
func (e *engine) end() { _ = e.server.Close() }

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", e.ID)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h.Set("Request-Id", id)
	if status := e.checkInputs(r); status != http.StatusOK {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	h.Set("Server-Seal", "seal-"+e.ID+"-"+id)
	if e.Ran != nil {
		e.Ran(r)
	}
	if !e.Quiet {
		e.w.note("%s (%s) runs %s after event %q", e.ID, e.Version, id, r.Header.Get("Last-Event-Id"))
	}
	if e.Events == 0 {
		time.Sleep(e.Gap)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.stream(w, r)
}

// checkInputs returns the status for the results that a request names.
func (e *engine) checkInputs(r *http.Request) int {
	if e.Inputs == nil {
		return http.StatusOK
	}
	inputs := r.Header.Get("Inputs")
	if inputs == "" {
		return http.StatusBadRequest
	}
	for _, handle := range strings.Split(inputs, ",") {
		if !e.Inputs.has(handle) {
			return http.StatusConflict
		}
	}
	return http.StatusOK
}

// stream answers with a stream, after the last event that the client has.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(w)
	for n := last + 1; n <= e.Events; n++ {
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, e.Version, e.ID); err != nil || control.Flush() != nil {
			return
		}
	}
}
