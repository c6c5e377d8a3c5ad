// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package budget bounds repeats: what is sent to a service beyond the first
// send of each request.
//
// # Model
//
// A fleet may repeat, in any window, a share of the requests of that window
// plus a constant. Each process counts its own requests and repeats by service
// in ten parts of a window, and spends the share of its own requests and its
// part of the constant. The sum over processes then keeps the fleet's bound
// without a word between them.
//
// A process that has just started may be the successor of one that spent its
// part a moment ago, and nobody remembers. So a part of the constant is kept
// back for restarts: an old process spends steadyShare of its part, a young one
// youngShare. A process that doesn't know how many others there are has no part.
//
// # Invariants
//
//   - Over any window, the repeats of one process are at most ratio times the
//     requests that it counted in the window, plus its part of the slack.
//   - Over any window in which each process is restarted twice at most, the same
//     holds of all of them together.
package budget

import (
	"sync"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
)

// parts of a window are counted apart, so that old ones can be forgotten.
const parts = 10

// What a process spends of its part of the slack: with two restarts of each
// process in one window the shares add up to one.
const (
	steadyShare = 0.7  // of one that has run for a window
	youngShare  = 0.15 // of one that has not
)

// Limits are the operators' bounds.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // of the whole fleet
}

// Budget counts for all services.
type Budget struct {
	limits Limits
	began  time.Time // the process's start
	mu     sync.Mutex
	byName map[string]*ring
}

// ring has a window and one part more, so that a sliding window never holds
// more than what was granted.
type ring struct {
	at       int64 // the newest part's number
	requests [parts + 1]float64
	repeats  [parts + 1]float64
}

// New makes the empty Budget of a process that began at a time.
func New(l Limits, began time.Time) *Budget {
	return &Budget{limits: l, began: began, byName: map[string]*ring{}}
}

func (b *Budget) ring(service string, now time.Time) *ring {
	r := b.byName[service]
	if r == nil {
		r = &ring{}
		b.byName[service] = r
	}
	part := b.limits.Window / parts
	if part <= 0 {
		part = time.Second
	}
	r.advance(clock.Stamp(now) / int64(part))
	return r
}

func (r *ring) advance(to int64) {
	if to-r.at > parts {
		r.requests, r.repeats = [parts + 1]float64{}, [parts + 1]float64{}
		r.at = to
		return
	}
	for r.at < to {
		r.at++
		r.requests[r.at%(parts+1)] = 0
		r.repeats[r.at%(parts+1)] = 0
	}
}

func sum(list [parts + 1]float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	r.requests[r.at%(parts+1)]++
}

// slack is this process's part of the constant.
func (b *Budget) slack(members int, now time.Time) float64 {
	if members < 1 {
		return 0
	}
	share := steadyShare
	if now.Sub(b.began) < b.limits.Window {
		share = youngShare
	}
	return share * b.limits.Slack / float64(members)
}

// Account is what stands in the account of a service when a repeat is asked for.
type Account struct {
	Granted bool    // a repeat
	Repeats float64 // within the window, with this one
	Allowed float64 // within the window
	Members int     // that share the slack, 0 when that is not known
	Age     time.Duration
}

// Spend takes one repeat out of the budget, or tells that there is none left.
// members is how many processes share the slack, 0 when that is not known.
func (b *Budget) Spend(service string, members int, now time.Time) Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	// The oldest part may lie outside of the window: its requests don't count,
	// its repeats do.
	oldest := r.requests[(r.at+1)%(parts+1)]
	a := Account{Members: members, Age: now.Sub(b.began), Repeats: sum(r.repeats)}
	a.Allowed = b.limits.Ratio*(sum(r.requests)-oldest) + b.slack(members, now)
	if a.Granted = a.Repeats+1 <= a.Allowed; a.Granted {
		r.repeats[r.at%(parts+1)]++
		a.Repeats++
	}
	return a
}
