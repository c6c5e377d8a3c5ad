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
	f := targetsFollower{Catalog: c, pause: retry.Between(minRetryDelay, maxRetryDelay)}
	for ctx.Err() == nil {
		if !f.isDue(clock.Now()) {
			f.watchRevision = 0 // whoever was told by others may be ahead of an old watch
			f.isFollower = true
			retry.Sleep(ctx, pollInterval)
			continue
		}
		if f.isFollower {
			f.isFollower = false
			f.takeOver(clock.Now())
		}
		f.step(ctx)
	}
}

// targetsFollower is the loop of followTargets.
type targetsFollower struct {
	*Catalog
	pause         *retry.Pause
	copyBegan     time.Time         // when the copy that this process began with was made, at least
	watchRevision hookhall.Revision // the revision to watch from, 0 to read all targets
	lastFullRead  time.Time         // when all were last read
	// gather is set when a watch told of changes: others may come with them.
	hasEvents bool
	// follows is set while this process relies on updates of peers.
	isFollower bool
}

// takeOver lets a new first reader watch from the revision up to which its peers have updated
// it. Listing all targets first would take seconds in a large fleet, during which no gateway
// would learn of a change.
func (f *targetsFollower) takeOver(now time.Time) {
	if f.Rank() != 0 || f.Failing() {
		return
	}
	f.mu.Lock()
	synced := f.syncedRevision
	f.mu.Unlock()
	if p := f.snapshot.Load(); synced > 0 && p.Revision == synced && p.Age(now) < maxTakeoverAge {
		f.watchRevision, f.lastFullRead = synced, now
		f.log.Info("This process takes over as first reader.", "revision", synced, "age", p.Age(now))
	}
}

// wanted tells whether it is this process's turn to ask the store.
func (f *targetsFollower) isDue(now time.Time) bool {
	p := f.snapshot.Load()
	switch {
	case p == nil:
		return true
	case p.Began.Equal(f.copyBegan) && f.awaitsUpdates(f.copyBegan, now):
		return false
	}
	return f.Rank() == 0 || f.needsRead(p.Began, now)
}

// step makes one call of the store and takes its answer in.
func (f *targetsFollower) step(ctx context.Context) {
	now := clock.Now()
	began := f.snapshot.Load() == nil
	fresh, err := f.readOrWatch(ctx, began)
	if errors.Is(err, hookhall.ErrHistoryGone) {
		f.recordCall(ctx, nil)
		f.watchRevision = 0
		return
	}
	f.recordCall(ctx, err)
	if err != nil {
		f.watchRevision = 0 // whatever was missed is read whole
		f.pause.Wait(ctx)
		return
	}
	f.pause.Reset()
	if fresh && !began {
		f.Read()
	}
	if f.hasEvents {
		retry.Sleep(ctx, eventGatherDelay)
	} else if f.watchRevision == 0 || !f.lastFullRead.Before(now) {
		retry.Sleep(ctx, pollInterval) // a reading does not wait in the store, as a watch does
	}
}

// ask watches the targets, or reads all of them. It tells whether anything was newer
// than what is known.
func (f *targetsFollower) readOrWatch(ctx context.Context, begins bool) (fresh bool, err error) {
	f.hasEvents = false
	if f.watchRevision > 0 && f.Rank() == 0 && clock.Since(f.lastFullRead) < fullReadInterval {
		return f.watch(ctx)
	}
	r, err := f.readTargets(ctx, begins)
	if err != nil {
		return false, err
	}
	if begins {
		f.copyBegan = r.Began
		return f.Learn(r, "store's copy"), nil
	}
	f.watchRevision, f.lastFullRead = r.Revision, clock.Now()
	return f.Learn(r, "store"), nil
}

// watch waits for changes.
func (f *targetsFollower) watch(ctx context.Context) (fresh bool, err error) {
	began := clock.Now()
	events, at, err := f.store.Watch(ctx, f.platform.TargetPrefix(), f.watchRevision, readInterval)
	if err != nil {
		return false, err
	}
	f.watchRevision = at
	if len(events) == 0 && clock.Since(began) >= readInterval {
		began = began.Add(readInterval) // the store waited before it said that there is nothing
	}
	f.hasEvents = len(events) > 0
	return f.Follow(events, at, began), nil
}

// awaitsUpdates tells whether a process that began with a copy leaves the store to
// others for the moment.
func (c *Catalog) awaitsUpdates(first, now time.Time) bool {
	return c.Rank() == maxRank && now.Before(first.Add(maxCopyAge+confirmTimeout))
}

// readTargets reads the targets. A process that knows none begins with a copy of
// some seconds ago: when all of a fleet start at once, each reads all pages.
func (c *Catalog) readTargets(ctx context.Context, copied bool) (Reading, error) {
	began := clock.Now()
	list := c.store.Range
	if copied {
		list = c.store.RangeStale
		began = began.Add(-maxCopyAge)
	}
	items, at, err := list(ctx, c.platform.TargetPrefix())
	return Reading{at, items, began}, err
}

// Learn takes in a reading of the targets. It tells whether the reading was newer.
func (c *Catalog) Learn(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.snapshot.Load(); p != nil && (r.Revision < p.Revision || (r.Revision == p.Revision && r.Began.Before(p.Began))) {
		return false
	}
	now := clock.Now()
	restored := c.isLaterEra(r.Revision)
	if restored {
		c.eraBaseRevision = r.Revision
	}
	listed := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
	}
	c.markMissing(c.unlisted(listed, r.Revision, func(string) bool { return true }), r.Revision, restored, from, now)
	if c.snapshot.Load() == nil {
		c.log.Info("The targets are known.", "count", len(c.entriesByKey), "revision", r.Revision, "from", from)
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// Follow takes in what a watch of the targets told, up to a revision. It tells whether
// that was newer.
func (c *Catalog) Follow(events []hookhall.Item, revision hookhall.Revision, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Load() == nil || c.isOlder(revision, began) {
		return false
	}
	now := clock.Now()
	last := map[string]hookhall.Item{} // a key may have changed twice
	for _, i := range events {
		last[i.Key] = i
	}
	var lost []*entry
	for key, i := range last {
		if e := c.entriesByKey[key]; i.Gone && e != nil && e.missingSince.IsZero() {
			lost = append(lost, e)
		} else if !i.Gone {
			c.applyItem(i, "store", now)
		}
	}
	c.markMissing(lost, revision, false, "store", now)
	c.publish(revision, began, now)
	return true
}

// restored tells whether a revision is of a later era of the store than what is known. The
// caller holds c.mu.
func (c *Catalog) isLaterEra(revision hookhall.Revision) bool {
	p := c.snapshot.Load()
	return p != nil && revision.Era() > p.Revision.Era()
}

// older tells whether what was read at a revision is no news.
func (c *Catalog) isOlder(revision hookhall.Revision, began time.Time) bool {
	p := c.snapshot.Load()
	return p != nil && (revision < p.Revision || (revision == p.Revision && !began.After(p.Began)))
}

// publish makes the picture of what is known, as confirmed at a revision. The
// caller holds c.mu.
func (c *Catalog) publish(revision hookhall.Revision, began, now time.Time) {
	p := &Picture{Revision: revision, Began: began, Digest: c.bucketDigests.combined()}
	old := c.snapshot.Load()
	if old == nil || c.hasLapsed(old.Began) {
		c.markAllDirty()
	}
	if old != nil {
		p.ByPool, p.Evacuated = old.ByPool, old.Evacuated
	}
	if len(c.changesByPool) > 0 {
		c.rebuild(p, now)
	}
	c.snapshot.Store(p)
}
