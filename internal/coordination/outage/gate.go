// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package outage

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

const (
	// initialPause is the pause after the first failure; the pause doubles with each
	// further one. It is short, so that a single lost answer costs little.
	initialPause = 50 * time.Millisecond
	// probeWatchTimeout is how long a watch that is made as a probe may wait for
	// changes: the other callers wait for its result.
	probeWatchTimeout = 20 * time.Millisecond
	// probeKey is the key that a probe reads on behalf of a range. It does not exist.
	probeKey = "hookhall/probe"
)

// errProbeFailed is returned to the callers that waited for a probe that failed.
var errProbeFailed = errors.Wrap(hookhall.ErrUnavailable, "the store does not answer this process: the probe of a concurrent call failed")

// Pace sets how often a process probes a store that does not answer.
type Pace struct {
	// MaxPause is the upper limit of the pause after a failed probe. Jitter adds
	// up to a quarter to it.
	MaxPause time.Duration
	// HedgeInterval is the interval at which a probe that is not answered yet is sent
	// again beside the earlier attempts; 0 sends it once. The store does not answer
	// calls that were sent during its outage even after it is back: with one call at
	// a time of up to 900 ms, gateways that had started in an outage were ready 1.1 s
	// after its end.
	HedgeInterval time.Duration
}

// Meter receives the counts of a Gate.
type Meter interface {
	// StoreCall counts a call by its kind and outcome.
	StoreCall(kind, outcome string)
}

// The outcomes of calls.
const (
	outcomeAnswered    = "answered"
	outcomeUnavailable = "unavailable"
	// outcomeNotMade is that of a call that failed because the probe of another one did.
	outcomeNotMade = "not-made"
)

// callKind names a method of the store, and the key or prefix that it is about, for logs and
// metrics.
type callKind struct{ method, key string }

// Gate is a hookhall.Store that passes calls on to another store, and makes one call at a
// time while that store does not answer. It is safe for concurrent use.
//
// Ranges are apart from all other calls, which are small: a range may have many pages, and
// its failure may show only that it is too large for the link, the store's rate or the time
// that a call may take. So no other call waits for a range or fails because of one. After a
// range that failed, the next one is preceded by a small read.
type Gate struct {
	store hookhall.Store
	// Pace returns the current pace. It is called for each probe and each failed call,
	// in the latter case with g.mu held. Set it before the first call.
	Pace func() Pace
	// Meter counts calls; nil counts none. Log gets the start and the end of each outage; nil
	// logs nothing. Set both before the first call.
	Meter Meter
	Log   *log.Logger

	mu             sync.Mutex    // guards the fields below
	failing        bool          // the last small call was not answered, or none was made yet
	rangeFailed    bool          // the last range was not answered, and no call was since
	latestAnswered time.Time     // start of the latest small call that was answered to this process
	failedAt       time.Time     // when the first call of this outage failed; zero before the first failure
	nextPause      time.Duration // pause after the next failure, before jitter
	nextProbeAt    time.Time     // no probe is made earlier
	answeredAt     time.Time     // start of the latest call that the store answered to a peer
	skipped        bool          // a pause of this outage was skipped because of answeredAt
	probeDone      chan struct{} // closed when the running probe has ended; nil without one
	wake           chan struct{} // closed to end the current pause; nil outside one
}

// NewGate returns a Gate for s. Its first call is a probe, since it is not known
// whether s answers.
func NewGate(s hookhall.Store) *Gate {
	return &Gate{store: s, Pace: func() Pace { return Pace{MaxPause: initialPause} }, failing: true, nextPause: initialPause}
}

// ReportAnswered reports that the store answered a peer's call that began at the given time.
// If this process's outage began earlier, the current pause ends or the next one is
// skipped, once per outage: the store may still be unavailable to this process alone.
func (g *Gate) ReportAnswered(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if began.After(g.answeredAt) {
		g.answeredAt = began
	}
	if g.wake != nil && g.maySkipPause() {
		close(g.wake)
		g.wake = nil
	}
}

// maySkipPause reports whether the store has answered a peer since this outage began, and
// no pause was skipped for that yet. g.mu must be held.
func (g *Gate) maySkipPause() bool { return g.failing && !g.skipped && g.answeredAt.After(g.failedAt) }

// result holds the return values of a store call; each call sets its own.
type result struct {
	item     hookhall.Item
	items    []hookhall.Item
	revision hookhall.Revision
	lease    hookhall.Lease
}

// storeCall makes one call to the store. probe is set if other callers wait for it.
type storeCall func(ctx context.Context, probe bool) (result, error)

// Get implements hookhall.Store.
func (g *Gate) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	r, err := g.call(ctx, callKind{"Get", key}, func(ctx context.Context, _ bool) (r result, err error) {
		r.item, r.revision, err = g.store.Get(ctx, key)
		return r, err
	})
	return r.item, r.revision, err
}

