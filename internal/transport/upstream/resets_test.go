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
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/quota"
)

// limitedTarget is a target that accepts up to maxConns connections and resets others as
// soon as they are open.
type limitedTarget struct {
	address   string
	maxConns  atomic.Int64
	openConns atomic.Int64
	resets    atomic.Int64
	served    atomic.Int64
}

// newLimitedTarget starts a limitedTarget that runs until the test ends.
func newLimitedTarget(t *testing.T, maxConns int) *limitedTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &limitedTarget{address: listener.Addr().String()}
	target.maxConns.Store(int64(maxConns))
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			target.accept(c.(*net.TCPConn))
		}
	}()
	return target
}

// accept serves a connection, or resets it if maxConns are open.
func (t *limitedTarget) accept(c *net.TCPConn) {
	if t.openConns.Add(1) > t.maxConns.Load() {
		t.openConns.Add(-1)
		t.resets.Add(1)
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	go func() {
		defer func() { _ = c.Close(); t.openConns.Add(-1) }()
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(2 * time.Millisecond)
			t.served.Add(1)
			if _, err := io.WriteString(c, fixedLengthAnswer(r.Header.Get(callField), "")); err != nil {
				return
			}
		}
	}()
}

// send makes one request and reads its answer to the end.
func send(t *testing.T, p *Pool, address, id string, newConnection bool) error {
	t.Helper()
	r := newTestRequest(id)
	r.Address, r.NewConnection = address, newConnection
	resp, err := p.Do(t.Context(), r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// TestConnectionsOfAFleet guards against targets that reset connections because the idle
// ones of all gateways occupy their connection slots. It runs bursts of 60 gateways against
// three targets with 100 slots each. As each gateway keeps idle connections only within its
// share, no target resets one; without shares, the idle ones alone would occupy all slots.
func TestConnectionsOfAFleet(t *testing.T) {
	const gateways, maxConns, bursts, requestsPerTarget = 60, 100, 4, 3
	var targets []*limitedTarget
	for range 3 {
		targets = append(targets, newLimitedTarget(t, maxConns))
	}
	running := make(chan struct{}, 40) // requests in progress, of all gateways
	var wg sync.WaitGroup
	for rank := range gateways {
		position := quota.Position{Count: gateways, Index: rank}
		pool := NewPool()
		pool.MaxIdle = func(address string) int { return position.Share(maxConns/2, address) }
		t.Cleanup(func() { pool.Sweep(time.Now().Add(time.Hour)) })
		for burst := range bursts {
			for n := range requestsPerTarget * len(targets) {
				wg.Go(func() {
					time.Sleep(time.Duration(burst) * 60 * time.Millisecond)
					running <- struct{}{}
					defer func() { <-running }()
					if err := send(t, pool, targets[n%len(targets)].address, fmt.Sprint(rank, "-", burst, "-", n), n%2 == 0); err != nil {
						t.Errorf("gateway %d: %v", rank, err)
					}
				})
			}
		}
	}
	wg.Wait()
	for i, target := range targets {
		if n := target.resets.Load(); n > 0 {
			t.Errorf("target %d reset %d connections", i, n)
		}
		if want := int64(gateways * bursts * requestsPerTarget); target.served.Load() != want {
			t.Errorf("target %d served %d of %d requests", i, target.served.Load(), want)
		}
	}
}

// TestAwaitReset checks that a reset is waited for as long as it may take, and no longer.
func TestAwaitReset(t *testing.T) {
	const wait = 20 * time.Millisecond
	for name, c := range map[string]struct {
		resetAfter time.Duration
		found      bool
	}{
		"at once":             {0, true},
		"while it is awaited": {wait - time.Millisecond, true},
		"later":               {wait + time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				own, other := net.Pipe()
				time.AfterFunc(c.resetAfter, func() { _ = other.Close() })
				synctest.Wait()
				began := time.Now()
				err := newConn(own, "target").awaitReset(wait)
				if took := time.Since(began); (err != nil) != c.found || took != min(c.resetAfter, wait) {
					t.Errorf("%v after %v", err, took)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestResetBeforeRequest guards against requests that can't be retried because their verdict
// is may-have-run. Once a target has reset a new connection, further ones are watched for a
// reset before the request is written, so that a request without a slot has not run.
func TestResetBeforeRequest(t *testing.T) {
	target := newLimitedTarget(t, 0)
	pool := NewPool()
	dial := pool.Dial
	pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		before := target.resets.Load()
		c, err := dial(ctx, address)
		// How soon the target resets depends on the load of the machine, and a reset that comes after
		// the request was written proves nothing.
		for err == nil && target.maxConns.Load() == 0 && target.resets.Load() == before {
			time.Sleep(100 * time.Microsecond)
		}
		return c, err
	}
	if err := send(t, pool, target.address, "first", true); err == nil {
		t.Fatal("a target without connection slots served a request")
	}
	if !pool.recentlyReset(target.address, time.Now()) {
		pool.recordReset(target.address, time.Now()) // the first reset arrived before the request was written
	}
	for n := range 20 {
		err := send(t, pool, target.address, fmt.Sprint(n), true)
		if err == nil || hookhall.AsError(err).Verdict != hookhall.NotRun {
			t.Fatalf("%v", err)
		}
	}
	t.Run("a freed connection slot is used", func(t *testing.T) {
		target.maxConns.Store(1)
		if err := send(t, pool, target.address, "last", true); err != nil {
			t.Error(err)
		}
	})
}

// TestIdleLimit guards against idle connections that occupy slots of a target without use:
// they are kept only while requests for kept ones arrive, and within the process's share.
func TestIdleLimit(t *testing.T) {
	idleCount := func(p *Pool, address string) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idleByAddress[address])
	}
	for _, test := range []struct {
		name          string
		share         int
		newConnection []bool // of each request in turn
		want          int
	}{
		{"only requests for a new connection", 5, []bool{true, true, true}, 0},
		{"a request that may use a kept connection", 5, []bool{true, false}, 1},
		{"with requests for new connections beside it", 5, []bool{false, true, true}, 3},
		{"a share of one connection", 1, []bool{false, true, true}, 1},
		{"a share of zero", 0, []bool{false, true, false}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := newLimitedTarget(t, 100)
			p := NewPool()
			p.MaxIdle = func(string) int { return test.share }
			defer p.Sweep(time.Now().Add(time.Hour))
			for i, newConnection := range test.newConnection {
				if err := send(t, p, target.address, fmt.Sprint(i), newConnection); err != nil {
					t.Fatal(err)
				}
			}
			if n := idleCount(p, target.address); n != test.want {
				t.Errorf("%d idle connections, not %d", n, test.want)
			}
		})
	}
}
