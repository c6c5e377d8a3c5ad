// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const wholeBody = "the whole answer"

// startServer starts a server that passes each connection to serve once the head of a request was read, and
// returns its URL.
func startServer(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) string {
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
	return "http://" + l.Addr().String()
}

// call makes one call with a body of size bytes, and returns the body of the answer.
func call(t *testing.T, url string, size int) (string, error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true}), Timeout: 20 * time.Second}
	resp, err := client.Post(url, "", bytes.NewReader(make([]byte, size)))
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
	if err != nil || body != wholeBody {
		t.Errorf("answer %q, %v", body, err)
	}
}

// expectError fails the test if an answer was accepted.
func expectError(t *testing.T, body string, err error) {
	t.Helper()
	if err == nil {
		t.Errorf("%q was taken for a whole answer", body)
	}
}

// TestHeads checks which answers are accepted.
func TestHeads(t *testing.T) {
	const ok, chunks = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n10\r\n" + wholeBody + "\r\n0\r\n"
	for name, c := range map[string]struct {
		answer string
		check  func(t *testing.T, body string, err error)
	}{
		"no length":                      {ok + "\r\n" + wholeBody, expectWhole},
		"length":                         {ok + "Content-Length: 16\r\n\r\n" + wholeBody, expectWhole},
		"chunks and a trailer":           {ok + chunks + "X-Sum: 1\r\n\r\n", expectWhole},
		"informational answer":           {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "\r\n" + wholeBody, expectWhole},
		"status 000":                     {"HTTP/1.1 000 Trouble\r\nContent-Length: 16\r\n\r\n" + wholeBody, expectError},
		"status 999":                     {"HTTP/1.1 999 x\r\nContent-Length: 16\r\n\r\n" + wholeBody, expectError},
		"blank in a name":                {ok + "X Bad: 1\r\nContent-Length: 16\r\n\r\n" + wholeBody, expectError},
		"control byte in a name":         {ok + "X\x01Bad: 1\r\nContent-Length: 16\r\n\r\n" + wholeBody, expectError},
		"blank behind Transfer-Encoding": {ok + strings.Replace(chunks, ":", " :", 1) + "\r\n", expectError},
		"blank in a name of a trailer":   {ok + chunks + "X Bad: 1\r\n\r\n", expectError},
		"blank in a name of a 103":       {"HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + ok + "\r\n" + wholeBody, expectError},
	} {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, func(conn *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(conn, c.answer) })
			body, err := call(t, url, 0)
			c.check(t, body, err)
		})
	}
}

// TestUpload checks which answers are accepted that come before the request was read.
func TestUpload(t *testing.T) {
	const size, tries = 6 << 20, 20
	for name, c := range map[string]struct {
		answer string
		end    func(c *net.TCPConn, r *http.Request)
		check  func(t *testing.T, body string, err error)
	}{
		"end, and the rest is read": {wholeBody, func(c *net.TCPConn, r *http.Request) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		}, expectWhole},
		"reset":                   {"the who", func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) }, expectError},
		"close with bytes unread": {"the who", func(*net.TCPConn, *http.Request) {}, expectError},
		"reset a moment later": {"the who", func(c *net.TCPConn, _ *http.Request) {
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
		}, expectError},
	} {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, func(conn *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+c.answer)
				c.end(conn, r)
			})
			for range tries {
				body, err := call(t, url, size)
				c.check(t, body, err)
			}
		})
	}
}

// TestHeadWithoutEnd guards against heads that are read until the end of the call: they fill the memory of this
// process.
func TestHeadWithoutEnd(t *testing.T) {
	const maxSent = 1 << 20 // bytes, with those in the buffers of the system
	for name, prefix := range map[string]string{
		"status line":    "HTTP/1.1 200 O",
		"field":          "HTTP/1.1 200 OK\r\nX: ",
		"1xx field":      "HTTP/1.1 103 Early Hints\r\nX: ",
		"no status line": "",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			url := startServer(t, func(c *net.TCPConn, _ *http.Request) {
				_ = c.SetWriteBuffer(4 << 10)
				_, err := io.WriteString(c, prefix)
				for block := bytes.Repeat([]byte("x"), 4096); err == nil; {
					var n int
					n, err = c.Write(block)
					sent.Add(int64(n))
				}
			})
			body, err := call(t, url, 0)
			expectError(t, body, err)
			if n := sent.Load(); n > maxSent {
				t.Errorf("%d bytes were sent", n)
			}
		})
	}
}
