// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"sync"
	"time"
)

const (
	// maxDelay is the delay from which a process has taken in too much: every step of a request
	// waits for as long, and a request has some ten steps. Of a process that is slower without that,
	// such as one with a quota of its processor, it is usualFactor times the usual delay.
	maxDelay    = 20 * time.Millisecond
	usualFactor = 2
	// urgentDelay is the delay at which a limit begins at once. With a smaller one it begins in a surge of arrivals, or
	// when the delay has lasted for standingTime: other short queues pass by themselves.
	urgentDelay  = 80 * time.Millisecond
	standingTime = 500 * time.Millisecond
	// usualWeight is the weight of an interval in the average of the usual delay, and maxUsual the
	// most that one counts: some seconds count.
	usualWeight, maxUsual = 0.02, 50 * time.Millisecond
	// minLimit is the lowest limit. A process that can't serve even that many is not delayed by
	// what it has taken in.
	minLimit = 4
	// firstLimitShare is the part of the requests in progress to which they are limited when the
	// process is first found to be delayed: they had a while to grow until then.
	firstLimitShare = 0.5
	// limitDecrease is the part of a limit that is kept when the process is delayed at that limit.
	limitDecrease = 0.85
	// limitIncrease is the part of a limit by which it grows after an interval without a delay, and
	// minLimitIncrease the least number of requests.
	limitIncrease, minLimitIncrease = 0.04, 0.5
	// minWindow and firstWindow are the shortest time for which connections are accepted at once
	// under a limit, and the first one. It is a few round trips to clients, as a connection that the
	// system has not opened by its end is lost.
	minWindow, firstWindow = 8 * time.Millisecond, 12 * time.Millisecond
	// windowDecrease is the part of that time that is kept when the process is delayed, and
	// windowIncrease the factor by which it grows after an interval without a delay.
	windowDecrease, windowIncrease = 0.5, 1.1
	// maxPause is the longest time between two windows: callers that have no other instance need
	// one that accepts.
	maxPause = 500 * time.Millisecond
	// decreaseHold is how long after a decrease there is no further one: what was taken in before
	// delays the process a while longer.
	decreaseHold = 300 * time.Millisecond
	// endAfter is how long a limit must not have been reached before it is lifted.
	endAfter = time.Second
)

// Limiter bounds what a process takes in by its Delay. A limit of the requests in progress follows
// it by additive increase and multiplicative decrease, as the window of a congested connection.
// The system opens connections, and their requests fill the link, before the process sees them;
// under a limit they are therefore accepted in windows, each once the delay of the one before has gone. There is
// no limit until the process is delayed. The zero value is ready for use, and it is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// inProgress is the number of requests being read or worked at, and expected that of
	// accepted connections whose first request has not come.
	inProgress, expected int
	limit                float64       // 0 if there is none
	usual                time.Duration // average delay while there was no limit
	isDelayed            bool          // in the last interval
	standing             time.Duration // for which it has been delayed without a limit
	arrivals             arrivalRate   // of requests, also expected ones
	window               time.Duration // for which connections are accepted at once under a limit
	closedAt             time.Time     // end of the last one
	reachedAt            time.Time     // when a limit was last reached
	decreasedAt          time.Time     // when a limit was last lowered
}

// Status is the state of a Limiter.
type Status struct {
	InProgress int `json:"in_progress"`
	Expected   int `json:"expected"`
	// Limit is 0 if there is none.
	Limit float64 `json:"limit"`
	// WindowMS is for how long connections are accepted at once, 0 without a limit.
	WindowMS int64 `json:"window_ms"`
}

// Status returns the current state.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{InProgress: l.inProgress, Expected: l.expected, Limit: l.limit}
	if l.limit > 0 {
		s.WindowMS = l.window.Milliseconds()
	}
	return s
}

// Limited reports whether there is a limit.
func (l *Limiter) Limited() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0
}

// Delayed reports whether there is a limit and the process was delayed in the last interval.
func (l *Limiter) Delayed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit > 0 && l.isDelayed
}

// Full reports whether the limit of requests is reached.
func (l *Limiter) Full(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFull(now)
}

// isFull reports whether the limit of requests is reached, and records that.
func (l *Limiter) isFull(now time.Time) bool {
	if l.limit == 0 || float64(l.inProgress+l.expected) < l.limit {
		return false
	}
	l.reachedAt = now
	return true
}

