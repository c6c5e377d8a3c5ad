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

// Table records the targets that this process can't connect to, by address. The zero Table is
// empty. It is safe for concurrent use.
type Table struct {
	// count is the number of records. Nothing is locked while it is 0.
	count atomic.Int64

	mu        sync.Mutex
	byAddress map[string]*record
}

// record is what is known of a target that could not be connected to.
type record struct {
	since    time.Time // first failure since the last connection
	failure  Failure   // the latest
	failures int
}

// Failed records that a direct connection to a target failed. It returns true for the first
// failure since the last connection.
func (t *Table) Failed(address string, failure Failure, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byAddress[address]
	if r == nil {
		if t.byAddress == nil {
			t.byAddress = map[string]*record{}
		}
		r = &record{since: now}
		t.byAddress[address] = r
		t.count.Add(1)
		first = true
	}
	r.failure = failure
	r.failures++
	return first
}

// Connected records a direct connection to a target. It returns the time since the first
// failure before it, and false if there was none.
func (t *Table) Connected(address string, now time.Time) (lost time.Duration, wasLost bool) {
	if t.count.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byAddress[address]
	if r == nil {
		return 0, false
	}
	t.remove(address)
	return now.Sub(r.since), true
}

// remove removes the record of an address that has one. t.mu must be held.
func (t *Table) remove(address string) {
	delete(t.byAddress, address)
	t.count.Add(-1)
}

// Prune removes the records of addresses for which isKnown returns false.
func (t *Table) Prune(isKnown func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.byAddress {
		if !isKnown(address) {
			t.remove(address)
		}
	}
}

// Count returns the number of targets that this process can't connect to.
func (t *Table) Count() int { return int(t.count.Load()) }

// Status is what is known of a target that could not be connected to.
type Status struct {
	ForMS    int64   `json:"for_ms"` // since the first failure
	Failures int     `json:"failures"`
	Failure  Failure `json:"failure"` // the latest
}

// Status returns the records by address.
func (t *Table) Status(now time.Time) map[string]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[string]Status{}
	for address, r := range t.byAddress {
		list[address] = Status{now.Sub(r.since).Milliseconds(), r.failures, r.failure}
	}
	return list
}
