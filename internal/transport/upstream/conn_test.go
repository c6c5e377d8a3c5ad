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
	// callField is the header field with the call's ID, in requests and answers.
	callField = "Call"
)

// reply is the way a stand-in target answers one request.
type reply struct {
	name  string
	raw   func(id string) string // the bytes it sends
	close bool                   // it closes the connection after them
	// complete is set if the caller should receive the whole body, and kept if the
	// connection may carry another request afterwards.
	complete, kept bool
	idleTimeout    time.Duration // announced by the target, 0 for none
}

// fixedLengthAnswer returns an answer to call id with Content-Length and the additional
// header lines given.
func fixedLengthAnswer(id, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\n%sContent-Length: %d\r\n\r\nfor %s", id, fields, len("for "+id), id)
}

var replies = []reply{
	{name: "complete", complete: true, kept: true, raw: func(id string) string { return fixedLengthAnswer(id, "") }},
	{name: "chunked", complete: true, kept: true, raw: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\nfor %s\r\n0\r\n\r\n", id, len("for "+id), id)
	}},
	{name: "announces an idle timeout of three seconds", complete: true, kept: true, idleTimeout: 3 * time.Second, raw: func(id string) string { return fixedLengthAnswer(id, "Keep-Alive: timeout=3\r\n") }},
	{name: "asks to close", complete: true, raw: func(id string) string { return fixedLengthAnswer(id, "Connection: close\r\n") }},
	{name: "ends with its connection", complete: true, close: true, raw: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: %s\r\n\r\nfor %s", id, id)
	}},
	{name: "surplus bytes", complete: true, raw: func(id string) string { return fixedLengthAnswer(id, "") + fixedLengthAnswer("other", "") }},
	{name: "answer to another request first", complete: true, kept: true, raw: func(id string) string { return fixedLengthAnswer("late", "") + fixedLengthAnswer(id, "") }},
	{name: "informational answers first", complete: true, kept: true, raw: func(id string) string {
		return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10) + fixedLengthAnswer(id, "")
	}},
	{name: "informational answers without an end", raw: func(id string) string {
		return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000) + fixedLengthAnswer(id, "")
	}},
	{name: "only an answer to another request", close: true, raw: func(string) string { return fixedLengthAnswer("late", "") }},
	{name: "cut in the body", close: true, raw: func(id string) string { return strings.TrimSuffix(fixedLengthAnswer(id, ""), id) }},
	{name: "cut in the head", close: true, raw: func(id string) string { return fixedLengthAnswer(id, "")[:20] }},
	{name: "no answer", close: true, raw: func(string) string { return "" }},
	{name: "bytes that are no answer", close: true, raw: func(string) string { return "\x00\x01garbage\r\n\r\n" }},
}

// newTestConn returns a connection whose target answers each request with the next reply.
func newTestConn(answers <-chan reply) *conn {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		reader := bufio.NewReader(theirs)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			answer, ok := <-answers
			if !ok {
				return
			}
			_, _ = io.WriteString(theirs, answer.raw(r.Header.Get(callField)))
			if answer.close {
				return
			}
		}
	}()
	return newConn(ours, address)
}

