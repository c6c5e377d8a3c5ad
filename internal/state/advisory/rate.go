// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"math"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minRate is what a target gets at least, in requests a second: the end of its limit
	// shows in an answer only.
	minRate = 0.25
	// burstTime is for how long a rate adds to a bucket that holds one request.
	burstTime = 100 * time.Millisecond
	// Never is the wait for a target that gets no requests by this instance's grants.
	Never = time.Duration(math.MaxInt64)
)

// bucket is a token bucket. It begins empty, at the first request for a token: instances
// that grant the same rate one after the other, each for a while, then grant no more
// than one would.
type bucket struct {
	tokens float64 // negative while requests have reserved tokens to come
	filled time.Time
}

// fill adds the tokens that have come since the last call, at a rate of tokens a second.
func (b *bucket) fill(rate float64, now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.tokens = min(b.tokens+rate*now.Sub(b.filled).Seconds(), 1+rate*burstTime.Seconds())
	}
	if b.filled.IsZero() || now.After(b.filled) {
		b.filled = now
	}
}

// wait returns how long it takes until the next token, 0 if there is one.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	seconds := (1 - b.tokens) / rate
	if seconds >= Never.Seconds() {
		return Never
	}
	return time.Duration(seconds * float64(time.Second))
}

// Grants gives out the rates of limited targets. It is a balance.Limiter.
type Grants struct {
	Book *Book
	// Share is the part of each rate that this instance gives out, 0 for none.
	Share float64
}

// Due returns how long it takes until a life of a target may get another request: 0 for
// now, Never if this instance grants it none.
func (g Grants) Due(l hookhall.Life, now time.Time) time.Duration {
	e := g.Book.findRationed(l)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.due(e, now)
}

// Reserve takes the next request that a life of a target may get, if it is due within
// maxWait. It returns how long the request has to wait.
func (g Grants) Reserve(l hookhall.Life, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	e := g.Book.findRationed(l)
	if e == nil {
		return 0, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if wait = g.due(e, now); wait > maxWait {
		return wait, false
	}
	if e.status.Limit.Named {
		e.bucket.tokens--
	}
	return wait, true
}

// due fills the bucket of an entry and returns the wait. e.mu must be held.
func (g Grants) due(e *entry, now time.Time) time.Duration {
	if !e.status.Limit.Named {
		return 0
	}
	rate := g.Share * max(e.status.Limit.Rate, minRate)
	if rate <= 0 {
		return Never
	}
	e.bucket.fill(rate, now)
	return e.bucket.wait(rate)
}
