// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// Reading is a list of targets as of a revision of the store.
type Reading struct {
	Revision hookhall.Revision
	Items    []hookhall.Item
	// Began is when the reading began, by this process's monotonic clock.
	Began time.Time
}

// Snapshot is an immutable copy of the targets' state. It shares the lists of services that have
// not changed with the copy before it.
type Snapshot struct {
	// Revision is the store's revision at the reading that confirmed the snapshot, and Began the
	// time at which that reading began, by this process's monotonic clock.
	Revision hookhall.Revision
	Began    time.Time
	// ByPool has the usable targets by service (Target.Pool), sorted by id, without those that
	// are leaving or in evacuated halls.
	ByPool map[string][]hookhall.Target
	// EvacuatedServices has the services with targets that are kept out of ByPool only by the
	// evacuation of their hall.
	EvacuatedServices map[string]bool
	// Digest combines the digests of all listed targets; equal digests mean equal lists.
	Digest uint64
}

// ColdTargets returns the ids of the usable targets that count as cold, sorted.
func (s *Snapshot) ColdTargets(now time.Time) []string {
	var ids []string
	for _, list := range s.ByPool {
		for _, t := range list {
			if t.Cold(now) {
				ids = append(ids, t.ID)
			}
		}
	}
	sort.Strings(ids)
	return ids
}

// Age returns the time since the reading that confirmed the snapshot began.
func (s *Snapshot) Age(now time.Time) time.Duration { return now.Sub(s.Began) }

