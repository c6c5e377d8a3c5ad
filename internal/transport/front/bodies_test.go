// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/hookhall/hookhall"
)

// lockstep makes requests advance together: each waits in meet until all that have not left do so.
type lockstep struct {
	mu      sync.Mutex
	members int
	waiting int
	opened  chan struct{} // closed once all members wait
}

func newLockstep(members int) *lockstep {
	return &lockstep{members: members, opened: make(chan struct{})}
}

// openIfAll lets the members go on if all of them wait. l.mu must be held.
func (l *lockstep) openIfAll() {
	if l.waiting >= l.members {
		close(l.opened)
		l.waiting, l.opened = 0, make(chan struct{})
	}
}

func (l *lockstep) meet() {
	l.mu.Lock()
	opened := l.opened
	l.waiting++
	l.openIfAll()
	l.mu.Unlock()
	<-opened
}

func (l *lockstep) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members--
	l.openIfAll()
}

// lockstepBody is a body of which each read fills the given buffer after all others are to be read, too.
type lockstepBody struct {
	*lockstep
	remaining int
}

func (b *lockstepBody) Read(p []byte) (int, error) {
	b.meet()
	n := min(len(p), b.remaining)
	if b.remaining -= n; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// lockstepWriter is the writer of an answer that begins once all other requests wait.
type lockstepWriter struct {
	*httptest.ResponseRecorder
	step *lockstep
}

func (w lockstepWriter) WriteHeader(status int) {
	w.step.meet()
	w.ResponseRecorder.WriteHeader(status)
}

// TestBodiesThatGrowInStep guards against refusing all of the bodies that run out of memory at the same
// moment, although there is room for some of them.
func TestBodiesThatGrowInStep(t *testing.T) {
	// 36 buffers of 32 KB fill the budget, so that none can be doubled.
	const clients, size = 36, 400_000
	handler := newTestHandler(unboundedService{func(_ context.Context, _ *hookhall.Call, a hookhall.AnswerWriter) error {
		a.Begin(http.StatusOK, nil)
		return nil
	}})
	step := newLockstep(clients)
	statuses := make(chan int, clients)
	for range clients {
		go func() {
			defer step.leave()
			w := lockstepWriter{httptest.NewRecorder(), step}
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", &lockstepBody{step, size}))
			statuses <- w.Code
		}()
	}
	count := map[int]int{}
	for range clients {
		count[<-statuses]++
	}
	if count[http.StatusOK] == 0 || count[http.StatusServiceUnavailable] == 0 || len(count) != 2 {
		t.Errorf("bodies that grow in step by status: %v; want some served and some refused", count)
	}
	if held := handler.bodyBudget.Held(); held != 0 {
		t.Errorf("%d bytes still held", held)
	}
}

// unreadBody is a body that fails the test if it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, io.EOF
}

// TestStatedLengthBeyondBudget guards against reading a body whose stated length does not fit, until there
// is no room for others.
func TestStatedLengthBeyondBudget(t *testing.T) {
	handler := newTestHandler(unboundedService{func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error {
		t.Error("the request was served")
		return nil
	}})
	r := httptest.NewRequest(http.MethodPost, "/", unreadBody{t})
	r.ContentLength = 2 << 20
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}
