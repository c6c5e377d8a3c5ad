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

// ErrTooLate is returned for a call that can no longer start early enough to meet its
// deadline.
var ErrTooLate = errors.New("too late to start")

const (
	// windowShrinkFactor multiplies the window when calls wait too long at their targets.
	windowShrinkFactor = 0.9
	// rateWindow is the period over which arrival rates are averaged.
	rateWindow = time.Second
	// defaultRetryDelay is sent to refused calls while the estimated wait is 0, that is,
	// without measurements or waiting calls.
	defaultRetryDelay = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay sent to refused calls.
	minRetryDelay = 20 * time.Millisecond
	// minRateShare is the smallest part of the pool's rate that an estimate assigns to
	// a priority, however many calls of higher priorities arrive. It keeps estimated
	// waits finite.
	minRateShare = 0.02
	// shedMargin plus 1/shedErrorDivisor of the estimated wait are allowed for error: a
	// waiting call is shed only if a wait that is shorter by that would be too long as well.
	shedMargin       = 20 * time.Millisecond
	shedErrorDivisor = 5
	maxRetryDelay    = 30 * time.Second
)

// Gate limits the calls that this entry has in progress in one pool, and queues the
// others. It is safe for concurrent use.
type Gate struct {
	// inflight counts calls between Enter and Leave.
	inflight atomic.Int64
	// queued is queue.length, readable without mu.
	queued atomic.Int64
	// limit is the integer part of window, readable without mu; math.MaxInt64 while the
	// window is turned off.
	limit atomic.Int64
	// serviceTime is the moving average of the times passed to Leave, in nanoseconds,
	// 0 without data.
	serviceTime atomic.Int64
	// expected counts, by priority, admitted calls that have yet to reach the gate.
	expected [numPriorities]atomic.Int64
	// arrivals are the rates of calls to Enter, by priority.
	arrivals [numPriorities]rateCounter

	// mu guards the fields below.
	mu    sync.Mutex
	queue queue
	// window is the number of calls that may be in progress.
	window float64
	// initialWindow is the window at the start, which follows from this entry's even share
	// of the pool. minWindow and maxWindow bound the window; maxWindow 0 turns it off.
	initialWindow float64
	minWindow     float64
	maxWindow     float64
	// shrunkAt is when the window last shrank.
	shrunkAt time.Time
}

// NewGate returns a gate whose window begins at initialWindow calls, its lower bound, and
// grows to at most maxWindow calls. maxWindow 0 turns the window off: every call passes.
func NewGate(order Order, initialWindow, maxWindow float64) *Gate {
	g := &Gate{queue: queue{order: order}}
	g.Resize(initialWindow, maxWindow)
	return g
}

// Resize sets the window's bounds, in calls, after a change of the pool's capacity.
// initialWindow follows from this entry's even share of the pool; the window never falls
// below it, and if the share has grown, the window grows to it immediately.
func (g *Gate) Resize(initialWindow, maxWindow float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if initialWindow > g.initialWindow {
		g.window = max(g.window, initialWindow)
	}
	g.initialWindow, g.minWindow, g.maxWindow = initialWindow, initialWindow, maxWindow
	g.setWindow(g.window)
	g.dispatch()
}

// setWindow sets the window to size calls within its bounds, at least 1. g.mu must be held.
func (g *Gate) setWindow(size float64) {
	if g.maxWindow <= 0 {
		g.limit.Store(math.MaxInt64)
		return
	}
	g.window = min(max(size, g.minWindow, 1), g.maxWindow)
	g.limit.Store(int64(g.window))
}

// Enter blocks until the call may start. It returns ErrTooLate if its latest start passes
// first or the call is shed, and ctx's error if ctx ends. After a nil error the caller must
// call Leave. An Item must not be shared between waiting calls.
func (g *Gate) Enter(ctx context.Context, it *Item) error {
	it.Priority = clamp(it.Priority)
	g.arrivals[it.Priority].add(clock.Now())
	if g.queued.Load() == 0 && g.tryEnter() {
		return nil
	}
	wait := clock.Until(it.LatestStart)
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
		return g.abandon(it, ErrTooLate)
	case <-ctx.Done():
		return g.abandon(it, ctx.Err())
	}
}

