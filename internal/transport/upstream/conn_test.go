// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"pgregory.net/rapid"
)

const (
	address = "target:1"
	// callField names a call to the stand-in, and in its answers.
	callField = "Call"
)

// reply is how a stand-in target answers one request.
type reply struct {
	name  string
	raw   func(id string) string // what it sends
	close bool                   // it closes behind that
	// whole tells that the caller should get the whole body, and kept that the
	// connection may serve another request then.
	complete, kept bool
	idleTimeout    time.Duration // as named by the target, 0 for none
}

func fixedLengthAnswer(id, more string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\n%sContent-Length: %d\r\n\r\nfor %s", id, more, len("for "+id), id)
}

var replies = []reply{
	{name: "whole", complete: true, kept: true, raw: func(id string) string { return fixedLengthAnswer(id, "") }},
	{name: "chunked", complete: true, kept: true, raw: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\nfor %s\r\n0\r\n\r\n", id, len("for "+id), id)
	}},
	{name: "keeps three seconds", complete: true, kept: true, idleTimeout: 3 * time.Second, raw: func(id string) string { return fixedLengthAnswer(id, "Keep-Alive: timeout=3\r\n") }},
	{name: "asks to close", complete: true, raw: func(id string) string { return fixedLengthAnswer(id, "Connection: close\r\n") }},
	{name: "ends with its connection", complete: true, close: true, raw: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\n\r\nfor %s", id, id)
	}},
	{name: "surplus bytes", complete: true, raw: func(id string) string { return fixedLengthAnswer(id, "") + fixedLengthAnswer("other", "") }},
	{name: "another's answer first", complete: true, kept: true, raw: func(id string) string { return fixedLengthAnswer("late", "") + fixedLengthAnswer(id, "") }},
	{name: "only another's answer", close: true, raw: func(string) string { return fixedLengthAnswer("late", "") }},
	{name: "cut in the body", close: true, raw: func(id string) string { return strings.TrimSuffix(fixedLengthAnswer(id, ""), id) }},
	{name: "cut in the head", close: true, raw: func(id string) string { return fixedLengthAnswer(id, "")[:20] }},
	{name: "no answer", close: true, raw: func(string) string { return "" }},
	{name: "bytes that are no answer", close: true, raw: func(string) string { return "\x00\x01garbage\r\n\r\n" }},
}

// pair is a connection whose target answers each request by the next reply.
func newTestConn(answers <-chan reply) *conn {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		in := bufio.NewReader(theirs)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			a, ok := <-answers
			if !ok {
				return
			}
			_, _ = io.WriteString(theirs, a.raw(r.Header.Get(callField)))
			if a.close {
				return
			}
		}
	}()
	return newConn(ours, address)
}

func newTestRequest(id string) Request {
	return Request{
		Address: address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{callField: {id}},
		Belongs: func(_ int, h http.Header) bool { return h.Get(callField) == id },
	}
}

// TestReplies: what each way of answering makes of the call and the connection.
func TestReplies(t *testing.T) {
	for _, a := range replies {
		t.Run(a.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answers := make(chan reply, 1)
				answers <- a
				p := NewPool()
				whole := exchangeAndRead(t, p, newTestConn(answers), "1")
				if whole != a.complete {
					t.Errorf("whole %v, not %v", whole, a.complete)
				}
				kept := p.takeIdle(address, time.Now())
				if (kept != nil) != a.kept {
					t.Errorf("kept %v, not %v", kept != nil, a.kept)
				}
				if kept != nil {
					_ = kept.Close()
				}
			})
		})
	}
}

// read makes one exchange, and tells whether the whole answer came.
func exchangeAndRead(t interface {
	Helper()
	Errorf(string, ...any)
}, p *Pool, c *conn, id string) bool {
	t.Helper()
	resp, err := p.exchange(context.Background(), c, newTestRequest(id))
	if err != nil {
		if v := hookhall.AsError(err).Verdict; v == hookhall.NotRun {
			t.Errorf("a request that was written is said not to have run")
		}
		return false
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return false
	}
	if string(b) != "for "+id {
		t.Errorf("request %s got %q", id, b)
	}
	return true
}

// TestConnections is the state machine of kept connections: over any series of
// answers and pauses, an answer is its own request's, and a connection is used
// again only if all was well with it and its target still keeps it.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(replies)-1), 1, 12).Draw(rt, "replies")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 6000), len(steps), len(steps)).Draw(rt, "pauses in ms")
		synctest.Test(t, func(*testing.T) {
			p := NewPool()
			answers := make(chan reply, 1)
			var idle time.Time
			var keep time.Duration // of the connection that should be kept, 0 for none
			for i, s := range steps {
				a := replies[s]
				c := p.takeIdle(address, time.Now())
				if may := keep > 0 && time.Since(idle) < keep; (c != nil) != may {
					rt.Fatalf("step %d: a connection is used again: %v, not %v (idle %v of %v)", i, c != nil, may, time.Since(idle), keep)
				}
				if c == nil {
					c = newTestConn(answers)
				}
				answers <- a
				if got := exchangeAndRead(rt, p, c, fmt.Sprint(i)); got != a.complete {
					rt.Fatalf("step %d, %s: whole %v, not %v", i, a.name, got, a.complete)
				}
				keep, idle = 0, time.Now()
				if a.kept {
					keep = defaultIdleTimeout
				}
				if a.kept && a.idleTimeout > 0 {
					keep = a.idleTimeout - idleTimeoutMargin
				}
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				if rapid.Bool().Draw(rt, "swept") {
					p.Sweep(time.Now())
				}
			}
			p.Sweep(time.Now().Add(time.Hour))
		})
	})
}

// TestVerdicts: an error says that nothing ran only if not a byte was written, and
// the context's end ends the call.
func TestVerdicts(t *testing.T) {
	t.Run("closed before a byte was written", func(t *testing.T) {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		_, err := NewPool().exchange(t.Context(), newConn(ours, address), newTestRequest("1"))
		if v := hookhall.AsError(err).Verdict; v != hookhall.NotRun {
			t.Errorf("verdict %v", v)
		}
	})
	t.Run("silent until the context ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			answers := make(chan reply)
			defer close(answers)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			began := time.Now()
			_, err := NewPool().exchange(ctx, newTestConn(answers), newTestRequest("1"))
			e := hookhall.AsError(err)
			if e == nil || e.Verdict != hookhall.MayHaveRun || e.Cause != hookhall.CauseCanceled {
				t.Errorf("%v", err)
			}
			if took := time.Since(began); took != 2*time.Second {
				t.Errorf("took %v", took)
			}
		})
	})
	t.Run("a body that is not read to its end", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			answers := make(chan reply, 1)
			answers <- replies[0]
			p := NewPool()
			resp, err := p.exchange(t.Context(), newTestConn(answers), newTestRequest("1"))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if p.takeIdle(address, time.Now()) != nil {
				t.Error("its connection is used again")
			}
		})
	})
}

// TestDialTimeout: a target that takes no connection costs a request a quarter of a
// second, and the proof that it has not run.
func TestDialTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	full := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	// Nobody accepts, so that the queue fills up and further opening packets are dropped.
	for range 4 {
		if c, err := net.DialTimeout("tcp", full, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	began := time.Now()
	_, err = NewPool().Do(t.Context(), Request{Address: full, Method: "GET", URI: "/"})
	if e := hookhall.AsError(err); err == nil || e.Verdict != hookhall.NotRun {
		t.Fatalf("%v", err)
	}
	if took := time.Since(began); took < dialTimeout || took > dialTimeout+300*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}
