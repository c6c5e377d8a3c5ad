// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/state/buffer"
	"github.com/hookhall/hookhall/internal/transport/backend"
)

// TestAnswersBeyondBudget checks that an answer without an end is given up once the budget is spent, that small
// answers are read meanwhile, and that the memory is free afterwards.
func TestAnswersBeyondBudget(t *testing.T) {
	const limit = 4 << 20
	budget := buffer.NewBudget(limit)
	b := backend.New(budget)
	reading, proceed := make(chan struct{}), make(chan struct{})
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		wire.EchoHeaders(w.Header(), r.Header)
		block := []byte(`{"text":"` + strings.Repeat("x", 10000) + "\"}\n")
		for n := 0; ; n++ {
			if _, err := w.Write(block); err != nil {
				return
			}
			if n == 30 {
				_ = http.NewResponseController(w).Flush()
				close(reading)
				<-proceed
			}
		}
	}))
	defer endless.Close()
	sound := httptest.NewServer(standin.NewTarget(standin.TargetSettings{ID: "e", Capacity: 2}))
	defer sound.Close()
	ignore := func([]byte) error { return nil }
	target := func(s *httptest.Server) hookhall.Target {
		return hookhall.Target{ID: "e", Address: strings.TrimPrefix(s.URL, "http://"), Streams: true}
	}
	failed := make(chan error, 1)
	go func() {
		_, err := b.Call(t.Context(), target(endless), call("endless"), ignore)
		failed <- err
	}()
	<-reading
	for budget.Held() == 0 {
		time.Sleep(time.Millisecond) // until the call has reserved some of the budget
	}
	rest := limit - int(budget.Held())
	for !budget.Reserve(rest) {
		rest = limit - int(budget.Held()) // the call has reserved more meanwhile
	}
	if _, err := b.Call(t.Context(), target(sound), call("small"), ignore); err != nil {
		t.Errorf("a small answer: %v", err)
	}
	close(proceed)
	if failure := hookhall.AsError(<-failed); failure == nil || failure.Verdict != hookhall.MayHaveRun || failure.Cause != hookhall.CauseOverload {
		t.Errorf("an answer without an end: %v", failure)
	}
	budget.Return(rest)
	if held := budget.Held(); held != 0 {
		t.Errorf("%d bytes are held after all calls", held)
	}
}
