// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// poolEngine is an engine of a stage's service.
type poolEngine struct {
	w        *world
	id       string
	service  string
	address  string
	results  *results
	callTime time.Duration
	itemTime time.Duration
	queue    int // calls that may wait beside the one at work
	// surplus reports whether a second copy of an answer follows, in the place where the next
	// answer on the connection is expected.
	surplus func() bool

	turn    sync.Mutex // held by the call at work
	mu      sync.Mutex
	pending int // calls at work and waiting
	rand    *rand.Rand
}

// serve accepts connections until the listener is closed.
func (e *poolEngine) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

// serveConn serves the calls of one connection in turn.
func (e *poolEngine) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var late []byte // a surplus answer that is still to be sent
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			e.w.record.add("%s sends a second copy of an earlier answer before the one to %s", e.id, r.URL.Path)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		status, header, answer := e.answer(r, body)
		text := encodeAnswer(status, header, answer)
		if _, err := c.Write(text); err != nil {
			return
		}
		if r.URL.Path == "/stage-run" && status == http.StatusOK && e.surplus() {
			late = text
		}
	}
}

// encodeAnswer returns the bytes of an answer.
func encodeAnswer(status int, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// stageItem is one item of a stage call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageResult is one item of the answer to it.
type stageResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// answer returns the answer to a call.
func (e *poolEngine) answer(r *http.Request, body []byte) (status int, header http.Header, answer []byte) {
	header = http.Header{"Content-Type": {"application/json"}}
	if id := r.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id) // engines echo it
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		header.Set("Instance-Id", e.id)
		return http.StatusMisdirectedRequest, header, nil
	}
	switch r.URL.Path {
	case "/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		if json.Unmarshal(body, &call) != nil {
			return http.StatusBadRequest, header, nil
		}
		e.results.free(call.Handles)
		return http.StatusOK, header, []byte("{}")
	case "/stage-run":
		var call struct {
			Items []stageItem `json:"items"`
		}
		if json.Unmarshal(body, &call) != nil {
			return http.StatusBadRequest, header, nil
		}
		return e.run(header, call.Items)
	}
	return http.StatusNotFound, header, nil
}

// run makes the items of a call once its turn comes.
func (e *poolEngine) run(header http.Header, items []stageItem) (int, http.Header, []byte) {
	if !e.enqueue() {
		header.Set("Not-Executed", "1")
		return http.StatusServiceUnavailable, header, nil
	}
	defer e.dequeue()
	e.turn.Lock()
	defer e.turn.Unlock()
	made := make([]stageResult, len(items))
	for n, i := range items {
		if !e.w.inputsHeld(e.results, i.Inputs) {
			made[n].Reason = "gone"
			continue
		}
		e.w.checkPieceInputs(e.id, e.results, i)
	}
	time.Sleep(e.callTime + time.Duration(len(items))*e.itemTime)
	for n, i := range items {
		if made[n].Reason == "" {
			made[n].Handle = e.results.add(e.address, piece{i.ID, i.Stage, i.Piece})
			e.w.record.add("%s makes %s for %s, inputs %v", e.id, made[n].Handle, piece{i.ID, i.Stage, i.Piece}, i.Inputs)
		}
	}
	answer, err := json.Marshal(map[string]any{"items": made})
	if err != nil {
		return http.StatusInternalServerError, header, nil
	}
	return http.StatusOK, header, answer
}

// enqueue counts a call, unless the queue is full.
func (e *poolEngine) enqueue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pending > e.queue {
		return false
	}
	e.pending++
	return true
}

// dequeue counts the end of a call.
func (e *poolEngine) dequeue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pending--
}

// inputsHeld reports whether engines hold all results of a list of handles.
func (w *world) inputsHeld(r *results, handles []string) bool {
	for _, h := range handles {
		if _, ok := r.get(h); !ok {
			return false
		}
	}
	return true
}

// checkPieceInputs records a breach if a piece receives an input of another request.
func (w *world) checkPieceInputs(engine string, r *results, i stageItem) {
	for _, h := range i.Inputs {
		if p, ok := r.get(h); ok && p.request != i.ID {
			w.breach("MIXED: %s receives for %s the input %s of %s", engine, piece{i.ID, i.Stage, i.Piece}, h, p)
		}
	}
}

// breach records and counts a breach of the case's rule.
func (w *world) breach(format string, args ...any) {
	w.breaches.Add(1)
	w.record.add("BREACH "+format, args...)
}
