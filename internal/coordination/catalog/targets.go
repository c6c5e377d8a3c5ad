// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// Reading is one list of targets as the store had it.
type Reading struct {
	Revision hookhall.Revision
	Items    []hookhall.Item
	// Began is when the reading began, by this process's steady clock.
	Began time.Time
}

// Picture is what is believed of the targets. It never changes; one that follows
// another shares the pools in which nothing changed.
type Picture struct {
	Revision hookhall.Revision
	Began    time.Time
	// ByPool has the usable targets by service, sorted by id; leaving ones and those
	// of evacuated halls are not in it.
	ByPool map[string][]hookhall.Target
	// Evacuated has the services with targets that only the evacuation of their hall
	// keeps out of ByPool.
	Evacuated map[string]bool
	// Digest sums up all listed targets; equal digests mean equal lists.
	Digest uint64
}

// Cold lists the usable targets that are held to be cold, sorted.
func (p *Picture) Cold(now time.Time) []string {
	var ids []string
	for _, list := range p.ByPool {
		for _, t := range list {
			if t.Cold(now) {
				ids = append(ids, t.ID)
			}
		}
	}
	sort.Strings(ids)
	return ids
}

// Age is how old the picture is.
func (p *Picture) Age(now time.Time) time.Duration { return now.Sub(p.Began) }

// followTargets reads the targets whenever what is believed of them has grown old. The
// process that reads for all watches them, and reads all of them now and then.
func (c *Catalog) followTargets(ctx context.Context) {
	f := targetsFollower{Catalog: c, pause: retry.Between(pauseFirst, pauseMost)}
	for ctx.Err() == nil {
		if !f.wanted(clock.Now()) {
			f.at = 0 // whoever was told by others may be ahead of an old watch
			f.follows = true
			retry.Sleep(ctx, look)
			continue
		}
		if f.follows {
			f.follows = false
			f.takeOver(clock.Now())
		}
		f.step(ctx)
	}
}

// targetsFollower is the loop of followTargets.
type targetsFollower struct {
	*Catalog
	pause *retry.Pause
	first time.Time         // when the copy that this process began with was made, at least
	at    hookhall.Revision // the revision to watch from, 0 to read all targets
	read  time.Time         // when all were last read
	// gather is set when a watch told of changes: others may come with them.
	gather bool
	// follows is set while this process relies on updates of peers.
	follows bool
}

// takeOver lets a new first reader watch from the revision up to which its peers have updated
// it. Listing all targets first would take seconds in a large fleet, during which no gateway
// would learn of a change.
func (f *targetsFollower) takeOver(now time.Time) {
	if f.Rank() != 0 || f.Failing() {
		return
	}
	f.mu.Lock()
	synced := f.synced
	f.mu.Unlock()
	if p := f.picture.Load(); synced > 0 && p.Revision == synced && p.Age(now) < takeOverAge {
		f.at, f.read = synced, now
		f.log.Info("This process takes over as first reader.", "revision", synced, "age", p.Age(now))
	}
}

// wanted tells whether it is this process's turn to ask the store.
func (f *targetsFollower) wanted(now time.Time) bool {
	p := f.picture.Load()
	switch {
	case p == nil:
		return true
	case p.Began.Equal(f.first) && f.awaitsNews(f.first, now):
		return false
	}
	return f.Rank() == 0 || f.due(p.Began, now)
}

// step makes one call of the store and takes its answer in.
func (f *targetsFollower) step(ctx context.Context) {
	now := clock.Now()
	began := f.picture.Load() == nil
	fresh, err := f.ask(ctx, began)
	if errors.Is(err, hookhall.ErrHistoryGone) {
		f.noteCall(ctx, nil)
		f.at = 0
		return
	}
	f.noteCall(ctx, err)
	if err != nil {
		f.at = 0 // whatever was missed is read whole
		f.pause.Wait(ctx)
		return
	}
	f.pause.Reset()
	if fresh && !began {
		f.Read()
	}
	if f.gather {
		retry.Sleep(ctx, gatherEvents)
	} else if f.at == 0 || !f.read.Before(now) {
		retry.Sleep(ctx, look) // a reading does not wait in the store, as a watch does
	}
}

