// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package outage

import (
	"context"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	// pauseFirst is how long the store is left alone after the first failure; the
	// pause doubles with each further one. An answer that is lost once costs little.
	pauseFirst = 50 * time.Millisecond
	// probeWait is how long a watch may wait that is made on behalf of all.
	probeWait = 20 * time.Millisecond
)

// errShared is the failure of a call that was made on behalf of all.
var errShared = errors.Wrap(hookhall.ErrUnavailable, "the store does not answer this process; another call has just failed")

// Pace is how a process asks for a store that is away.
type Pace struct {
	// PauseMost bounds the pause after a call that failed.
	PauseMost time.Duration
	// Again is after how long a call that is not answered yet is made once more
	// beside it, 0 for never. What was asked while the store was away is not
	// answered after its return either: gateways that had begun in an outage, with
	// one call at a time of up to 900 ms, were ready 1.1 s after its end.
	Again time.Duration
}

// Gate is a hookhall.Store before another one.
type Gate struct {
	store hookhall.Store
	// Pace is asked before each call on behalf of all. Set before the first call.
	Pace func() Pace

	mu      sync.Mutex
	failing bool
	since   time.Time     // when the first call failed
	pause   time.Duration // after the next failure
	next    time.Time     // no call before
	heard   time.Time     // when a call began that somebody had an answer to
	woken   bool          // a pause was left out because of that, in this outage
	probing chan struct{} // closed when the call on behalf of all has ended; nil while there is none
	wake    chan struct{} // closed to end the pause
}

// NewGate makes a Gate before a store of which it is not known whether it answers.
func NewGate(s hookhall.Store) *Gate {
	return &Gate{store: s, Pace: func() Pace { return Pace{PauseMost: pauseFirst} }, failing: true, pause: pauseFirst}
}

// Heard takes in that somebody had an answer of the store to a call that began at
// a time. It ends the present pause or leaves the next one out, once in each
// outage: the store may still turn this process away.
func (g *Gate) Heard(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if began.After(g.heard) {
		g.heard = began
	}
	if g.wake != nil && g.early() {
		close(g.wake)
		g.wake = nil
	}
}

// early tells whether a pause is to be left out. The caller holds g.mu.
func (g *Gate) early() bool { return g.failing && !g.woken && g.heard.After(g.since) }

// answer is what a call of the store brought.
type answer struct {
	item  hookhall.Item
	items []hookhall.Item
	at    hookhall.Revision
	lease hookhall.Lease
}

// ask is one call of the store. probe tells that others wait for it.
type ask func(ctx context.Context, probe bool) (answer, error)

// Get implements hookhall.Store.
func (g *Gate) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	a, err := g.call(ctx, func(ctx context.Context, _ bool) (a answer, err error) {
		a.item, a.at, err = g.store.Get(ctx, key)
		return a, err
	})
	return a.item, a.at, err
}

// Range implements hookhall.Store.
func (g *Gate) Range(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	a, err := g.call(ctx, func(ctx context.Context, _ bool) (a answer, err error) {
		a.items, a.at, err = g.store.Range(ctx, prefix)
		return a, err
	})
	return a.items, a.at, err
}

// RangeStale implements hookhall.Store.
func (g *Gate) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	a, err := g.call(ctx, func(ctx context.Context, _ bool) (a answer, err error) {
		a.items, a.at, err = g.store.RangeStale(ctx, prefix)
		return a, err
	})
	return a.items, a.at, err
}

// Watch implements hookhall.Store. While the store is away it does not wait: the
// others want to know soon whether it answers.
func (g *Gate) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	a, err := g.call(ctx, func(ctx context.Context, probe bool) (a answer, err error) {
		most := wait
		if probe {
			most = min(wait, probeWait)
		}
		a.items, a.at, err = g.store.Watch(ctx, prefix, since, most)
		return a, err
	})
	return a.items, a.at, err
}

// Put implements hookhall.Store.
func (g *Gate) Put(ctx context.Context, key string, value []byte, lease hookhall.Lease) error {
	_, err := g.call(ctx, func(ctx context.Context, _ bool) (answer, error) {
		return answer{}, g.store.Put(ctx, key, value, lease)
	})
	return err
}

