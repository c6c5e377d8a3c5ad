// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/quota"
)

// limitedTarget takes so many connections and resets others as soon as they are open.
type limitedTarget struct {
	address   string
	maxConns  atomic.Int64
	openConns atomic.Int64
	resets    atomic.Int64
	served    atomic.Int64
}

func newLimitedTarget(t *testing.T, most int) *limitedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &limitedTarget{address: l.Addr().String()}
	s.maxConns.Store(int64(most))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accept(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *limitedTarget) accept(c *net.TCPConn) {
	if s.openConns.Add(1) > s.maxConns.Load() {
		s.openConns.Add(-1)
		s.resets.Add(1)
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	go func() {
		defer func() { _ = c.Close(); s.openConns.Add(-1) }()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(2 * time.Millisecond)
			s.served.Add(1)
			if _, err := io.WriteString(c, fixedLengthAnswer(r.Header.Get(callField), "")); err != nil {
				return
			}
		}
	}()
}

// send makes one request and reads its answer.
func send(t *testing.T, p *Pool, address, id string, fresh bool) error {
	t.Helper()
	r := newTestRequest(id)
	r.Address, r.Fresh = address, fresh
	resp, err := p.Do(t.Context(), r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// TestConnectionsOfAFleet replays bursts of 60 gateways before three targets that take
// 100 connections each: by their parts they never take a place too many, where idle
// connections alone would fill all places without parts.
func TestConnectionsOfAFleet(t *testing.T) {
	const gateways, most, bursts, atOnce = 60, 100, 4, 3
	var targets []*limitedTarget
	for range 3 {
		targets = append(targets, newLimitedTarget(t, most))
	}
	running := make(chan struct{}, 40) // requests in progress, of all gateways
	var wg sync.WaitGroup
	for place := range gateways {
		sharers := quota.Sharers{Count: gateways, Place: place}
		p := NewPool()
		p.Resting = func(address string) int { return sharers.Part(most/2, address) }
		t.Cleanup(func() { p.Sweep(time.Now().Add(time.Hour)) })
		for burst := range bursts {
			for n := range atOnce * len(targets) {
				wg.Go(func() {
					time.Sleep(time.Duration(burst) * 60 * time.Millisecond)
					running <- struct{}{}
					defer func() { <-running }()
					if err := send(t, p, targets[n%len(targets)].address, fmt.Sprint(place, "-", burst, "-", n), n%2 == 0); err != nil {
						t.Errorf("gateway %d: %v", place, err)
					}
				})
			}
		}
	}
	wg.Wait()
	for i, s := range targets {
		if n := s.resets.Load(); n > 0 {
			t.Errorf("target %d reset %d connections", i, n)
		}
		if want := int64(gateways * bursts * atOnce); s.served.Load() != want {
			t.Errorf("target %d served %d of %d requests", i, s.served.Load(), want)
		}
	}
}

// TestResetBeforeRequest: once a target has reset a new connection, a request for which it has
// no place is known not to have run.
func TestResetBeforeRequest(t *testing.T) {
	s := newLimitedTarget(t, 0)
	p := NewPool()
	if err := send(t, p, s.address, "first", true); err == nil {
		t.Fatal("a target without places served a request")
	}
	if !p.recentlyReset(s.address, time.Now()) {
		p.recordReset(s.address, time.Now()) // the first reset came before the request
	}
	for n := range 20 {
		err := send(t, p, s.address, fmt.Sprint(n), true)
		if err == nil || hookhall.AsError(err).Verdict != hookhall.NotRun {
			t.Fatalf("%v", err)
		}
	}
	t.Run("a place that has come free is used", func(t *testing.T) {
		s.maxConns.Store(1)
		if err := send(t, p, s.address, "last", true); err != nil {
			t.Error(err)
		}
	})
}

// TestIdleLimit: connections rest only while somebody asks for kept ones, and within the
// process's part.
func TestIdleLimit(t *testing.T) {
	resting := func(p *Pool, address string) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.idleByAddress[address])
	}
	for _, c := range []struct {
		name  string
		part  int
		fresh []bool // of each request in turn
		want  int
	}{
		{"requests that need a new connection alone", 5, []bool{true, true, true}, 0},
		{"one that may use a kept one", 5, []bool{true, false}, 1},
		{"new ones beside it", 5, []bool{false, true, true}, 3},
		{"a part of one", 1, []bool{false, true, true}, 1},
		{"no part", 0, []bool{false, true, false}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newLimitedTarget(t, 100)
			p := NewPool()
			p.Resting = func(string) int { return c.part }
			defer p.Sweep(time.Now().Add(time.Hour))
			for i, fresh := range c.fresh {
				if err := send(t, p, s.address, fmt.Sprint(i), fresh); err != nil {
					t.Fatal(err)
				}
			}
			if n := resting(p, s.address); n != c.want {
				t.Errorf("%d connections rest, not %d", n, c.want)
			}
		})
	}
}
