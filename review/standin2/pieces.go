// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stageCallTime  = 60 * time.Millisecond
	stagePieceTime = 10 * time.Millisecond
	// stageQueue is how many calls an engine of a stage has at once, the one at work included.
	stageQueue = 3
)

// results are the results that engines of stages hold, by handle.
type results struct {
	mu    sync.Mutex
	last  int
	known map[string]bool
}

// add returns the handle of a new result.
func (r *results) add(address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	handle := fmt.Sprintf("%s/%08x", address, 0x5c1e0000+r.last)
	r.known[handle] = true
	return handle
}

// has reports whether a result exists.
func (r *results) has(handle string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known[handle]
}

// free drops results.
func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		delete(r.known, h)
	}
}

// stageEngine is a sound engine of a service of stages. Its exported fields are set before start.
type stageEngine struct {
	w       *world
	ID      string
	Service string
	Hall    string
	Results *results

	address string
	mu      sync.Mutex // held while a call is at work
	calls   chan struct{}
}

// stageItem is a piece that is asked for.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Inputs []string `json:"inputs"`
}

// start makes the engine listen and writes its entry.
func (e *stageEngine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.calls = make(chan struct{}, stageQueue)
	go func() { _ = http.Serve(l, e) }()
	go func() {
		for seq := 1; ; seq++ {
			e.w.store.put("servers/"+e.ID, map[string]any{
				"service": e.Service, "address": e.address, "zone": e.Hall, "version": "v1", "slots": 1, "state": "ready", "coldLeftMs": 0, "seq": seq,
			})
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// ServeHTTP implements http.Handler.
func (e *stageEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Id", e.ID)
	if id := r.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Engine-Load", fmt.Sprintf("%d,%d,1", min(len(e.calls), 1), max(len(e.calls)-1, 0)))
	switch r.URL.Path {
	case "/stage-run":
		e.run(w, r)
	case "/stage-free":
		var request struct {
			Handles []string `json:"handles"`
		}
		if json.NewDecoder(r.Body).Decode(&request) == nil {
			e.Results.free(request.Handles)
		}
	}
}

// run makes pieces.
func (e *stageEngine) run(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Items []stageItem `json:"items"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case e.calls <- struct{}{}:
		defer func() { <-e.calls }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	time.Sleep(stageCallTime + time.Duration(len(request.Items))*stagePieceTime)
	answers := []map[string]string{}
	for _, i := range request.Items {
		made := map[string]string{}
		for _, input := range i.Inputs {
			if !e.Results.has(input) {
				made["reason"] = "gone"
			}
		}
		if made["reason"] == "" {
			made["handle"] = e.Results.add(e.address)
		}
		e.w.note("%s makes piece %d of stage %d of %s with %d inputs: %v", e.ID, i.Piece, i.Stage, i.ID, len(i.Inputs), made)
		answers = append(answers, made)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": answers})
}
