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
	// Born is the Unix millisecond of its start; 0 says nothing of it.
	Born int64
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
	e.serve(l)
	return nil
}

// serve serves on a listener and writes the engine's entry now and from time to time.
func (e *engine) serve(l net.Listener) {
	server := &http.Server{Handler: e}
	e.server = server
	go func() { _ = server.Serve(l) }()
	e.beat("ready")
	born := e.Born
	go func() {
		for range time.Tick(heartbeat) {
			e.mu.Lock()
			over := e.silent || e.Born != born
			e.mu.Unlock()
			if over {
				return
			}
			e.beat("ready")
		}
	}()
}

// beat writes the engine's entry.
func (e *engine) beat(state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.seq++
	entry := map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Hall, "version": e.Version, "slots": 64, "state": state, "coldLeftMs": 0,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": e.seq,
	}
	if e.Born != 0 {
		entry["born"] = e.Born
	}
	e.w.store.put("servers/"+e.ID, entry)
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

// crash ends the engine as a failing process does. Its entry stays until it starts again.
func (e *engine) crash() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
	e.end()
}

// restart starts the engine again at its address and under its id.
func (e *engine) restart() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.silent, e.seq, e.Born = false, 0, time.Now().UnixMilli()
	e.mu.Unlock()
	e.serve(l)
	return nil
}

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