// followTargets reads the targets whenever their state is too old for the rank of this process.
// The first reader watches them, and beside that lists all of them every fullReadInterval. It
// returns when ctx ends.
func (c *Catalog) followTargets(ctx context.Context) {
	f := targetsFollower{Catalog: c, backoff: retry.NewWithDelays(minRetryDelay, maxRetryDelay)}
	defer f.checks.Wait()
	for ctx.Err() == nil {
		if !f.isDue(clock.Now()) {
			f.watchRevision = 0 // updates of peers may be ahead of an earlier watch
			f.isFollower, f.awaitsTurn = true, false
			retry.Sleep(ctx, pollInterval)
			continue
		}
		if f.awaitPeersOrTurn(ctx) {
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

// targetsFollower is the state of the loop in followTargets.
type targetsFollower struct {
	*Catalog
	backoff       *retry.Backoff
	copyBegan     time.Time         // lower bound of the time at which the initial copy was made
	watchRevision hookhall.Revision // the revision to watch from, 0 to list all targets
	lastFullRead  time.Time         // when all targets were last listed, or begun to be
	checks        sync.WaitGroup    // the running check
	isChecking    atomic.Bool       // whether all targets are listed beside the watch
	// watchFailed is set while the last watch failed, and the one before it did not.
	watchFailed bool
	// eventCount is the number of changes that the last watch returned: others may follow shortly.
	eventCount int
	// isFollower is set while this process relies on updates of peers.
	isFollower bool
	// catchesUp is set if a process of maxRank asks the store for changes once.
	catchesUp bool
	// awaitsTurn is set while a process of maxRank waits to list all targets, which it does at
	// turnAt, a random time within turnSpread.
	awaitsTurn bool
	turnAt     time.Time
	turnSpread time.Duration
}

// takeOver lets a new first reader watch from the revision up to which its peers have updated
// it. Listing all targets first would take seconds in a large fleet, during which no gateway
// would learn of a change.
func (f *targetsFollower) takeOver(now time.Time) {
	if f.ReaderRank() != 0 || f.Failing() {
		return
	}
	f.mu.Lock()
	synced := f.syncedRevision
	f.mu.Unlock()
	if snapshot := f.snapshot.Load(); synced > 0 && snapshot.Revision == synced && snapshot.Age(now) < maxTakeoverAge {
		f.watchRevision, f.lastFullRead = synced, now
		f.log.Info("took over as first reader", "revision", synced, "age", snapshot.Age(now))
	}
}

// isDue reports whether this process must call the store now.
func (f *targetsFollower) isDue(now time.Time) bool {
	snapshot := f.snapshot.Load()
	switch {
	case snapshot == nil:
		return true
	case snapshot.Began.Equal(f.copyBegan) && f.awaitsUpdates(f.copyBegan, now):
		return false
	}
	return f.ReaderRank() == 0 || f.needsRead(snapshot.Began, now)
}

// step makes one call of the store and applies its answer.
func (f *targetsFollower) step(ctx context.Context) {
	now := clock.Now()
	isFirst := f.snapshot.Load() == nil
	fresh, err := f.readOrWatch(ctx, isFirst)
	if errors.Is(err, hookhall.ErrHistoryGone) {
		f.recordCall(ctx, nil)
		f.watchRevision, f.watchFailed = 0, true
		return
	}
	f.recordCall(ctx, err)
	if !f.catchesUp {
		f.endTurn(clock.Now(), err)
	}
	if err != nil {
		f.recordFailure()
		f.backoff.Wait(ctx)
		return
	}
	f.watchFailed = false
	f.backoff.Reset()
	if fresh && !isFirst {
		f.OnStoreRead()
	}
	if f.eventCount >= manyEvents {
		retry.Sleep(ctx, manyEventsGatherDelay)
	} else if f.eventCount > 0 {
		retry.Sleep(ctx, eventGatherDelay)
	} else if f.watchRevision == 0 || !f.lastFullRead.Before(now) {
		retry.Sleep(ctx, pollInterval) // unlike a watch, a full read does not wait in the store
	}
}

// recordFailure decides how to go on after a call without an answer. One watch may be lost; the next
// one brings the same changes. After two there is an outage, in which the leases of many targets
// may have expired: a list shows that they did so together.
func (f *targetsFollower) recordFailure() {
	if f.watchFailed {
		f.watchRevision = 0
	}
	f.watchFailed = f.watchRevision > 0
}

// readOrWatch watches the targets or lists all of them, from a copy on the first call, and reports
// whether the answer was newer than the known state.
func (f *targetsFollower) readOrWatch(ctx context.Context, isFirst bool) (fresh bool, err error) {
	f.eventCount = 0
	switch {
	case f.watchRevision > 0 && f.ReaderRank() == 0:
		f.catchesUp = false
		if clock.Since(f.lastFullRead) >= fullReadInterval {
			f.startCheck(ctx)
		}
		return f.watch(ctx, readInterval)
	case f.watchRevision > 0 && f.catchesUp:
		return f.watch(ctx, 0)
	}
	f.catchesUp = false
	if !isFirst {
		f.log.Info("reading all targets", "rank", f.ReaderRank(), "age", f.TargetsAge(clock.Now()), "watched_to", f.watchRevision)
	}
	r, err := f.readTargets(ctx, isFirst)
	if err != nil {
		return false, err
	}
	if isFirst {
		f.copyBegan = r.Began
		return f.ApplyReading(r, "store's copy"), nil
	}
	f.watchRevision, f.lastFullRead = r.Revision, clock.Now()
	return f.ApplyReading(r, "store"), nil
}

// startCheck lists all targets beside the watch, unless it still does so: with thousands of targets
// or a slow store that takes seconds, and meanwhile no gateway would learn of a change.
func (f *targetsFollower) startCheck(ctx context.Context) {
	if !f.isChecking.CompareAndSwap(false, true) {
		return
	}
	f.lastFullRead = clock.Now()
	f.checks.Go(func() {
		defer f.isChecking.Store(false)
		r, err := f.readTargets(ctx, false)
		if err != nil {
			f.log.Info("list to check the watch not read", "error", err.Error())
			return
		}
		if f.Reconcile(r, "store") {
			f.OnStoreRead()
		}
	})
}

// watch waits for changes of the targets, applies them, and reports whether the answer was newer than
// the known state.
func (f *targetsFollower) watch(ctx context.Context, wait time.Duration) (fresh bool, err error) {
	began := clock.Now()
	events, revision, err := f.store.Watch(ctx, f.schema.TargetPrefix(), f.watchRevision, wait)
	if err != nil {
		return false, err
	}
	f.watchRevision = revision
	if len(events) == 0 && clock.Since(began) >= wait {
		began = began.Add(wait) // the store waited that long and found no change
	}
	f.eventCount = len(events)
	return f.ApplyEvents(events, revision, began), nil
}

// awaitsUpdates reports whether a process that started with a copy still waits for updates of
// peers rather than read the store.
func (c *Catalog) awaitsUpdates(copyBegan, now time.Time) bool {
	return c.ReaderRank() == maxRank && now.Before(copyBegan.Add(maxCopyAge+confirmTimeout))
}

// readTargets lists the targets. With stale set, as for the first reading, it reads a copy that is
// up to maxCopyAge old, which costs the store less: when a whole fleet starts at once, each
// process reads all pages.
func (c *Catalog) readTargets(ctx context.Context, stale bool) (Reading, error) {
	began := clock.Now()
	list := c.store.Range
	if stale {
		list = c.store.RangeStale
		began = began.Add(-maxCopyAge)
	}
	items, revision, err := list(ctx, c.schema.TargetPrefix())
	return Reading{revision, items, began}, err
}

// ApplyReading applies a reading of all targets, and reports whether it was at least as recent as
// the known state. from names the source, for the log.
func (c *Catalog) ApplyReading(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if snapshot := c.snapshot.Load(); snapshot != nil && (r.Revision < snapshot.Revision || (r.Revision == snapshot.Revision && r.Began.Before(snapshot.Began))) {
		return false
	}
	now := clock.Now()
	restored := c.isLaterEra(r.Revision)
	if r.Revision.Era() > c.eraBaseRevision.Era() { // an update may have shown the era before
		c.eraBaseRevision = r.Revision
	}
	isFirst := c.snapshot.Load() == nil
	listed := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
		if isFirst {
			c.forgetRemoval(i.Revision)
		}
	}
	c.markMissing(c.unlisted(listed, r.Revision, func(string) bool { return true }), r.Revision, restored, from, now)
	if isFirst {
		c.firstBegan = r.Began
		c.forgetRemoval(r.Revision)
		c.log.Info("targets loaded", "count", len(c.entriesByKey), "revision", r.Revision, "from", from)
	}
	c.publish(r.Revision, r.Began, now)
	return true
}

// Reconcile applies what a reading of all targets has beyond the known state, which may be more
// recent, and reports whether there was anything. Changes after the reading's revision are kept.
func (c *Catalog) Reconcile(r Reading, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.snapshot.Load()
	now, before := clock.Now(), c.bucketDigests.combined()
	if snapshot == nil || r.Revision.Era() != snapshot.Revision.Era() || now.Sub(r.Began) > missingTTL {
		return false // removals since then may be forgotten
	}
	listed := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		c.applyItem(i, from, now)
		listed[i.Key] = true
	}
	c.markMissing(c.unlisted(listed, r.Revision, func(string) bool { return true }), snapshot.Revision, false, from, now)
	c.publish(snapshot.Revision, snapshot.Began, now)
	return c.bucketDigests.combined() != before
}

// ApplyEvents applies the events of a watch of the targets up to a revision, read in a call that
// began at a given time, and reports whether they were newer than the known state.
func (c *Catalog) ApplyEvents(events []hookhall.Item, revision hookhall.Revision, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot.Load() == nil || c.isOlder(revision, began) {
		return false
	}
	now := clock.Now()
	last := map[string]hookhall.Item{} // a key may have several events
	for _, i := range events {
		last[i.Key] = i
	}
	var lost []*entry
	for key, i := range last {
		e := c.entriesByKey[key]
		switch {
		case !i.Deleted:
			c.applyItem(i, "store", now)
		case e == nil:
			c.forgetRemoval(i.Revision)
		case e.missingSince.IsZero():
			lost = append(lost, e)
		default:
			e.markRemoved(i.Revision)
		}
	}
	c.markMissing(lost, revision, false, "store", now)
	c.publish(revision, began, now)
	return true
}

// isLaterEra reports whether a revision belongs to a later era of the store than the known state.
// c.mu must be held.
func (c *Catalog) isLaterEra(revision hookhall.Revision) bool {
	snapshot := c.snapshot.Load()
	return snapshot != nil && revision.Era() > snapshot.Revision.Era()
}

// isOlder reports whether the known state is at least as recent as a revision that was read in a
// call that began at a given time.
func (c *Catalog) isOlder(revision hookhall.Revision, began time.Time) bool {
	snapshot := c.snapshot.Load()
	return snapshot != nil && (revision < snapshot.Revision || (revision == snapshot.Revision && !began.After(snapshot.Began)))
}

// publish stores a new snapshot of the known targets, as confirmed at a revision in a call that
// began at a given time. c.mu must be held.
func (c *Catalog) publish(revision hookhall.Revision, began, now time.Time) {
	snapshot := &Snapshot{Revision: revision, Began: began, Digest: c.bucketDigests.combined()}
	old := c.snapshot.Load()
	if old == nil || c.hasLapsed(old.Began) {
		c.markAllDirty()
	}
	if old != nil {
		snapshot.ByPool, snapshot.EvacuatedServices = old.ByPool, old.EvacuatedServices
	}
	if len(c.changesByPool) > 0 {
		c.rebuild(snapshot, now)
	}
	c.snapshot.Store(snapshot)
}
