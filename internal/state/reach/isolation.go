// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import "time"

const (
	// isolationCount is from how many targets in a row that are unreachable for this process
	// alone it may be isolated.
	isolationCount = 3
	// evidenceLifetime is how long a failed connection counts for an isolation.
	evidenceLifetime = 3 * time.Second
	// isolatedProbeInterval is the time between two probes, of any targets, while isolated.
	isolatedProbeInterval = 250 * time.Millisecond
	// minPasses is how many probes in a row have to succeed to end an isolation. An isolation
	// that begins within flapTime of the last one's end takes twice as many as that, up to
	// maxPasses.
	minPasses = 2
	maxPasses = 8
	flapTime  = 10 * time.Second
)

// isolation is the state in which this process can't connect to any target.
type isolation struct {
	isActive bool
	endedAt  time.Time // of the last one; zero if there was none
	// wanted are the targets that requests needed since, with the time of the last one.
	wanted       map[string]time.Time
	passes       int // probes in a row that succeeded
	passesNeeded int
	nextProbe    time.Time
}

// Suspected reports whether this process may be isolated: it could not connect to several targets that
// relays reach, and no target has shown itself on a direct connection in between.
func (t *Table) Suspected() bool {
	if t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isSuspected()
}

// isSuspected is Suspected. t.mu must be held.
func (t *Table) isSuspected() bool { return !t.isolation.isActive && len(t.suspects) >= isolationCount }

// Suspects returns the addresses of the targets that Suspected counts.
func (t *Table) Suspects() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := map[string]bool{}
	for address := range t.suspects {
		addresses[address] = true
	}
	return addresses
}

// Isolate begins an isolation, and returns false if Suspected is no longer true.
func (t *Table) Isolate(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.isSuspected() {
		return false
	}
	t.beginIsolation(now)
	return true
}

// beginIsolation begins an isolation. t.mu must be held.
func (t *Table) beginIsolation(now time.Time) {
	i := &t.isolation
	needed := minPasses
	if !i.endedAt.IsZero() && now.Sub(i.endedAt) < flapTime {
		needed = min(2*i.passesNeeded, maxPasses)
	}
	*i = isolation{isActive: true, endedAt: i.endedAt, wanted: map[string]time.Time{}, passesNeeded: needed, nextProbe: now.Add(isolatedProbeInterval)}
	for address, at := range t.suspects {
		i.wanted[address] = at
	}
	t.active.Add(1)
}

// endIsolation ends the isolation. Detours stay for targets whose latest probe failed; for the
// others requests try the direct path first. t.mu must be held.
func (t *Table) endIsolation(now time.Time) {
	for address, r := range t.byAddress {
		if now.Sub(r.failedAt) >= time.Duration(t.isolation.passesNeeded+1)*isolatedProbeInterval {
			t.remove(address)
		}
	}
	t.isolation = isolation{endedAt: now, passesNeeded: t.isolation.passesNeeded}
	t.active.Add(-1)
}

// Isolated reports whether this process can't connect to any target, as far as it knows.
func (t *Table) Isolated() bool {
	if t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolation.isActive
}

// InDoubt reports whether this process can't connect to several targets, so that its own path may
// be the cause.
func (t *Table) InDoubt() bool {
	if t.active.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isolation.isActive || len(t.byAddress) >= isolationCount
}

// nextIsolatedProbe is NextProbe while isolated: any of the targets that requests have
// needed, in the random order of the map. t.mu must be held.
func (t *Table) nextIsolatedProbe(now time.Time) (address string, ok bool) {
	i := &t.isolation
	if now.Before(i.nextProbe) {
		return "", false
	}
	i.nextProbe = now.Add(isolatedProbeInterval)
	for address, usedAt := range i.wanted {
		if now.Sub(usedAt) < unusedLifetime {
			return address, true
		}
		delete(i.wanted, address)
	}
	t.endIsolation(now)
	return "", false
}
