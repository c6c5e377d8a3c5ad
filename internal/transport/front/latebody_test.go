// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// TestBodyLateInStop checks what becomes of a request whose body is being read when a stop begins to refuse others:
// it is served only if its time limit ends before the stop does.
func TestBodyLateInStop(t *testing.T) {
	const half, rest = "half", "rest"
	for name, c := range map[string]struct {
		limit, stop time.Duration // stop: 0 for a stop without an end
		isServed    bool
	}{
		"the limit ends before the stop":  {5 * time.Second, time.Minute, true},
		"the limit ends after the stop":   {time.Minute, 5 * time.Second, false},
		"the stop waits for all requests": {time.Minute, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			handler := newTestHandler(limitedService{limit: c.limit, serviceFunc: func(ctx context.Context, call *hookhall.Call, a hookhall.AnswerWriter) error {
				if string(call.Body) != half+rest || ctx.Err() != nil {
					t.Errorf("body %q, %v", call.Body, ctx.Err())
				}
				served.Add(1)
				a.Begin(http.StatusOK, http.Header{})
				return a.Chunk([]byte("whole"))
			}})
			drain := NewDrain(handler, handler.Refuse)
			server := httptest.NewServer(drain)
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\n"+half)
			for handler.Reading() == 0 {
				time.Sleep(time.Millisecond)
			}
			var end time.Time
			if c.stop > 0 {
				end = clock.Now().Add(c.stop)
			}
			began := time.Now()
			idle := make(chan int64, 1)
			go func() { idle <- drain.RefuseAndWait(t.Context(), end) }()
			if c.isServed {
				for drain.refused.Err() == nil {
					time.Sleep(time.Millisecond)
				}
				_, _ = io.WriteString(conn, rest)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			isServed := resp.StatusCode == http.StatusOK
			if isServed != c.isServed || (served.Load() > 0) != c.isServed || !isServed && (resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "") {
				t.Errorf("status %d, %d served, header %v", resp.StatusCode, served.Load(), resp.Header)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("answered after %v", took)
			}
			if n := <-idle; n != 0 {
				t.Errorf("%d requests in progress after the stop", n)
			}
		})
	}
}
