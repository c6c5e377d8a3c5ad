// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// unnamedTarget answers the first request of a connection with its id, and all others twice without one.
func unnamedTarget(t *testing.T) (address string) {
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
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
					if n == 0 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
						continue
					}
					_, _ = io.WriteString(c, refusal+refusal)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestUnnamedAnswer guards against waiting for another answer after one without an id on a kept connection,
// and against its second copy being taken for the answer to the next request.
func TestUnnamedAnswer(t *testing.T) {
	p := NewPool()
	address := unnamedTarget(t)
	for i, want := range []int{200, 503, 200, 503, 200} {
		resp, err := p.Do(t.Context(), Request{
			Address: address, Method: http.MethodGet, URI: "/", Host: "x", Header: http.Header{"Id": {"1"}},
			Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" },
			MatchesUnnamed: func(status int, h http.Header) bool {
				return status == http.StatusServiceUnavailable && h.Get("Id") == ""
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.Status != want {
			t.Errorf("request %d: status %d, want %d", i, resp.Status, want)
		}
	}
	if n := p.Dials(); n != 3 {
		t.Errorf("%d connections, want 3: an answer without an id ends its connection", n)
	}
}
