// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"context"
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// ErrTooLate is returned for a call that could no longer end in time.
var ErrTooLate = errors.New("too late to start")

const (
	// shrink is the factor of a window whose targets' queues grow.
	shrink = 0.9
	// rateWindow is over how long arrival rates are averaged.
	rateWindow = time.Second
	// defaultRetry is when to come back while nothing has been measured.
	defaultRetry = 500 * time.Millisecond
	minRetry     = 20 * time.Millisecond
	// leastShare of the pool's rate is left to a priority, whatever higher
	// ones bring.
	leastShare = 0.02
	// shedMargin and a shedDoubt-th of the wait are allowed for error before a
	// waiting call is refused.
	shedMargin = 20 * time.Millisecond
	shedDoubt  = 5
	maxRetry   = 30 * time.Second
)

// Gate is the way into one pool.
type Gate struct {
	inflight atomic.Int64
	queued   atomic.Int64
	// window is a float64's bits; limit is the floor of it.
	limit atomic.Int64
	// service is the average time between Enter and Leave, in nanoseconds.
	service atomic.Int64
	// expected are calls let in at admission that have yet to come here.
	expected [priorities]atomic.Int64
	// arrivals are rates of calls that came to the gate, by priority.
	arrivals [priorities]rate

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
// the window never falls below it.
func (g *Gate) Resize(first, most float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if first > g.first {
		g.window = max(g.window, first)
	}
	g.first, g.least, g.most = first, first, most
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
	it.Priority = clamp(it.Priority)
	g.arrivals[it.Priority].add(clock.Now())
	if g.queued.Load() == 0 && g.tryEnter() {
		return nil
	}
	wait := clock.Until(it.Start)
	if wait <= 0 {
		return ErrTooLate
	}
	it.granted, it.shed = make(chan struct{}), make(chan struct{})
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
	case <-it.shed:
		return ErrTooLate
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
	if it.state == itemGone {
		return err // shed meanwhile
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

// Leave ends a call that had entered and took so long.
func (g *Gate) Leave(took time.Duration) {
	g.inflight.Add(-1)
	g.learn(took)
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
	case wait > busy/2 && now.Sub(g.shrunk) > busy:
		g.shrunk = now
		g.setWindow(g.window * shrink)
	case wait <= busy/8 && g.inflight.Load() >= g.limit.Load()-1:
		g.setWindow(g.window + 1/g.window)
		g.dispatch()
	}
}

// learn takes a call's time into the average.
func (g *Gate) learn(took time.Duration) {
	const part = 16
	for {
		old := g.service.Load()
		next := old + (int64(took)-old)/part
		if old == 0 {
			next = int64(took)
		}
		if g.service.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

func clamp(priority int) int { return min(max(priority, 0), priorities-1) }

// rate is how many calls a second of a priority can start: what the window
// allows by the time that calls take, less what higher priorities bring.
func (g *Gate) rate(priority int, now time.Time) float64 {
	service := time.Duration(g.service.Load()).Seconds()
	limit := g.limit.Load()
	if service == 0 || limit == math.MaxInt64 {
		return 0
	}
	all := float64(limit) / service
	left := all
	for p := priority + 1; p < priorities; p++ {
		left -= g.arrivals[p].value(now)
	}
	return max(left, all*leastShare)
}

// Expect notes that a call let in at admission will come here, with n 1, or
// that it has come or will not, with n -1.
func (g *Gate) Expect(priority int, n int64) { g.expected[clamp(priority)].Add(n) }

// backlog is how many expected calls of a priority or higher fill the room that
// the window has left, and more.
func (g *Gate) backlog(priority int) float64 {
	n := g.inflight.Load() - g.limit.Load()
	for p := priority; p < priorities; p++ {
		n += g.expected[p].Load()
	}
	return float64(max(n, 0))
}

// Wait estimates how long a call of an account would wait now.
func (g *Gate) Wait(account string, weight float64, priority int, now time.Time) time.Duration {
	priority = clamp(priority)
	n := g.backlog(priority)
	if g.queued.Load() > 0 {
		g.mu.Lock()
		n += g.queue.ahead(account, weight, priority, g.queue.queued(account, priority)+1)
		g.mu.Unlock()
	}
	return g.seconds(n, priority, now)
}

func (g *Gate) seconds(n float64, priority int, now time.Time) time.Duration {
	perSecond := g.rate(priority, now)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(n / perSecond * float64(time.Second))
}

// RetryAfter tells a refused call when the queue will have drained.
func (g *Gate) RetryAfter(account string, weight float64, priority int, now time.Time) time.Duration {
	w := g.Wait(account, weight, priority, now)
	if w == 0 {
		w = defaultRetry
	}
	return min(max(w, minRetry), maxRetry)
}

// Shed refuses the waiting calls that, as it looks now, will not start in time:
// what they wait for is better given to others, and their callers told at once.
func (g *Gate) Shed(now time.Time) int {
	if g.queued.Load() == 0 || g.queue.order == OrderArrival {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	shed := 0
	for p := range g.queue.classes {
		for _, f := range g.queue.classes[p].flows {
			shed += g.shedFlow(f, p, now)
		}
	}
	g.queued.Store(int64(g.queue.length))
	return shed
}

// shedFlow looks at a flow's items in the order in which they will be served.
func (g *Gate) shedFlow(f *flow, priority int, now time.Time) int {
	items := append([]*Item(nil), f.items.items...)
	sort.Slice(items, func(i, j int) bool { return items[i].Start.Before(items[j].Start) })
	shed := 0
	for i, it := range items {
		n := g.queue.ahead(f.account, it.Weight, priority, i-shed)
		wait := g.seconds(n, priority, now)
		if wait <= shedMargin || now.Add(wait-shedMargin-wait/shedDoubt).Before(it.Start) {
			continue
		}
		it.state = itemGone
		g.queue.remove(it)
		close(it.shed)
		shed++
	}
	return shed
}

// Queued is how many calls wait.
func (g *Gate) Queued() int64 { return g.queued.Load() }

// Idle tells whether the pool has room to spare: nobody waits, and the window is
// not used up.
func (g *Gate) Idle() bool {
	return g.queued.Load() == 0 && g.inflight.Load() < g.limit.Load()
}

// Status is a gate's part of a state dump.
type Status struct {
	Inflight int64   `json:"inflight"`
	Queued   int64   `json:"queued"`
	Window   float64 `json:"window"`
	Rate     float64 `json:"rate_per_s"`
}

// Status reads the gate.
func (g *Gate) Status(now time.Time) Status {
	g.mu.Lock()
	w := g.window
	g.mu.Unlock()
	return Status{g.inflight.Load(), g.queued.Load(), w, g.rate(0, now)}
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