// Swap implements hookhall.Store. Of two calls on behalf of all, the second finds what the
// first has written, which is a conflict: the caller reads what stands there.
func (g *Gate) Swap(ctx context.Context, key string, value []byte, was hookhall.Revision) (hookhall.Revision, error) {
	a, err := g.call(ctx, func(ctx context.Context, _ bool) (a answer, err error) {
		a.at, err = g.store.Swap(ctx, key, value, was)
		return a, err
	})
	return a.at, err
}

// Grant implements hookhall.Store. Of two calls on behalf of all, one lease may be
// left to run out.
func (g *Gate) Grant(ctx context.Context, ttl time.Duration) (hookhall.Lease, error) {
	a, err := g.call(ctx, func(ctx context.Context, _ bool) (a answer, err error) {
		a.lease, err = g.store.Grant(ctx, ttl)
		return a, err
	})
	return a.lease, err
}

// Renew implements hookhall.Store.
func (g *Gate) Renew(ctx context.Context, lease hookhall.Lease) error {
	_, err := g.call(ctx, func(ctx context.Context, _ bool) (answer, error) {
		return answer{}, g.store.Renew(ctx, lease)
	})
	return err
}

// Revoke implements hookhall.Store. It is tried at once, whatever others met: it is
// the last call of a process that stops.
func (g *Gate) Revoke(ctx context.Context, lease hookhall.Lease) error {
	return g.store.Revoke(ctx, lease)
}

// call makes a call, or shares the outcome of the one that is made for all.
func (g *Gate) call(ctx context.Context, do ask) (answer, error) {
	for {
		probe, shared := g.enter()
		switch {
		case shared != nil:
			if err := g.share(ctx, shared); err != nil {
				return answer{}, err
			}
		case probe:
			return g.probe(ctx, do)
		default:
			a, err := do(ctx, false)
			g.note(ctx, err)
			return a, err
		}
	}
}

// enter tells whether the caller is to make the call on behalf of all, or on whose
// call it should wait.
func (g *Gate) enter() (probe bool, shared chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.failing:
		return false, nil
	case g.probing != nil:
		return false, g.probing
	}
	g.probing = make(chan struct{})
	return true, nil
}

// share waits for the call on behalf of all. nil means that the store answers.
func (g *Gate) share(ctx context.Context, ended chan struct{}) error {
	select {
	case <-ended:
	case <-ctx.Done():
		return errors.Wrap(hookhall.ErrUnavailable, ctx.Err().Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing {
		return errShared
	}
	return nil
}

// probe waits out the pause and makes the call on behalf of all.
func (g *Gate) probe(ctx context.Context, do ask) (answer, error) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		close(g.probing)
		g.probing = nil
	}()
	if err := g.rest(ctx); err != nil {
		return answer{}, err
	}
	a, err := g.repeat(ctx, do)
	g.note(ctx, err)
	return a, err
}

// outcome is how one of several equal calls ended.
type outcome struct {
	answer answer
	err    error
}

// repeat makes a call, and again beside it while none is answered. The first
// outcome counts.
func (g *Gate) repeat(ctx context.Context, do ask) (answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan outcome, 1)
	try := func() {
		a, err := do(ctx, true)
		select {
		case first <- outcome{a, err}:
		default: // another one was first
		}
	}
	var again <-chan time.Time // never, without a pace
	if every := g.Pace().Again; every > 0 {
		tick := time.NewTicker(every)
		defer tick.Stop()
		again = tick.C
	}
	for {
		go try()
		select {
		case o := <-first:
			return o.answer, o.err
		case <-again:
		}
	}
}

// rest waits until the next call is due.
func (g *Gate) rest(ctx context.Context) error {
	g.mu.Lock()
	wake := make(chan struct{})
	g.wake = wake
	if g.early() {
		g.next = time.Time{}
	}
	wait := clock.Until(g.next)
	g.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	var err error
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
		err = errors.Wrap(hookhall.ErrUnavailable, ctx.Err().Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake = nil
	g.woken = g.woken || g.early()
	return err
}

// note takes in how a call ended. Calls that their own caller gave up tell nothing.
func (g *Gate) note(ctx context.Context, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !errors.Is(err, hookhall.ErrUnavailable) {
		g.failing, g.woken, g.pause = false, false, pauseFirst
		return
	}
	if ctx.Err() != nil {
		return
	}
	now := clock.Now()
	if !g.failing || g.since.IsZero() {
		g.failing, g.since = true, now
	}
	g.next = now.Add(retry.Jitter(g.pause))
	g.pause = min(2*g.pause, g.Pace().PauseMost)
}