// newTestRequest returns a request that accepts only an answer with the same ID.
func newTestRequest(id string) Request {
	return Request{
		Address: address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{callField: {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get(callField) == id },
	}
}

// TestReplies checks for each kind of reply whether the caller receives the whole body and
// whether the connection is kept.
func TestReplies(t *testing.T) {
	for _, a := range replies {
		t.Run(a.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answers := make(chan reply, 1)
				answers <- a
				pool := NewPool()
				complete := exchangeAndRead(t, pool, newTestConn(answers), "1")
				if complete != a.complete {
					t.Errorf("complete %v, not %v", complete, a.complete)
				}
				kept := pool.takeIdle(address, time.Now())
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

// exchangeAndRead makes one exchange and reports whether the whole answer was received.
func exchangeAndRead(t interface {
	Helper()
	Errorf(string, ...any)
}, p *Pool, c *conn, id string) bool {
	t.Helper()
	resp, err := p.exchange(context.Background(), c, newTestRequest(id))
	if err != nil {
		if v := hookhall.AsError(err).Verdict; v == hookhall.NotRun {
			t.Errorf("verdict not-run for a request that was written")
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

// TestConnections checks kept connections against a model, over random series of replies
// and pauses: each request receives its own answer, and a connection is reused only if its
// last exchange was complete and its idle timeout has not passed.
func TestConnections(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(replies)-1), 1, 12).Draw(rt, "replies")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 6000), len(steps), len(steps)).Draw(rt, "pauses in ms")
		synctest.Test(t, func(*testing.T) {
			pool := NewPool()
			answers := make(chan reply, 1)
			var idleSince time.Time
			var idleTimeout time.Duration // idle timeout of the connection that should be kept, 0 for none
			for i, s := range steps {
				a := replies[s]
				c := pool.takeIdle(address, time.Now())
				if reusable := idleTimeout > 0 && time.Since(idleSince) < idleTimeout; (c != nil) != reusable {
					rt.Fatalf("step %d: connection reused: %v, not %v (idle %v of %v)", i, c != nil, reusable, time.Since(idleSince), idleTimeout)
				}
				if c == nil {
					c = newTestConn(answers)
				}
				answers <- a
				if complete := exchangeAndRead(rt, pool, c, fmt.Sprint(i)); complete != a.complete {
					rt.Fatalf("step %d, %s: complete %v, not %v", i, a.name, complete, a.complete)
				}
				idleTimeout, idleSince = 0, time.Now()
				if a.kept {
					idleTimeout = defaultIdleTimeout
				}
				if a.kept && a.idleTimeout > 0 {
					idleTimeout = a.idleTimeout - idleTimeoutMargin
				}
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
				if rapid.Bool().Draw(rt, "swept") {
					pool.Sweep(time.Now())
				}
			}
			pool.Sweep(time.Now().Add(time.Hour))
		})
	})
}

// TestVerdicts guards against a wrong verdict, by which a request could run twice: it is
// not-run only if not a byte was written. It also checks that the end of the context ends
// the call and that a connection with an unread answer is not reused.
func TestVerdicts(t *testing.T) {
	t.Run("closed before a byte was written", func(t *testing.T) {
		ours, theirs := net.Pipe()
		_ = theirs.Close()
		_, err := NewPool().exchange(t.Context(), newConn(ours, address), newTestRequest("1"))
		if verdict := hookhall.AsError(err).Verdict; verdict != hookhall.NotRun {
			t.Errorf("verdict %v", verdict)
		}
	})
	t.Run("silent until the context ends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			answers := make(chan reply)
			defer close(answers)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			start := time.Now()
			_, err := NewPool().exchange(ctx, newTestConn(answers), newTestRequest("1"))
			e := hookhall.AsError(err)
			if e == nil || e.Verdict != hookhall.MayHaveRun || e.Cause != hookhall.CauseCanceled {
				t.Errorf("%v", err)
			}
			if elapsed := time.Since(start); elapsed != 2*time.Second {
				t.Errorf("ended after %v", elapsed)
			}
		})
	})
	t.Run("a body not read to its end", func(t *testing.T) {
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
				t.Error("its connection is reused")
			}
		})
	})
}

// TestDialTimeout guards against long waits for a target that accepts no connection: its
// listen queue is full, so that a request fails after a quarter of a second, as not run.
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
	fullAddress := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	// Nothing accepts, so that the listen queue fills up and further SYNs are dropped.
	for range 4 {
		if c, err := net.DialTimeout("tcp", fullAddress, 50*time.Millisecond); err == nil {
			defer c.Close()
		}
	}
	start := time.Now()
	_, err = NewPool().Do(t.Context(), Request{Address: fullAddress, Method: "GET", URI: "/"})
	if e := hookhall.AsError(err); err == nil || e.Verdict != hookhall.NotRun {
		t.Fatalf("%v", err)
	}
	if elapsed := time.Since(start); elapsed < dialTimeout || elapsed > dialTimeout+300*time.Millisecond {
		t.Errorf("failed after %v", elapsed)
	}
}