// abandon removes it from the queue and returns err, or nil if the call was granted in
// the meantime: it has then entered.
func (g *Gate) abandon(it *Item, err error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if it.state == itemGranted {
		return nil
	}
	if it.state == itemRemoved {
		return err // shed in the meantime
	}
	it.state = itemRemoved
	g.queue.remove(it)
	g.queued.Store(int64(g.queue.length))
	return err
}

// tryEnter counts a call as in progress and reports true if the window allows it.
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

// dispatch grants waiting calls as far as the window allows. g.mu must be held.
func (g *Gate) dispatch() {
	for g.queue.length > 0 && g.tryEnter() {
		it := g.queue.pop()
		it.state = itemGranted
		close(it.granted)
	}
	g.queued.Store(int64(g.queue.length))
}

// Leave ends a call for which Enter returned nil. took is the time since then, which is
// added to the average service time.
func (g *Gate) Leave(took time.Duration) {
	g.inflight.Add(-1)
	g.observeServiceTime(took)
	if g.queued.Load() > 0 {
		g.mu.Lock()
		g.dispatch()
		g.mu.Unlock()
	}
}

// Feedback adjusts the window after an answer. wait is how long the call waited in its
// target's queue, busy how long it ran. The window shrinks if the wait exceeds half the
// run time, at most once per run time, and grows if it is at most an eighth of it while
// the window is used up.
func (g *Gate) Feedback(wait, busy time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.maxWindow <= 0 {
		return
	}
	switch {
	case wait > busy/2 && now.Sub(g.shrunkAt) > busy:
		g.shrunkAt = now
		g.setWindow(g.window * windowShrinkFactor)
	case wait <= busy/8 && g.inflight.Load() >= g.limit.Load()-1:
		g.setWindow(g.window + 1/g.window)
		g.dispatch()
	}
}

// observeServiceTime adds a call's duration to the moving average.
func (g *Gate) observeServiceTime(took time.Duration) {
	const divisor = 16
	for {
		old := g.serviceTime.Load()
		next := old + (int64(took)-old)/divisor
		if old == 0 {
			next = int64(took)
		}
		if g.serviceTime.CompareAndSwap(old, max(next, 1)) {
			return
		}
	}
}

// clamp returns the priority within 0 to numPriorities-1.
func clamp(priority int) int { return min(max(priority, 0), numPriorities-1) }

// startRate returns how many calls of a priority can start per second: the window divided
// by the service time, less the arrivals of higher priorities, but at least minRateShare
// of the whole. It returns 0 without data or while the window is turned off.
func (g *Gate) startRate(priority int, now time.Time) float64 {
	service := time.Duration(g.serviceTime.Load()).Seconds()
	limit := g.limit.Load()
	if service == 0 || limit == math.MaxInt64 {
		return 0
	}
	total := float64(limit) / service
	left := total
	for p := priority + 1; p < numPriorities; p++ {
		left -= g.arrivals[p].perSecond(now)
	}
	return max(left, total*minRateShare)
}

// Expect adds n to the admitted calls of a priority that have yet to reach the gate: 1 at
// admission, -1 when the call arrives at the gate or no longer will.
func (g *Gate) Expect(priority int, n int64) { g.expected[clamp(priority)].Add(n) }

// backlog returns by how many the calls in progress, with the expected calls of this and
// higher priorities, exceed the window; at least 0.
func (g *Gate) backlog(priority int) float64 {
	n := g.inflight.Load() - g.limit.Load()
	for p := priority; p < numPriorities; p++ {
		n += g.expected[p].Load()
	}
	return float64(max(n, 0))
}

// EstimateWait estimates how long a call of a client account would wait in the queue if
// it came now; 0 without data. weight is the account's share within its priority.
func (g *Gate) EstimateWait(account string, weight float64, priority int, now time.Time) time.Duration {
	priority = clamp(priority)
	n := g.backlog(priority)
	if g.queued.Load() > 0 {
		g.mu.Lock()
		n += g.queue.itemsAhead(account, weight, priority, g.queue.accountLength(account, priority)+1)
		g.mu.Unlock()
	}
	return g.drainTime(n, priority, now)
}

// drainTime returns how long n calls of a priority take to start, 0 without data.
func (g *Gate) drainTime(n float64, priority int, now time.Time) time.Duration {
	perSecond := g.startRate(priority, now)
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(n / perSecond * float64(time.Second))
}

