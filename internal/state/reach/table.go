// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

// Failure is the way in which a direct connection to a target failed.
type Failure string

// The kinds of failures.
const (
	Refused  Failure = "refused" // the connection was refused
	Reset    Failure = "reset"   // it was opened, and reset before it could be used
	TimedOut Failure = "timeout" // nothing answered
)

// Path is how a connection to a target is opened.
type Path int

// The paths.
const (
	Direct  Path = iota
	Relayed      // through another gateway
)

const (
	// downLifetime is how long no relay is asked for a target that relays did not reach.
	downLifetime = time.Second
	// minProbeInterval is the time until the first probe of a target with a detour. It doubles
	// with each failed probe, up to maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 4 * time.Second
	// unusedLifetime is how long a detour or an isolation is kept that no request uses.
	unusedLifetime = 10 * time.Second
)

// Table records the targets that this process can't connect to, by address, and decides whether
// it is isolated. The zero Table is empty. It is safe for concurrent use.
type Table struct {
	// active is the number of records, and one more while isolated. Nothing is locked while
	// it is 0.
	active atomic.Int64

	mu        sync.Mutex
	byAddress map[string]*record
	// suspects are the targets that failed here and that relays reach, since the last sign of
	// any target on a direct connection, with the time of the latest failure.
	suspects  map[string]time.Time
	isolation isolation
}

// record is what is known of a target that could not be connected to.
type record struct {
	since         time.Time // first failure since the last connection
	failedAt      time.Time // latest failure
	failure       Failure   // the latest
	failures      int
	isDetoured    bool      // a relay has reached the target since
	downAt        time.Time // when relays did not reach it either; zero if they did, or were not asked
	usedAt        time.Time // when a request last needed the path
	probeAt       time.Time
	probeInterval time.Duration
}

// Path returns the path of a new connection to a target for a request.
func (t *Table) Path(address string, now time.Time) Path {
	if t.active.Load() == 0 {
		return Direct
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolation.isActive {
		t.isolation.wanted[address] = now
		return Relayed
	}
	r := t.byAddress[address]
	if r == nil || !r.isDetoured {
		return Direct
	}
	r.usedAt = now
	return Relayed
}

// MayRelay reports whether relays may be asked for a target: none are for downLifetime after
// they did not reach it.
func (t *Table) MayRelay(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byAddress[address]
	return r == nil || r.downAt.IsZero() || now.Sub(r.downAt) >= downLifetime
}

// Failed records that a direct connection to a target failed. It returns true for the first
// failure since the last connection.
func (t *Table) Failed(address string, failure Failure, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolation.isActive {
		t.isolation.passes = 0
	}
	r := t.byAddress[address]
	if r == nil {
		if t.byAddress == nil {
			t.byAddress = map[string]*record{}
		}
		r = &record{since: now, probeInterval: minProbeInterval}
		t.byAddress[address] = r
		t.active.Add(1)
		first = true
	}
	r.failure, r.failedAt = failure, now
	r.failures++
	if r.isDetoured {
		t.suspect(address, now)
	}
	return first
}

// suspect records that this process can't connect to a target that relays reach. t.mu must be held.
func (t *Table) suspect(address string, now time.Time) {
	if t.isolation.isActive {
		return
	}
	if t.suspects == nil {
		t.suspects = map[string]time.Time{}
	}
	t.suspects[address] = now
	for suspect, at := range t.suspects {
		if now.Sub(at) >= evidenceLifetime {
			delete(t.suspects, suspect)
		}
	}
}

// Answered records an answer of a target on a direct connection.
func (t *Table) Answered() {
	if t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.suspects)
}

// Connected records a direct connection to a target. lost is the time since the first failure
// before it, 0 if there was none, and returned is set if it ends an isolation.
func (t *Table) Connected(address string, now time.Time) (lost time.Duration, returned bool) {
	if t.active.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.suspects)
	if r := t.byAddress[address]; r != nil {
		lost = now.Sub(r.since)
		t.remove(address)
	}
	if !t.isolation.isActive {
		return lost, false
	}
	t.isolation.passes++
	if t.isolation.passes < t.isolation.passesNeeded {
		return lost, false
	}
	t.endIsolation(now)
	return lost, true
}

// RelayConnected records that a relay has reached a target that this process could not connect
// to.
func (t *Table) RelayConnected(address string, now time.Time) {
	if t.active.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byAddress[address]
	if r == nil {
		return
	}
	r.downAt, r.usedAt = time.Time{}, now
	if !r.isDetoured {
		r.isDetoured, r.probeAt = true, now.Add(r.probeInterval)
	}
	t.suspect(address, now)
}

// RelayFailed records that relays did not reach a target either.
func (t *Table) RelayFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byAddress[address]; r != nil {
		r.downAt, r.isDetoured = now, false
		delete(t.suspects, address)
	}
}

// NextProbe returns a target to probe now, and false if none is due. It drops detours and
// isolations that no request has used for unusedLifetime.
func (t *Table) NextProbe(now time.Time) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolation.isActive {
		return t.nextIsolatedProbe(now)
	}
	for a, r := range t.byAddress {
		switch {
		case !r.isDetoured || now.Before(r.probeAt):
		case now.Sub(r.usedAt) >= unusedLifetime:
			t.remove(a)
		default:
			r.probeAt = now.Add(r.probeInterval)
			r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
			return a, true
		}
	}
	return "", false
}

// NeedsProbes reports whether there are detours or an isolation.
func (t *Table) NeedsProbes() bool {
	if t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isolation.isActive {
		return true
	}
	for _, r := range t.byAddress {
		if r.isDetoured {
			return true
		}
	}
	return false
}

// remove removes the record of an address that has one. t.mu must be held.
func (t *Table) remove(address string) {
	delete(t.byAddress, address)
	delete(t.suspects, address)
	t.active.Add(-1)
}

// Prune removes what is recorded of addresses for which isKnown returns false.
func (t *Table) Prune(isKnown func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.byAddress {
		if !isKnown(address) {
			t.remove(address)
		}
	}
	for address := range t.isolation.wanted {
		if !isKnown(address) {
			delete(t.isolation.wanted, address)
		}
	}
}

// Count returns the number of targets that this process can't connect to.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byAddress)
}

// Status is what is known of a target that could not be connected to.
type Status struct {
	ForMS    int64   `json:"for_ms"` // since the first failure
	Failures int     `json:"failures"`
	Failure  Failure `json:"failure"`  // the latest
	Detoured bool    `json:"detoured"` // requests reach it through relays
}

// Status returns the records by address.
func (t *Table) Status(now time.Time) map[string]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]Status{}
	for address, r := range t.byAddress {
		list[address] = Status{now.Sub(r.since).Milliseconds(), r.failures, r.failure, r.isDetoured}
	}
	return list
}
