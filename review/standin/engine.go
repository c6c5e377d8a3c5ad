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

// modelEngine is a model engine: it reads its inputs and streams events.
type modelEngine struct {
	w         *world
	id        string
	results   *results
	events    int
	firstTime time.Duration // until the first event
	eventTime time.Duration // between two events
}

// ServeHTTP implements http.Handler.
func (e *modelEngine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		rw.Header().Set("Instance-Id", e.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	handles := strings.Split(r.Header.Get("Inputs"), ",")
	if r.Header.Get("Inputs") == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !e.w.inputsHeld(e.results, handles) {
		e.w.record.add("%s: an input of %s is gone: %v", e.id, id, handles)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusConflict)
		return
	}
	e.w.record.add("%s runs %s with inputs %v", e.id, id, handles)
	for _, h := range handles {
		if p, ok := e.results.get(h); ok && p.request != id {
			e.w.breach("MIXED: %s runs %s with the input %s of %s", e.id, id, h, p)
		}
	}
	rw.Header().Set("Server-Seal", e.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	pause := e.firstTime
	for n := range e.events {
		select {
		case <-r.Context().Done():
			e.w.record.add("%s: the connection of %s has ended", e.id, id)
			return
		case <-time.After(pause):
		}
		pause = e.eventTime
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1); err != nil {
			return
		}
		_ = controller.Flush() // the next write fails, too
	}
}
