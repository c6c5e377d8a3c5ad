// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package retry delays repeated attempts by an exponential backoff with jitter.
//
// The delay doubles from a minimum to a maximum. Each wait is drawn at random from the
// upper half of the delay, so that the processes of a fleet which lost a service at the
// same time do not all return to it at the same time.
package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
)

// DefaultMinDelay and DefaultMaxDelay bound the delays of a Backoff that New returns.
const (
	DefaultMinDelay = 100 * time.Millisecond
	DefaultMaxDelay = 3 * time.Second
)

// Backoff computes the delays between attempts and waits for them. It is not safe for
// concurrent use.
type Backoff struct {
	nextDelay, minDelay, maxDelay time.Duration
}

// New returns a backoff with the default minimum and maximum delay.
func New() *Backoff { return NewWithDelays(DefaultMinDelay, DefaultMaxDelay) }

// NewWithDelays returns a backoff whose delay starts at minDelay and doubles up to
// maxDelay; minDelay must not be negative.
func NewWithDelays(minDelay, maxDelay time.Duration) *Backoff {
	return &Backoff{nextDelay: minDelay, minDelay: minDelay, maxDelay: maxDelay}
}

// Wait doubles the next delay, and sleeps for a random time between half of the present one
// and all of it, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context) {
	d := b.nextDelay/2 + rand.N(b.nextDelay/2+1)
	b.nextDelay = min(b.nextDelay*2, b.maxDelay)
	Sleep(ctx, d)
}

// Reset sets the next delay to the minimum. Callers use it after a success.
func (b *Backoff) Reset() { b.nextDelay = b.minDelay }

// Sleep waits for d or until ctx ends, and reports whether the wait ended before ctx. The end
// of a suspension of the instance also ends the wait with true: the timer does not advance
// while the instance is suspended, so work that fell due meanwhile would be late otherwise.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-clock.Resumed():
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration from 0.75 d to 1.25 d.
func Jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