// RetryAfter returns the delay after which a refused call should be retried: the
// estimated wait, from minRetryDelay to maxRetryDelay.
func (g *Gate) RetryAfter(account string, weight float64, priority int, now time.Time) time.Duration {
	delay := g.EstimateWait(account, weight, priority, now)
	if delay == 0 {
		delay = defaultRetryDelay
	}
	return min(max(delay, minRetryDelay), maxRetryDelay)
}

// Shed refuses the waiting calls that are estimated to start too late, and returns their
// number. This leaves the capacity to calls that can still succeed, and answers the
// callers early. In OrderArrival it does nothing.
func (g *Gate) Shed(now time.Time) int {
	if g.queued.Load() == 0 || g.queue.order == OrderArrival {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	shed := 0
	for p := range g.queue.classes {
		for _, f := range g.queue.classes[p].flowsByAccount {
			shed += g.shedFlow(f, p, now)
		}
	}
	g.queued.Store(int64(g.queue.length))
	return shed
}

// shedFlow sheds calls of one flow, examined in the order of service, and returns their
// number. g.mu must be held.
func (g *Gate) shedFlow(f *flow, priority int, now time.Time) int {
	items := append([]*Item(nil), f.items.items...)
	sort.Slice(items, func(i, j int) bool { return items[i].LatestStart.Before(items[j].LatestStart) })
	shed := 0
	for i, it := range items {
		n := g.queue.itemsAhead(f.account, it.Weight, priority, i-shed)
		wait := g.drainTime(n, priority, now)
		if wait <= shedMargin || now.Add(wait-shedMargin-wait/shedErrorDivisor).Before(it.LatestStart) {
			continue
		}
		it.state = itemRemoved
		g.queue.remove(it)
		close(it.shed)
		shed++
	}
	return shed
}

// Queued returns the number of waiting calls.
func (g *Gate) Queued() int64 { return g.queued.Load() }

// HasCapacity reports whether the pool has spare capacity: no call waits, and fewer calls
// are in progress than the window allows.
func (g *Gate) HasCapacity() bool {
	return g.queued.Load() == 0 && g.inflight.Load() < g.limit.Load()
}

// Status is the state of a gate as the admin interface shows it: calls in progress and
// waiting, the window in calls, and the rate in calls per second for priority 0.
type Status struct {
	Inflight int64   `json:"inflight"`
	Queued   int64   `json:"queued"`
	Window   float64 `json:"window"`
	Rate     float64 `json:"rate_per_s"`
}

// Status returns the gate's state.
func (g *Gate) Status(now time.Time) Status {
	g.mu.Lock()
	window := g.window
	g.mu.Unlock()
	return Status{g.inflight.Load(), g.queued.Load(), window, g.startRate(0, now)}
}

// rateCounter estimates the rate of events from the counts of the current and the
// previous window of length rateWindow. Its zero value is ready.
type rateCounter struct {
	mu          sync.Mutex
	windowStart time.Time
	current     float64
	previous    float64
}

// advance starts a new window if the current one is over. r.mu must be held.
func (r *rateCounter) advance(now time.Time) {
	switch passed := now.Sub(r.windowStart); {
	case r.windowStart.IsZero():
		r.windowStart = now
	case passed >= 2*rateWindow:
		r.windowStart, r.previous, r.current = now, 0, 0
	case passed >= rateWindow:
		r.windowStart, r.previous, r.current = r.windowStart.Add(rateWindow), r.current, 0
	}
}

// add counts one event.
func (r *rateCounter) add(now time.Time) {
	r.mu.Lock()
	r.advance(now)
	r.current++
	r.mu.Unlock()
}

// perSecond returns the rate in events per second. The previous window counts by the part
// of it that lies within rateWindow before now. If it is empty, the count is divided by
// the elapsed time instead, unless less than 5% of the window has elapsed, which is too
// little for a quotient.
func (r *rateCounter) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	elapsed := now.Sub(r.windowStart).Seconds() / rateWindow.Seconds()
	if r.previous == 0 && elapsed > 0.05 {
		return r.current / (elapsed * rateWindow.Seconds())
	}
	return (r.current + r.previous*(1-elapsed)) / rateWindow.Seconds()
}