// Range implements hookhall.Store.
func (g *Gate) Range(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return g.readRange(ctx, callKind{"Range", prefix}, g.store.Range)
}

// RangeStale implements hookhall.Store.
func (g *Gate) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return g.readRange(ctx, callKind{"RangeStale", prefix}, g.store.RangeStale)
}

// readRange reads a range once the store answers small calls.
func (g *Gate) readRange(ctx context.Context, kind callKind, read func(context.Context, string) ([]hookhall.Item, hookhall.Revision, error)) ([]hookhall.Item, hookhall.Revision, error) {
	if err := g.awaitAnswer(ctx); err != nil {
		g.count(kind, outcomeNotMade)
		return nil, 0, err
	}
	items, revision, err := read(ctx, kind.key)
	unavailable := errors.Is(err, hookhall.ErrUnavailable)
	if unavailable && ctx.Err() != nil {
		return items, revision, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rangeFailed = unavailable
	if unavailable {
		g.count(kind, outcomeUnavailable)
	} else {
		g.count(kind, outcomeAnswered)
	}
	return items, revision, err
}

// awaitAnswer returns nil if the store answers small calls, as far as is known. If the last call
// failed, it reads probeKey, or waits for the running probe.
func (g *Gate) awaitAnswer(ctx context.Context) error {
	for {
		probe, pending := g.enterCall(true)
		switch {
		case pending != nil:
			if err := g.awaitProbe(ctx, pending); err != nil {
				return err
			}
		case probe:
			_, err := g.probe(ctx, callKind{"Get", probeKey}, func(ctx context.Context, _ bool) (r result, err error) {
				r.item, r.revision, err = g.store.Get(ctx, probeKey)
				return r, err
			})
			return err
		default:
			return nil
		}
	}
}

// Watch implements hookhall.Store. As a probe it waits for changes no longer than
// probeWatchTimeout, since other callers wait to learn whether the store answers.
func (g *Gate) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	r, err := g.call(ctx, callKind{"Watch", prefix}, func(ctx context.Context, probe bool) (r result, err error) {
		timeout := wait
		if probe {
			timeout = min(wait, probeWatchTimeout)
		}
		r.items, r.revision, err = g.store.Watch(ctx, prefix, since, timeout)
		return r, err
	})
	return r.items, r.revision, err
}

// Put implements hookhall.Store.
func (g *Gate) Put(ctx context.Context, key string, value []byte, lease hookhall.Lease) error {
	_, err := g.call(ctx, callKind{"Put", key}, func(ctx context.Context, _ bool) (result, error) {
		return result{}, g.store.Put(ctx, key, value, lease)
	})
	return err
}

// Swap implements hookhall.Store. If a probe is sent twice, the second attempt may find
// what the first has written, which is a conflict: the caller reads the current value.
func (g *Gate) Swap(ctx context.Context, key string, value []byte, previous hookhall.Revision) (hookhall.Revision, error) {
	r, err := g.call(ctx, callKind{"Swap", key}, func(ctx context.Context, _ bool) (r result, err error) {
		r.revision, err = g.store.Swap(ctx, key, value, previous)
		return r, err
	})
	return r.revision, err
}

// Grant implements hookhall.Store. If a probe is sent twice, one of two leases may stay
// unused until it expires.
func (g *Gate) Grant(ctx context.Context, ttl time.Duration) (hookhall.Lease, error) {
	r, err := g.call(ctx, callKind{method: "Grant"}, func(ctx context.Context, _ bool) (r result, err error) {
		r.lease, err = g.store.Grant(ctx, ttl)
		return r, err
	})
	return r.lease, err
}

// Renew implements hookhall.Store.
func (g *Gate) Renew(ctx context.Context, lease hookhall.Lease) error {
	_, err := g.call(ctx, callKind{method: "Renew"}, func(ctx context.Context, _ bool) (result, error) {
		return result{}, g.store.Renew(ctx, lease)
	})
	return err
}

// Revoke implements hookhall.Store. It is always sent at once, also in an outage, since it
// is the last call of a process that stops.
func (g *Gate) Revoke(ctx context.Context, lease hookhall.Lease) error {
	return g.store.Revoke(ctx, lease)
}

// Failing reports whether the last small call was not answered.
func (g *Gate) Failing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failing && !g.failedAt.IsZero()
}

// call makes a call directly while the store answers. Otherwise the call becomes the
// probe, or waits for the running probe and shares its failure.
func (g *Gate) call(ctx context.Context, kind callKind, do storeCall) (result, error) {
	for {
		probe, pending := g.enterCall(false)
		switch {
		case pending != nil:
			if err := g.awaitProbe(ctx, pending); err != nil {
				g.count(kind, outcomeNotMade)
				return result{}, err
			}
		case probe:
			return g.probe(ctx, kind, do)
		default:
			began := clock.Now()
			r, err := do(ctx, false)
			g.recordResult(ctx, kind, began, err)
			return r, err
		}
	}
}

