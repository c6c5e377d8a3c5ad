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
// # Invariants
//
//   - Over any window, the repeats of one process are at most ratio times the
//     requests that it counted in the window, plus its part of the slack.
package budget

import (
	"sync"
	"time"
)

const parts = 10

// Limits are the operators' bounds.
type Limits struct {
	Ratio  float64
	Window time.Duration
	Slack  float64 // of the whole fleet
}

// Budget counts for all services.
type Budget struct {
	limits Limits
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

// New makes an empty Budget.
func New(l Limits) *Budget { return &Budget{limits: l, byName: map[string]*ring{}} }

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
	r.advance(now.UnixNano() / int64(part))
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

// Spend takes one repeat out of the budget, or tells that there is none left.
// members is how many processes share the slack.
func (b *Budget) Spend(service string, members int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.ring(service, now)
	// The oldest part may lie outside of the window: its requests don't count,
	// its repeats do.
	oldest := r.requests[(r.at+1)%(parts+1)]
	allowed := b.limits.Ratio*(sum(r.requests)-oldest) + b.limits.Slack/float64(max(members, 1))
	if sum(r.repeats)+1 > allowed {
		return false
	}
	r.repeats[r.at%(parts+1)]++
	return true
}
