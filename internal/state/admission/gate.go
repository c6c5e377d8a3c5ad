// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrTooLate is returned for a call that could no longer end in time.
var ErrTooLate = errors.New("too late to start")

const (
	// shrink is the factor of a window whose targets' queues grow.
	shrink = 0.9
	// rateWindow is over how long the drain rate is averaged.
	rateWindow = time.Second
	// defaultRetry is when to come back while nothing has been measured.
	defaultRetry = 500 * time.Millisecond
	minRetry     = 20 * time.Millisecond
	maxRetry     = 30 * time.Second
)

// Gate is the way into one pool.
type Gate struct {
	inflight atomic.Int64
	queued   atomic.Int64
	// window is a float64's bits; limit is the floor of it.
	limit atomic.Int64
	drain rate

	mu     sync.Mutex
	queue  queue
	window float64
	// first is where the window began; least and most bound it.
	first  float64
	least  float64
	most   float64
	shrunk time.Time
}

// NewGate makes a gate with a first window. most bounds it; 0 turns the
// window off.
func NewGate(order Order, first, most float64) *Gate {
	g := &Gate{queue: queue{order: order}}
	g.Resize(first, most)
	return g
}

// Resize sets the bounds when the pool's capacity has changed. first is this
// entry's even share of the pool: a share that has grown is open at once, and
// the window never falls below half of it.
func (g *Gate) Resize(first, most float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first > g.first {
		g.window = max(g.window, first)
	}
	g.first, g.least, g.most = first, first/2, most
	g.setWindow(g.window)
	g.dispatch()
}

func (g *Gate) setWindow(w float64) {
	if g.most <= 0 {
		g.limit.Store(math.MaxInt64)
		return
	}
	g.window = min(max(w, g.least, 1), g.most)
	g.limit.Store(int64(g.window))
}

// Enter waits for its turn. It returns ErrTooLate when it.Start passes first,
// or ctx's error. After nil the caller must call Leave.
func (g *Gate) Enter(ctx context.Context, it *Item) error {
	if g.queued.Load() == 0 && g.tryEnter() {
		return nil
	}
	wait := time.Until(it.Start)
	if wait <= 0 {
		return ErrTooLate
	}
	it.granted = make(chan struct{})
	g.mu.Lock()
	g.queue.push(it)
	g.queued.Store(int64(g.queue.length))
	g.dispatch()
	g.mu.Unlock()

	it.timer = time.NewTimer(wait)
	defer it.timer.Stop()
	select {
	case <-it.granted:
		return nil
	case <-it.timer.C:
		return g.giveUp(it, ErrTooLate)
	case <-ctx.Done():
		return g.giveUp(it, ctx.Err())
	}
}

// giveUp takes it out of the queue; if it was granted meanwhile it stays so.
func (g *Gate) giveUp(it *Item, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if it.state == itemGranted {
		return nil
	}
	it.state = itemGone
	g.queue.remove(it)
	g.queued.Store(int64(g.queue.length))
	return err
}

func (g *Gate) tryEnter() bool {
	for {
		n := g.inflight.Load()
		if n >= g.limit.Load() {
			return false
		}
		if g.inflight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// dispatch lets in whom the window allows; g.mu is held.
func (g *Gate) dispatch() {
	for g.queue.length > 0 && g.tryEnter() {
		it := g.queue.pop()
		it.state = itemGranted
		close(it.granted)
	}
	g.queued.Store(int64(g.queue.length))
}

// Leave ends a call that had entered.
func (g *Gate) Leave(now time.Time) {
	g.inflight.Add(-1)
	g.drain.add(now)
	if g.queued.Load() > 0 {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// Feedback moves the window by what an answer said: how long the call waited
// at its target, and how long it ran.
func (g *Gate) Feedback(wait, busy time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.most <= 0 {
		return
	}
	switch {
	case wait > busy/4 && now.Sub(g.shrunk) > busy:
		g.shrunk = now
		g.setWindow(g.window * shrink)
	case wait <= busy/16 && g.inflight.Load() >= g.limit.Load()-1:
		g.setWindow(g.window + 1/g.window)
		g.dispatch()
	}
}

// Wait estimates how long a call of a priority would wait now.
func (g *Gate) Wait(priority int, now time.Time) time.Duration {
	if g.queued.Load() == 0 {
		return 0
	}
	g.mu.Lock()
	n := g.queue.ahead(priority)
	g.mu.Unlock()
	perSecond := g.drain.value(now)
	if n == 0 || perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / perSecond * float64(time.Second))
}

// RetryAfter tells a refused call of a priority when the queue will have
// drained.
func (g *Gate) RetryAfter(priority int, now time.Time) time.Duration {
	w := g.Wait(priority, now)
	if w == 0 {
		w = defaultRetry
	}
	return min(max(w, minRetry), maxRetry)
}

// Status is a gate's part of a state dump.
type Status struct {
	Inflight int64   `json:"inflight"`
	Queued   int64   `json:"queued"`
	Window   float64 `json:"window"`
	Drain    float64 `json:"drain_per_s"`
}

// Status reads the gate.
func (g *Gate) Status(now time.Time) Status {
	g.mu.Lock()
	w := g.window
	g.mu.Unlock()
	return Status{g.inflight.Load(), g.queued.Load(), w, g.drain.value(now)}
}

// rate counts events over two half windows.
type rate struct {
	mu       sync.Mutex
	start    time.Time
	current  float64
	previous float64
}

func (r *rate) roll(now time.Time) {
	switch passed := now.Sub(r.start); {
	case r.start.IsZero():
		r.start = now
	case passed >= 2*rateWindow:
		r.start, r.previous, r.current = now, 0, 0
	case passed >= rateWindow:
		r.start, r.previous, r.current = r.start.Add(rateWindow), r.current, 0
	}
}

func (r *rate) add(now time.Time) {
	r.mu.Lock()
	r.roll(now)
	r.current++
	r.mu.Unlock()
}

// value is events a second.
func (r *rate) value(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	part := now.Sub(r.start).Seconds() / rateWindow.Seconds()
	if r.previous == 0 && part > 0.05 {
		return r.current / (part * rateWindow.Seconds())
	}
	return (r.current + r.previous*(1-part)) / rateWindow.Seconds()
}
