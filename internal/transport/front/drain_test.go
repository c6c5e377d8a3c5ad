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

// plainDialect reads nothing and writes Retry-After.
type plainDialect struct{ hookhall.Dialect }

func (plainDialect) Read(http.Header) (hookhall.CallInfo, error) {
	return hookhall.CallInfo{ID: "1"}, nil
}

// newTestHandler makes a Handler with room for a megabyte of bodies.
func newTestHandler(s Service) *Handler {
	return NewHandler(s, plainDialect{}, buffer.NewBudget(1<<20), log.New(io.Discard))
}

func (plainDialect) EndToEnd(string) bool { return false }

func (plainDialect) Refusal(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// serviceFunc is a Service.
type serviceFunc func(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error

func (f serviceFunc) Serve(ctx context.Context, c *hookhall.Call, a hookhall.AnswerWriter) error {
	return f(ctx, c, a)
}
func (serviceFunc) MaxBody() int { return 100 }

// eventListener calls an event when the bytes of a second request were read, and
// before the server has seen them.
type eventListener struct {
	*Listener
	event func()
}

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

// TestStopBetweenReadAndServe: a kept connection's next request has been read when
// the stop comes. With net/http's SetKeepAlivesEnabled and Shutdown in place of the
// Drain, the service runs and the client gets nothing.
func TestStopBetweenReadAndServe(t *testing.T) {
	var served atomic.Int64
	h := newTestHandler(serviceFunc(func(_ context.Context, _ *hookhall.Call, a hookhall.AnswerWriter) error {
		served.Add(1)
		a.Begin(http.StatusOK, http.Header{})
		return a.Chunk([]byte("whole"))
	}))
	d := NewDrain(h, h.Refuse)
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: d}
	go func() {
		_ = s.Serve(eventListener{l, func() { d.Close(); l.StopAccepting() }}) // ends with the test
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for i := range 2 {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: served %d times, and no answer: %v", i, served.Load(), err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" {
			t.Fatalf("%q %v", b, err)
		}
		if i == 1 && !resp.Close {
			t.Fatal("the answer does not ask the client to close")
		}
	}
	if left := d.Finish(t.Context()); left != 0 {
		t.Fatalf("%d requests left", left)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestDrainRefusesInTheEnd: what comes in the end is refused, not served. A request
// taken on a kept connection 6.6 s after the signal, of 8 s in all, is cut off.
func TestDrainRefusesInTheEnd(t *testing.T) {
	h := newTestHandler(serviceFunc(func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error {
		t.Error("served after the drain")
		return nil
	}))
	d := NewDrain(h, h.Refuse)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.Finish(ctx)
	w := newRecorder()
	r, _ := http.NewRequest(http.MethodGet, "/", http.NoBody)
	d.ServeHTTP(w, r)
	if w.status != http.StatusServiceUnavailable || w.header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", w.status, w.header)
	}
}

// recorder is an http.ResponseWriter.
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