// count counts a call by its outcome.
func (g *Gate) count(kind callKind, outcome string) {
	if g.Meter != nil {
		g.Meter.StoreCall(kind.method, outcome)
	}
}

// enterCall decides how a call is made: as the probe, after the running probe, whose end
// closes pending, or directly if neither result is set.
func (g *Gate) enterCall(isRange bool) (probe bool, pending chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.failing && !(isRange && g.rangeFailed):
		return false, nil
	case g.probeDone != nil:
		return false, g.probeDone
	}
	g.probeDone = make(chan struct{})
	return true, nil
}

// awaitProbe waits for the running probe. It returns nil if the store answered it, and
// otherwise errProbeFailed, or hookhall.ErrUnavailable if ctx ends first.
func (g *Gate) awaitProbe(ctx context.Context, done chan struct{}) error {
	select {
	case <-done:
	case <-ctx.Done():
		return errors.Wrap(hookhall.ErrUnavailable, ctx.Err().Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failing {
		return errProbeFailed
	}
	return nil // a further range may have failed meanwhile; that is no reason to fail this one
}

// probe waits for the end of the pause, makes the call and ends the probe.
func (g *Gate) probe(ctx context.Context, kind callKind, do storeCall) (result, error) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		close(g.probeDone)
		g.probeDone = nil
	}()
	if err := g.awaitPause(ctx); err != nil {
		return result{}, err
	}
	began := clock.Now()
	r, err := g.hedge(ctx, do)
	g.recordResult(ctx, kind, began, err)
	return r, err
}

// attemptResult is the outcome of one attempt of a probe.
type attemptResult struct {
	result result
	err    error
}

// hedge makes a call and sends it again every Pace.HedgeInterval while no attempt has
// ended. It returns the outcome of the attempt that ends first and cancels the others.
func (g *Gate) hedge(ctx context.Context, do storeCall) (result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := make(chan attemptResult, 1)
	attempt := func() {
		r, err := do(ctx, true)
		select {
		case first <- attemptResult{r, err}:
		default: // another attempt ended first
		}
	}
	var hedgeDue <-chan time.Time // nil never fires
	if interval := g.Pace().HedgeInterval; interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		hedgeDue = ticker.C
	}
	for {
		go attempt()
		select {
		case outcome := <-first:
			return outcome.result, outcome.err
		case <-hedgeDue:
		}
	}
}

// awaitPause waits until the next probe is due, or until ReportAnswered ends the pause.
func (g *Gate) awaitPause(ctx context.Context) error {
	g.mu.Lock()
	wake := make(chan struct{})
	g.wake = wake
	if g.maySkipPause() {
		g.nextProbeAt = time.Time{}
	}
	wait := clock.Until(g.nextProbeAt)
	g.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		err = errors.Wrap(hookhall.ErrUnavailable, ctx.Err().Error())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake = nil
	g.skipped = g.skipped || g.maySkipPause()
	return err
}

// recordResult updates the state of the outage after a small call. Failed calls are ignored if
// their own ctx has ended, or if the store has answered a call that began later: they don't
// show whether the store answers now.
func (g *Gate) recordResult(ctx context.Context, kind callKind, began time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !errors.Is(err, hookhall.ErrUnavailable) {
		g.count(kind, outcomeAnswered)
		if g.failing && !g.failedAt.IsZero() {
			g.logOutage("store answers this process again", kind, began, nil)
		}
		g.failing, g.skipped, g.nextPause, g.rangeFailed = false, false, initialPause, false
		if began.After(g.latestAnswered) {
			g.latestAnswered = began
		}
		return
	}
	if ctx.Err() != nil {
		return
	}
	g.count(kind, outcomeUnavailable)
	if !g.failing && began.Before(g.latestAnswered) {
		return
	}
	now := clock.Now()
	if !g.failing || g.failedAt.IsZero() {
		g.failing, g.failedAt = true, now
		g.logOutage("store does not answer this process; one call at a time is made", kind, began, err)
	}
	g.nextProbeAt = now.Add(retry.Jitter(g.nextPause))
	g.nextPause = min(2*g.nextPause, g.Pace().MaxPause)
}

// logOutage logs the call that showed the start or the end of an outage.
func (g *Gate) logOutage(message string, kind callKind, began time.Time, err error) {
	if g.Log == nil {
		return
	}
	fields := []any{"call", kind.method, "key", kind.key, "took", clock.Since(began)}
	if err != nil {
		g.Log.Warn(message, append(fields, "error", err.Error())...)
		return
	}
	g.Log.Info(message, append(fields, "outage", clock.Since(g.failedAt))...)
}
