// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

// piece identifies a piece of a stage of a request.
type piece struct {
	request string
	stage   int
	index   int
}

// String implements fmt.Stringer.
func (p piece) String() string {
	return fmt.Sprintf("%s stage %d piece %d", p.request, p.stage, p.index)
}

// results holds the results of all stage engines by handle.
type results struct {
	retention time.Duration

	mu   sync.Mutex
	rand *rand.Rand
	held map[string]heldResult
}

// heldResult is a result and when its engine drops it.
type heldResult struct {
	piece  piece
	expiry time.Time
}

// newResults returns an empty set.
func newResults(retention time.Duration) *results {
	return &results{retention: retention, rand: rand.New(rand.NewSource(time.Now().UnixNano())), held: map[string]heldResult{}}
}

// add stores a result at an engine and returns its handle, which is never used again.
func (r *results) add(address string, p piece) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	handle := fmt.Sprintf("%s/%012x", address, r.rand.Int63n(1<<48))
	r.held[handle] = heldResult{p, time.Now().Add(r.retention)}
	return handle
}

// get returns the piece of a handle, and false if no engine holds the result.
func (r *results) get(handle string) (piece, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.held[handle]
	return h.piece, ok && time.Now().Before(h.expiry)
}

// free drops results.
func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		delete(r.held, h)
	}
}
