// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package retry paces repeated attempts.
//
// A Pause doubles from First to Most and draws its length at random from the
// upper half, so that a fleet which lost the platform together does not come
// back to it together.
package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
)

// Bounds of a default Pause.
const (
	First = 100 * time.Millisecond
	Most  = 3 * time.Second
)

// Pause is the time between attempts. It is not safe for concurrent use.
type Pause struct {
	next, first, most time.Duration
}

// New returns a Pause with the default bounds.
func New() *Pause { return Between(First, Most) }

// Between returns a Pause with other bounds.
func Between(first, most time.Duration) *Pause {
	return &Pause{next: first, first: first, most: most}
}

// Wait sleeps the next pause, or until ctx ends.
func (p *Pause) Wait(ctx context.Context) {
	d := p.next/2 + rand.N(p.next/2+1)
	p.next = min(p.next*2, p.most)
	Sleep(ctx, d)
}

// Reset begins anew after a success.
func (p *Pause) Reset() { p.next = p.first }

// Sleep waits for d or the end of ctx, and tells whether d passed. The end of a suspension
// of the instance ends the wait, too: what is due by then is done at once, and not after
// what the timer lacks.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-clock.Woken():
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter draws from three quarters to five quarters of d.
func Jitter(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2+1) }
