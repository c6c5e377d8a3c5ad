// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/buffer"
)

// plainDialect reads no header fields and writes Retry-After as a Go duration.
type plainDialect struct{ hookhall.Dialect }

func (plainDialect) Read(http.Header) (hookhall.CallInfo, error) {
	return hookhall.CallInfo{ID: "1"}, nil
}

// newTestHandler returns a Handler with a body budget of one megabyte.
func newTestHandler(s Service) *Handler {
	return NewHandler(s, plainDialect{}, buffer.NewBudget(1<<20), log.New(io.Discard))
}

func (plainDialect) EndToEnd(string) bool { return false }

func (plainDialect) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// serviceFunc is a Service that accepts bodies of up to 100 bytes.
type serviceFunc func(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error

func (f serviceFunc) Serve(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error {
	return f(ctx, c, a)
}
func (serviceFunc) MaxBody() int                                          { return 100 }
func (serviceFunc) TimeLimit(string, string, time.Duration) time.Duration { return time.Minute }

// eventListener calls event after the bytes of the second request on a connection were
// read and before the server receives them.
type eventListener struct {
	*Listener
	event func()
}

// eventConn is a connection of an eventListener.
type eventConn struct {
	net.Conn
	reads int
	event func()
}

func (l eventListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &eventConn{Conn: c, event: l.event}, nil
}

func (c *eventConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 {
		if c.reads++; c.reads == 2 {
			c.event()
		}
	}
	return n, err
}

// TestStopBetweenReadAndServe guards against a request that runs without an answer. The
// stop comes when the next request on a kept connection has been read and is not yet
// served; with net/http's SetKeepAlivesEnabled and Shutdown in place of the Drain, the
// service runs and the client gets no answer.
func TestStopBetweenReadAndServe(t *testing.T) {
	var served atomic.Int64
	handler := newTestHandler(serviceFunc(func(_ context.Context, _ *hookhall.Call, a hookhall.AnswerWriter) error {
		served.Add(1)
		a.Begin(http.StatusOK, http.Header{})
		return a.Chunk([]byte("whole"))
	}))
	drain := NewDrain(handler, handler.Refuse)
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: drain}
	go func() {
		_ = server.Serve(eventListener{listener, func() { drain.DisableKeepAlives(); listener.StopAccepting() }}) // ends with the test
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: served %d times, but got no answer: %v", i, served.Load(), err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" {
			t.Fatalf("body %q, error %v", b, err)
		}
		if i == 1 && !resp.Close {
			t.Fatal("the answer has no Connection: close")
		}
	}
	if left := drain.RefuseAndWait(t.Context(), time.Time{}); left != 0 {
		t.Fatalf("%d requests still in progress", left)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDrainRefusesNewRequests guards against a request that starts too late in a stop to
// be finished. One accepted on a kept connection 6.6 s after the signal, when the process
// had 8 s in all, was cut off; once the Drain refuses, new requests must not be served.
func TestDrainRefusesNewRequests(t *testing.T) {
	handler := newTestHandler(serviceFunc(func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error {
		t.Error("request served once the drain refuses")
		return nil
	}))
	drain := NewDrain(handler, handler.Refuse)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	drain.RefuseAndWait(ctx, time.Time{})
	w := newRecorder()
	r, _ := http.NewRequest(http.MethodGet, "/", http.NoBody)
	drain.ServeHTTP(w, r)
	if w.status != http.StatusServiceUnavailable || w.header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", w.status, w.header)
	}
}

// recorder is an http.ResponseWriter that keeps the answer.
type recorder struct {
	header http.Header
	status int
	body   []byte
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

func (w *recorder) Header() http.Header { return w.header }
func (w *recorder) WriteHeader(s int)   { w.status = s }
func (w *recorder) Write(b []byte) (int, error) {
	w.body = append(w.body, b...)
	return len(b), nil
}