// Expect counts an accepted connection as a request that is about to come, until BeginExpected or
// Forget.
func (l *Limiter) Expect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected++
	l.arrivals.count++
}

// Forget takes back an Expect whose request has not come.
func (l *Limiter) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected--
}

// BeginExpected counts a request that was expected as in progress.
func (l *Limiter) BeginExpected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected--
	l.inProgress++
}

// TryBegin counts a request as in progress unless the limit is reached.
func (l *Limiter) TryBegin(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull(now) {
		return false
	}
	l.inProgress++
	l.arrivals.count++
	return true
}

// Begin counts a request as in progress that has been read already.
func (l *Limiter) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress++
	l.arrivals.count++
}

// End counts the end of a request in progress.
func (l *Limiter) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
}

// Change says whether a limit began or ended.
type Change int

// The changes.
const (
	None Change = iota
	Began
	Ended
)

// Adjust sets the limits by the delay in the last interval. It returns for how long connections may
// be accepted in the next one, which is as long as interval.
func (l *Limiter) Adjust(d Delay, interval time.Duration, now time.Time) (window time.Duration, change Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// With few requests in progress the cause is not what this process has taken in.
	l.isDelayed = l.isLong(d.Total()) && l.inProgress >= minLimit
	l.arrivals.advance(interval)
	switch {
	case l.limit == 0 && !l.isDue(d, interval):
		if !l.isDelayed || d.IsPartial {
			l.usual += time.Duration(usualWeight * float64(min(d.Total(), maxUsual)-l.usual))
		}
		return interval, None
	case l.limit == 0:
		l.standing = 0
		l.limit, l.window = max(firstLimitShare*float64(l.inProgress), minLimit), firstWindow
		l.reachedAt, l.decreasedAt, l.closedAt = now, now, now
		change = Began
	case d.IsPartial:
	case l.isDelayed:
		l.decrease(now)
	case now.Sub(l.reachedAt) >= endAfter:
		l.limit = 0
		return interval, Ended
	default:
		l.increase(interval, now)
	}
	return l.nextWindow(d, interval, now), change
}

// isDue reports whether a limit begins after an interval: by the delay that several samples show.
func (l *Limiter) isDue(d Delay, interval time.Duration) bool {
	if d.IsPartial {
		return false
	}
	shown := d.Shown()
	if !l.isDelayed || !l.isLong(shown) {
		l.standing = 0
		return false
	}
	l.standing += interval
	isUrgent := shown >= max(urgentDelay, usualFactor*l.usual)
	return isUrgent || l.arrivals.isSurge() || l.standing >= standingTime
}

// isLong reports whether a delay is one of a process that has taken in too much.
func (l *Limiter) isLong(d time.Duration) bool { return d >= max(maxDelay, usualFactor*l.usual) }

// decrease lowers the limits after an interval with a delay.
func (l *Limiter) decrease(now time.Time) {
	l.reachedAt = now
	if now.Sub(l.decreasedAt) < decreaseHold {
		return
	}
	l.decreasedAt = now
	l.window = max(time.Duration(windowDecrease*float64(l.window)), minWindow)
	// While more requests are in progress, the limit does not show what it is good for.
	if float64(l.inProgress) <= l.limit {
		l.limit = max(limitDecrease*l.limit, minLimit)
	}
}

// increase raises the limits after an interval without a delay, if they were reached in it.
func (l *Limiter) increase(interval time.Duration, now time.Time) {
	if now.Sub(l.reachedAt) < 2*interval {
		l.limit += max(limitIncrease*l.limit, minLimitIncrease)
	}
	if l.window < interval {
		l.reachedAt = now
		l.window = min(time.Duration(windowIncrease*float64(l.window)), interval)
	}
}

// nextWindow returns for how long connections may be accepted in the next interval: once a round trip
// that began after the last window was not delayed, unless the limit of requests is reached; and for
// a moment after maxPause.
func (l *Limiter) nextWindow(d Delay, interval time.Duration, now time.Time) time.Duration {
	window := min(l.window, interval)
	isClear := !l.isLong(d.Timers) && !l.isLong(d.Latest) && d.LatestBegan.After(l.closedAt)
	if !l.isDelayed && window == interval {
		isClear = true
	}
	switch {
	case isClear && !l.isFull(now):
	case now.Sub(l.closedAt) >= maxPause:
		window = minWindow
	default:
		return 0
	}
	l.closedAt = now.Add(window)
	return window
}
