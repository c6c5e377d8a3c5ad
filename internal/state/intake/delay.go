// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package intake

import (
	"math"
	"sync"
	"time"
)

const (
	// baselineWindow is how long the lowest duration of a round trip is remembered
	// at least; at most twice as long.
	baselineWindow = 30 * time.Second
	// minTimerSamples is how many timers must have fired in an interval before their lateness
	// counts.
	minTimerSamples = 2
	// minTrips is how many round trips show a standing queue, and maxDeferred for how many
	// intervals they are awaited: fewer may all have followed one burst.
	minTrips, maxDeferred = 3, 5
	// minOverdue is the number of peers with which round trips must be overdue before that
	// counts: one of them may have failed.
	minOverdue = 2
)

// Delay is the delay that this process adds itself to all that it does: in its link, and while it
// waits for its processor.
type Delay struct {
	// Trips is the smallest excess of a round trip over its lowest duration of late with that
	// address, 0 if there was none.
	Trips time.Duration
	// Completed is the number of round trips that were completed, and Overdue that of the ones
	// that have taken longer than an interval so far or have timed out.
	Completed, Overdue int
	// Timers is the smallest lateness of timers.
	Timers time.Duration
	// Latest is the excess of the round trip that was completed last in the interval, and
	// LatestBegan the time at which that began; it is zero if there was none.
	Latest      time.Duration
	LatestBegan time.Time
	// IsPartial means that there were too few round trips yet, and Trips is that of the interval
	// before. They count for the next one.
	IsPartial bool
}

// Total returns the larger of the two delays: round trips wait for the processor as well.
func (d Delay) Total() time.Duration { return max(d.Trips, d.Timers) }

// Shown returns the delay that several samples show, 0 if there are too few. One or two round trips may be
// slow for other reasons.
func (d Delay) Shown() time.Duration {
	if d.Completed > 0 && d.Completed < minTrips {
		return d.Timers
	}
	return d.Total()
}

// Trip is a round trip to a target or a peer that takes them no work, such as opening a
// connection.
type Trip struct {
	address string
	toPeer  bool
	began   time.Time
}

// DelayMeter measures the Delay by intervals. In each it keeps the smallest sample, which shows a
// standing queue: single samples may be larger for other reasons, such as a slow target. If not one
// round trip is completed, those with peers that are overdue count instead: targets alone may be cut
// off from this process. The zero value is ready for use, and it is
// safe for concurrent use.
type DelayMeter struct {
	mu sync.Mutex
	// lowest and lowestBefore have the lowest durations by address in the current window and in
	// the one before.
	lowest, lowestBefore map[string]time.Duration
	windowBegan          time.Time
	pending              map[*Trip]struct{}
	intervalBegan        time.Time
	trips, timers        time.Duration // smallest of the interval
	completed            int
	latest               time.Duration // excess of the last round trip in the interval
	latestBegan          time.Time     // zero if there was none
	last                 time.Duration // Trips of the last interval that was not partial
	deferred             int           // partial intervals since
	overdue              int
	timedOut             map[string]time.Duration // smallest duration of overdue ones with peers, by address
	timerSamples         int
}

// Begin records the start of a round trip with a target, or with a peer. One of Completed, TimedOut and
// Abandoned must follow.
func (m *DelayMeter) Begin(address string, toPeer bool, now time.Time) *Trip {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending == nil {
		m.pending = map[*Trip]struct{}{}
	}
	t := &Trip{address: address, toPeer: toPeer, began: now}
	m.pending[t] = struct{}{}
	return t
}

// Completed records the end of a round trip. The first one with an address is only remembered.
func (m *DelayMeter) Completed(t *Trip, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, t)
	m.rotate(now)
	took := now.Sub(t.began)
	excess, known := m.excess(t.address, took)
	if current, ok := m.lowest[t.address]; !ok || took < current {
		m.lowest[t.address] = took
	}
	if !known {
		return
	}
	if m.completed == 0 || excess < m.trips {
		m.trips = excess
	}
	m.completed++
	m.latest, m.latestBegan = excess, t.began
}

// TimedOut records a round trip that was given up since it took too long.
func (m *DelayMeter) TimedOut(t *Trip, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, t)
	m.recordOverdue(t, now)
}

// Abandoned records a round trip that ended for another reason, which is no sample.
func (m *DelayMeter) Abandoned(t *Trip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.pending, t)
}

// recordOverdue records an overdue round trip by its address.
func (m *DelayMeter) recordOverdue(t *Trip, now time.Time) {
	m.overdue++
	if !t.toPeer {
		return
	}
	if m.timedOut == nil {
		m.timedOut = map[string]time.Duration{}
	}
	excess, _ := m.excess(t.address, now.Sub(t.began))
	if before, ok := m.timedOut[t.address]; !ok || excess < before {
		m.timedOut[t.address] = excess
	}
}

// excess returns by how much a duration exceeds the lowest one with an address, and whether
// that is known.
func (m *DelayMeter) excess(address string, took time.Duration) (excess time.Duration, known bool) {
	lowest, known := m.lowest[address]
	if before, ok := m.lowestBefore[address]; ok && (!known || before < lowest) {
		lowest, known = before, true
	}
	return max(took-lowest, 0), known
}

// rotate begins a new window if the current one has ended.
func (m *DelayMeter) rotate(now time.Time) {
	if m.lowest != nil && now.Sub(m.windowBegan) < baselineWindow {
		return
	}
	m.lowestBefore, m.lowest, m.windowBegan = m.lowest, map[string]time.Duration{}, now
}

// TimerFired records that a timer fired late.
func (m *DelayMeter) TimerFired(late time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	late = max(late, 0)
	if m.timerSamples == 0 || late < m.timers {
		m.timers = late
	}
	m.timerSamples++
}

// Next returns the Delay of the interval that ends now, and begins the next one. Timers that fired
// less than minTimerSamples times count for the next one.
func (m *DelayMeter) Next(now time.Time) Delay {
	m.mu.Lock()
	defer m.mu.Unlock()
	for t := range m.pending {
		if t.began.Before(m.intervalBegan) {
			m.recordOverdue(t, now)
		}
	}
	d := Delay{Trips: m.trips, Completed: m.completed, Overdue: m.overdue}
	switch {
	case m.completed == 0 && len(m.timedOut) >= minOverdue:
		d.Trips = smallest(m.timedOut)
	case m.completed > 0 && m.completed < minTrips && m.deferred < maxDeferred:
		d.Trips, d.IsPartial = m.last, true
	}
	if d.IsPartial {
		m.deferred++
	} else {
		m.last, m.deferred, m.trips, m.completed = d.Trips, 0, 0, 0
		clear(m.timedOut)
	}
	m.overdue = 0
	d.Latest, d.LatestBegan = m.latest, m.latestBegan
	m.latest, m.latestBegan = 0, time.Time{}
	m.intervalBegan = now
	if m.timerSamples >= minTimerSamples {
		d.Timers = m.timers
		m.timers, m.timerSamples = 0, 0
	}
	return d
}

// smallest returns the smallest of some durations.
func smallest(durations map[string]time.Duration) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, d := range durations {
		least = min(least, d)
	}
	return least
}