// ask watches the targets, or reads all of them. It tells whether anything was newer
// than what is known.
func (f *targetsFollower) ask(ctx context.Context, begins bool) (fresh bool, err error) {
	f.gather = false
	if f.at > 0 && f.Rank() == 0 && clock.Since(f.read) < readAllEvery {
		return f.watch(ctx)
	}
	r, err := f.readTargets(ctx, begins)
	if err != nil {
		return false, err
	}
	if begins {
		f.first = r.Began
		return f.Learn(r, "store's copy"), nil
	}
	f.at, f.read = r.Revision, clock.Now()
	return f.Learn(r, "store"), nil
}

// watch waits for changes.
func (f *targetsFollower) watch(ctx context.Context) (fresh bool, err error) {
	began := clock.Now()
	events, at, err := f.store.Watch(ctx, f.platform.TargetPrefix(), f.at, readEvery)
	if err != nil {
		return false, err
	}
	f.at = at
	if len(events) == 0 && clock.Since(began) >= readEvery {
		began = began.Add(readEvery) // the store waited before it said that there is nothing
	}
	f.gather = len(events) > 0
	return f.Follow(events, at, began), nil
}

// awaitsNews tells whether a process that began with a copy leaves the store to
// others for the moment.
func (c *Catalog) awaitsNews(first, now time.Time) bool {
	return c.Rank() == rankMost && now.Before(first.Add(staleMost+confirmWait))
}

// readTargets reads the targets. A process that knows none begins with a copy of
// some seconds ago: when all of a fleet start at once, each reads all pages.
func (c *Catalog) readTargets(ctx context.Context, copied bool) (Reading, error) {
	began := clock.Now()
	list := c.store.Range
	if copied {
		list = c.store.RangeStale
		began = began.Add(-staleMost)
	}
	items, at, err := list(ctx, c.platform.TargetPrefix())
	return Reading{at, items, began}, err
}

// Learn takes in a reading of the targets. It tells whether the reading was newer.
func (c *Catalog) Learn(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.picture.Load(); p != nil && (r.Revision < p.Revision || (r.Revision == p.Revision && r.Began.Before(p.Began))) {
		return false
	}
	now := clock.Now()
	restored := c.restored(r.Revision)
	if restored {
		c.base = r.Revision
	}
	listed := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		c.take(i, from, now)
		listed[i.Key] = true
	}
	c.miss(c.unlisted(listed, r.Revision, func(string) bool { return true }), r.Revision, restored, from, now)
	if c.picture.Load() == nil {
		c.log.Info("The targets are known.", "count", len(c.known), "revision", r.Revision, "from", from)
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// Follow takes in what a watch of the targets told, up to a revision. It tells whether
// that was newer.
func (c *Catalog) Follow(events []hookhall.Item, revision hookhall.Revision, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.picture.Load() == nil || c.older(revision, began) {
		return false
	}
	now := clock.Now()
	last := map[string]hookhall.Item{} // a key may have changed twice
	for _, i := range events {
		last[i.Key] = i
	}
	var lost []*entry
	for key, i := range last {
		if e := c.known[key]; i.Gone && e != nil && e.missing.IsZero() {
			lost = append(lost, e)
		} else if !i.Gone {
			c.take(i, "store", now)
		}
	}
	c.miss(lost, revision, false, "store", now)
	c.publish(revision, began, now)
	return true
}

// restored tells whether a revision is of a later era of the store than what is known. The
// caller holds c.mu.
func (c *Catalog) restored(revision hookhall.Revision) bool {
	p := c.picture.Load()
	return p != nil && revision.Era() > p.Revision.Era()
}

// older tells whether what was read at a revision is no news.
func (c *Catalog) older(revision hookhall.Revision, began time.Time) bool {
	p := c.picture.Load()
	return p != nil && (revision < p.Revision || (revision == p.Revision && !began.After(p.Began)))
}

// publish makes the picture of what is known, as confirmed at a revision. The
// caller holds c.mu.
func (c *Catalog) publish(revision hookhall.Revision, began, now time.Time) {
	p := &Picture{Revision: revision, Began: began, Digest: c.buckets.whole()}
	old := c.picture.Load()
	if old == nil || c.lapsing(old.Began) {
		c.markAllDirty()
	}
	if old != nil {
		p.ByPool, p.Evacuated = old.ByPool, old.Evacuated
	}
	if len(c.dirty) > 0 {
		c.remake(p, now)
	}
	c.picture.Store(p)
}
