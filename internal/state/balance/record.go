// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"sync"
	"time"
)

const (
	// ejectFirst is the pause after the first failure that ejects.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// weakAfter failures in a row eject when each may have been the call's fault.
	weakAfter = 4
	// fullFirst is how long a target that refused a call is left out: about as long
	// as a place takes to come free. It doubles with each refusal in a row, up to
	// fullMost, since a target that goes on refusing while others take calls is not
	// merely full; fullMost bounds how late its recovery is noticed.
	fullFirst = 30 * time.Millisecond
	fullMost  = time.Second
	// smoothing of averages: the weight of a new sample is 1/smoothing.
	smoothing = 8
	// partKeep is how long a prompt part is believed to be held after its last use.
	partKeep = 30 * time.Second
)

// record is what is known of one life of a target.
type record struct {
	mu       sync.Mutex
	inflight int
	unread   int // prompt tokens sent and not read yet
	held     int // tokens of calls in progress that they share with none
	pace     float64
	failRate float64
	failures int
	refusals int       // in a row
	until    time.Time // ejected until then
	full     time.Time // refused a call, and is left out until then
	parts    map[string]time.Time
	used     time.Time
	colds    []time.Time // of requests within the last second that it got while cold
}

func (a *record) begin(unread, held int, parts []string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inflight++
	a.unread += unread
	a.held += held
	a.used = now
	for _, p := range parts {
		if a.parts == nil {
			a.parts = map[string]time.Time{}
		}
		a.parts[p] = now
	}
}

func (a *record) read(tokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unread -= tokens
}

func (a *record) end(held int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inflight--
	a.held -= held
}

func (a *record) succeeded(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failures = 0
	a.refusals = 0
	a.until, a.full = time.Time{}, time.Time{}
	a.failRate -= a.failRate / smoothing
	sample := float64(took)
	if a.pace == 0 {
		a.pace = sample
	}
	a.pace += (sample - a.pace) / smoothing
}

// failed counts a failure; a hard one (no connection, silence) ejects at once.
func (a *record) failed(hard bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failures++
	a.failRate += (1 - a.failRate) / smoothing
	if !hard && a.failures < weakAfter {
		return
	}
	pause := min(ejectFirst<<min(a.failures-1, 6), ejectMost)
	a.until = now.Add(pause)
}

// refused leaves a target out for a moment: it said that it has no place.
func (a *record) refused(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pause := min(fullFirst<<min(a.refusals, 8), fullMost)
	a.refusals++
	a.full = now.Add(pause)
}

// figures is a copy of what a choice needs.
type figures struct {
	inflight int
	unread   int
	held     int
	pace     float64
	failRate float64
	until    time.Time
	full     time.Time
	holds    bool
}

func (a *record) figures(part string, now time.Time) figures {
	a.mu.Lock()
	defer a.mu.Unlock()
	used, ok := a.parts[part]
	return figures{a.inflight, a.unread, a.held, a.pace, a.failRate, a.until, a.full, ok && now.Sub(used) < partKeep}
}

// sweep forgets parts that were not used for long.
func (a *record) sweep(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for p, used := range a.parts {
		if now.Sub(used) > partKeep {
			delete(a.parts, p)
		}
	}
}
