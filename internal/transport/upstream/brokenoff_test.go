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
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/transport/sockets"
)

const (
	// uploadSize is the size of a body in bytes that does not fit into the buffers of the system.
	uploadSize = 6 << 20
	// brokenOffTries is how often a connection is broken off in each way: whether a read or a write
	// learns of that first differs.
	brokenOffTries = 20
	// wholeAnswer is an answer whose end is that of its connection, and answerPart a part of it.
	wholeAnswer = "HTTP/1.1 200 OK\r\nCall: a\r\n\r\nthe whole answer"
	answerPart  = "HTTP/1.1 200 OK\r\nCall: a\r\n\r\nthe who"
)

// startRawTarget starts a target that passes each connection to serve once the head of a request was
// read, and returns its address.
func startRawTarget(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// resetConn breaks a connection off with a reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// newPatientPool returns a pool whose connections may take long to open: the uploads of a test keep the
// loopback busy.
func newPatientPool() *Pool {
	p := NewPool()
	p.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return sockets.TargetDialer(10*time.Second).DialContext(ctx, "tcp", address)
	}
	return p
}

// upload sends a request with a body of size bytes to a target, and returns the body of the answer.
func upload(t *testing.T, p *Pool, address string, size int) (string, error) {
	t.Helper()
	r := newTestRequest("a")
	r.Address, r.Method, r.Body, r.NewConnection = address, http.MethodPost, make([]byte, size), true
	resp, err := p.Do(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// expectWhole fails the test unless an answer is whole.
func expectWhole(t *testing.T, body string, err error) {
	t.Helper()
	if err != nil || !strings.HasSuffix(wholeAnswer, "\r\n\r\n"+body) {
		t.Errorf("answer %q, %v", body, err)
	}
}

// TestAnswerBrokenOffDuringUpload guards against a part of an answer that is taken for all of it: the
// target broke the connection off while the request was being written, and only the write learned of that.
func TestAnswerBrokenOffDuringUpload(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset":                    resetConn,
		"close with bytes unread":  func(c *net.TCPConn) { _ = c.Close() },
		"end, then a reset":        func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Millisecond); resetConn(c) },
		"end, then a close":        func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Millisecond) },
		"reset after more is read": func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, 1<<20); resetConn(c) },
	}
	for name, end := range ends {
		for _, delay := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v after the head", name, delay), func(t *testing.T) {
				address := startRawTarget(t, func(c *net.TCPConn, _ *http.Request) {
					time.Sleep(delay)
					_, _ = io.WriteString(c, answerPart)
					end(c)
				})
				for range brokenOffTries {
					body, err := upload(t, newPatientPool(), address, uploadSize)
					if err == nil {
						t.Fatalf("%q was taken for a whole answer", body)
					}
					if failure := hookhall.AsError(err); failure != nil && failure.Verdict == hookhall.NotRun {
						t.Fatalf("verdict not-run of a request whose head was read: %v", err)
					}
				}
			})
		}
	}
}

// TestEarlyAnswers checks that whole answers are accepted from targets that have not read the request to
// its end.
func TestEarlyAnswers(t *testing.T) {
	const body = "the whole answer"
	withLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	inChunks := fmt.Sprintf("HTTP/1.1 200 OK\r\nCall: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	closeWriteAndRead := func(c *net.TCPConn, r *http.Request) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	}
	for name, c := range map[string]struct {
		answer string
		end    func(c *net.TCPConn, r *http.Request)
	}{
		"a length, and the rest is read":     {withLength, func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }},
		"chunks, and the rest is read":       {inChunks, func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }},
		"a length and an end":                {withLength, closeWriteAndRead},
		"chunks and an end":                  {inChunks, closeWriteAndRead},
		"an end, and the rest is read":       {wholeAnswer, closeWriteAndRead},
		"an end after the request was read":  {wholeAnswer, func(c *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body); _ = c.CloseWrite() }},
		"a close after the request was read": {wholeAnswer, func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }},
		"a slow end, and the rest is read":   {wholeAnswer, func(c *net.TCPConn, r *http.Request) { time.Sleep(20 * time.Millisecond); closeWriteAndRead(c, r) }},
		"an end while the rest is read slowly": {wholeAnswer, func(c *net.TCPConn, r *http.Request) {
			_ = c.CloseWrite()
			for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
				_, err = io.CopyN(io.Discard, r.Body, 256<<10)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			address := startRawTarget(t, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, c.answer)
				c.end(conn, r)
			})
			for range brokenOffTries {
				body, err := upload(t, newPatientPool(), address, uploadSize)
				expectWhole(t, body, err)
			}
		})
	}
}
