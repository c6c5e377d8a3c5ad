// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// serveOn serves handler at a loopback address, which it returns, with small buffers.
func serveOn(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// connect opens a connection that the test closes.
func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	return c
}

// assertStatusWithin fails the test unless an answer with a status comes within a time.
func assertStatusWithin(t *testing.T, c net.Conn, status int, limit time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer within %v: %v", limit, err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != status {
		t.Errorf("status %d, want %d", resp.StatusCode, status)
	}
}

// halfRequest is a request whose body lacks its last byte.
const halfRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n"

// TestStopEndsWaitForBody guards against requests without an answer at the end of a stop, because the rest of their body did
// not come.
func TestStopEndsWaitForBody(t *testing.T) {
	handler := newTestHandler(serviceFunc(func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error { return nil }))
	drain := NewDrain(handler, handler.Refuse)
	c := connect(t, serveOn(t, drain))
	_, _ = io.WriteString(c, halfRequest+strings.Repeat("b", 49))
	for handler.Reading() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if left := drain.CancelAndWait(ctx); left != 0 {
		t.Errorf("%d requests are left after a second", left)
	}
	assertStatusWithin(t, c, http.StatusServiceUnavailable, 2*refusalTimeout)
}

// TestRefusalWaitsForBody guards against refusals that wait for the rest of a body, which net/http reads before it
// writes, without an end.
func TestRefusalWaitsForBody(t *testing.T) {
	handler := newTestHandler(serviceFunc(func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error { return nil }))
	drain := NewDrain(handler, handler.Refuse)
	drain.RefuseAndWait(t.Context(), time.Time{})
	c := connect(t, serveOn(t, drain))
	_, _ = io.WriteString(c, halfRequest+strings.Repeat("b", 49))
	assertStatusWithin(t, c, http.StatusServiceUnavailable, 2*refusalTimeout)
}

// TestUnreadRefusals guards against connections that stay for good because their clients send requests that are refused and
// read no answer.
func TestUnreadRefusals(t *testing.T) {
	handler := newTestHandler(serviceFunc(func(context.Context, *hookhall.Call, hookhall.AnswerWriter) error {
		return hookhall.Errorf(hookhall.NotRun, hookhall.CauseNoRoute, "no route")
	}))
	c := connect(t, serveOn(t, handler))
	request := []byte(strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000))
	// A write blocks once the server does not read on, because an answer can't be written.
	for blocked := false; !blocked; {
		_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := c.Write(request)
		blocked = errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !blocked {
			t.Fatal(err)
		}
	}
	_ = c.SetWriteDeadline(time.Now().Add(3 * refusalTimeout))
	for {
		if _, err := c.Write(request); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection is still open")
		} else if err != nil {
			return // it was closed
		}
	}
}

// TestAnswerEndsWithRequest guards against an answer that is written for longer than its request may take, because its
// client reads a little of it now and then.
func TestAnswerEndsWithRequest(t *testing.T) {
	const limit = 500 * time.Millisecond
	ended := make(chan error, 1)
	handler := newTestHandler(limitedService{serviceFunc(func(_ context.Context, _ *hookhall.Call, a hookhall.AnswerWriter) error {
		a.Begin(http.StatusOK, nil)
		err := a.Chunk(make([]byte, 64<<20))
		ended <- err
		return err
	}), limit})
	c := connect(t, serveOn(t, handler))
	began := time.Now()
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	go func() {
		for range 1000 { // some bytes each time, so that no single write takes long
			if _, err := io.CopyN(io.Discard, c, 16<<10); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	select {
	case err := <-ended:
		if took := time.Since(began); err == nil || took < limit {
			t.Errorf("ended after %v with error %v", took, err)
		}
	case <-time.After(limit + 2*answerMargin):
		t.Error("the answer is still written")
	}
}

// limitedService is a Service whose requests have a time limit.
type limitedService struct {
	serviceFunc
	limit time.Duration
}

func (s limitedService) TimeLimit(string, string, time.Duration) time.Duration { return s.limit }
