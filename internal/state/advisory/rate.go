// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"math"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minRate is the lower bound of a target's rate, in requests per second. It is above 0
	// because only a response can announce the end of the limit.
	minRate = 0.25
	// burstTime limits the burst: an unused bucket holds one token plus those of burstTime.
	burstTime = 100 * time.Millisecond
	// Never is the wait for a target that this instance may not grant any requests.
	Never = time.Duration(math.MaxInt64)
)

// bucket is a token bucket, of one token per request. It starts empty, at the first request
// for a token, so that instances that own the same rate one after the other together grant
// no more than a single one would.
type bucket struct {
	tokens   float64 // negative while requests have reserved future tokens
	filledAt time.Time
}

// fill adds the tokens for the time since the last call, at rate tokens per second.
func (b *bucket) fill(rate float64, now time.Time) {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.tokens = min(b.tokens+rate*now.Sub(b.filledAt).Seconds(), 1+rate*burstTime.Seconds())
	}
	if b.filledAt.IsZero() || now.After(b.filledAt) {
		b.filledAt = now
	}
}

// wait returns the time until the next token is available, 0 if one is, at rate tokens per
// second.
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

// Grants grants requests to limited targets at their rates. It implements balance.Limiter.
// The zero Share grants limited targets nothing.
type Grants struct {
	Registry *Registry
	// Share is the part of each rate that this instance grants, from 0 to 1.
	Share float64
}

// Due returns the time until an incarnation of a target may get another request: 0 for
// now, Never if this instance may not grant it any.
func (g Grants) Due(incarnation hookhall.Incarnation, now time.Time) time.Duration {
	e := g.Registry.findRestricted(incarnation)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.due(e, now)
}

// Reserve takes the next token of an incarnation of a target if it is due within maxWait.
// It returns how long the request has to wait, and whether the token was taken.
func (g Grants) Reserve(incarnation hookhall.Incarnation, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	e := g.Registry.findRestricted(incarnation)
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

// due fills the bucket of an entry and returns the time until its next token. e.mu must be
// held.
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
