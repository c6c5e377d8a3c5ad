// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
)

// fakePaths connects to a pipe whose other end sends answer and closes, by the path relay, or directly
// if that is "".
type fakePaths struct {
	relay    string
	answer   string
	breaks   bool // Broke says that the path is the cause
	isolated bool
	confirms bool
	answered int
}

// pathConn is a connection through a peer.
type pathConn struct {
	net.Conn
	relay string
}

func (c pathConn) Relay() string { return c.relay }

func (f *fakePaths) Connect(context.Context, string, int, func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		_, _ = theirs.Read(make([]byte, 4096))
		if f.answer == "silence" {
			_, _ = theirs.Read(make([]byte, 1))
		} else {
			_, _ = io.WriteString(theirs, f.answer)
		}
		_ = theirs.Close()
	}()
	if f.relay == "" {
		return newConn(ours, address), nil
	}
	return pathConn{ours, f.relay}, nil
}

func (f *fakePaths) Answered()         { f.answered++ }
func (f *fakePaths) Broke(string) bool { return f.breaks }
func (f *fakePaths) IsIsolated() bool  { return f.isolated }

func (f *fakePaths) ConfirmsRefusal(context.Context, string) bool { return f.confirms }

// TestRelayedExchange checks that a relayed connection carries one request, is named in the response, and
// says nothing about this process's own path.
func TestRelayedExchange(t *testing.T) {
	for name, relay := range map[string]string{"direct": "", "relayed": "10.0.0.2:1"} {
		t.Run(name, func(t *testing.T) {
			pool, paths := NewPool(), &fakePaths{relay: relay, answer: fixedLengthAnswer("1", "")}
			pool.Paths = paths
			resp, err := pool.Do(t.Context(), newTestRequest("1"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.Relay != relay {
				t.Errorf("relay %q, %v", resp.Relay, err)
			}
			isDirect := relay == ""
			if kept := len(pool.idleByAddress[address]) > 0; kept != isDirect {
				t.Errorf("kept: %v", kept)
			}
			if answered := paths.answered > 0; answered != isDirect {
				t.Errorf("counts as an answer on a direct connection: %v", answered)
			}
		})
	}
}

// TestBrokenPathIsMarked guards against failures that are held against a target though the cause is this
// process's path, and against those of a target that are not.
func TestBrokenPathIsMarked(t *testing.T) {
	const cut = "HTTP/1.1 200 OK\r\nCall: 1\r\nContent-Length: 10\r\n\r\nabc"
	for name, c := range map[string]struct {
		paths fakePaths
		want  bool
	}{
		"the target closed":                   {fakePaths{}, false},
		"the path broke":                      {fakePaths{breaks: true}, true},
		"the target broke off":                {fakePaths{answer: cut}, false},
		"the path broke in the body":          {fakePaths{answer: cut, breaks: true}, true},
		"the target broke off behind a relay": {fakePaths{answer: cut, breaks: true, relay: "10.0.0.2:1"}, false},
		"out of time":                         {fakePaths{answer: "silence"}, false},
		"out of time while isolated":          {fakePaths{answer: "silence", isolated: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			pool := NewPool()
			pool.Paths = &c.paths
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			resp, err := pool.Do(ctx, newTestRequest("1"))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			got := errors.Is(err, hookhall.ErrOwnPath)
			if failure := hookhall.AsError(err); failure != nil {
				got = got || failure.OwnPath
			}
			if err == nil || got != c.want {
				t.Errorf("%v, own path %v", err, got)
			}
		})
	}
}

// TestRefusalIsConfirmed guards against targets that count as crashed because this process alone gets
// its connections refused.
func TestRefusalIsConfirmed(t *testing.T) {
	for _, confirms := range []bool{false, true} {
		pool := NewPool()
		pool.Paths = &fakePaths{confirms: confirms}
		pool.Dial = func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		if got := pool.Refuses(t.Context(), address); got != confirms {
			t.Errorf("refuses: %v, peers confirm: %v", got, confirms)
		}
	}
}

// TestAbandonSilent checks that only requests are given up that may be sent again, have no answer, went
// out directly, and before the time.
func TestAbandonSilent(t *testing.T) {
	for name, c := range map[string]struct {
		relay         string
		newConnection bool
		sentAfter     bool
		wantClosed    int
	}{
		"direct":                {wantClosed: 1},
		"must run at most once": {newConnection: true},
		"relayed":               {relay: "10.0.0.2:1"},
		"sent after the time":   {sentAfter: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := NewPool()
				pool.Paths = &fakePaths{relay: c.relay, answer: "silence", breaks: true}
				r := newTestRequest("1")
				r.NewConnection = c.newConnection
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				failed := make(chan error, 1)
				go func() {
					_, err := pool.Do(ctx, r)
					failed <- err
				}()
				time.Sleep(time.Millisecond)
				before := time.Now()
				if c.sentAfter {
					before = before.Add(-time.Second)
				}
				if n := pool.AbandonSilent(before); n != c.wantClosed {
					t.Errorf("closed %d, want %d", n, c.wantClosed)
				}
				err := hookhall.AsError(<-failed)
				if isAbandoned := ctx.Err() == nil; isAbandoned != (c.wantClosed > 0) || err.Verdict != hookhall.MayHaveRun {
					t.Errorf("ended before its deadline: %v, %v", isAbandoned, err)
				}
				if c.wantClosed > 0 && !err.OwnPath {
					t.Error("held against the target")
				}
				if len(pool.awaiting) != 0 {
					t.Errorf("%d requests recorded", len(pool.awaiting))
				}
			})
		})
	}
}
