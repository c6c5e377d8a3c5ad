// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

// tableState is a table in force. It never changes once stored.
type tableState struct {
	table    *routetable.Table
	revision hookhall.Revision
	// packed is the table's value as sent to peers, compressed because a large one takes long
	// on a slow link. A process that got it from a peer passes on the same bytes.
	packed []byte
	// confirmed is the latest time at which this revision is known to have been the newest.
	confirmed time.Time
}

// errNoTable is returned if the store answers but operators have not written a table.
var errNoTable = errors.New("the store has no table yet")

// PackedTable returns the table's value as Pack compresses it, its revision, and the time since it
// was last confirmed, for peers; zeros before the first table.
func (c *Catalog) PackedTable(now time.Time) (packed []byte, revision hookhall.Revision, age time.Duration) {
	if s := c.table.Load(); s != nil {
		return s.packed, s.revision, now.Sub(s.confirmed)
	}
	return nil, 0, 0
}

// followTable watches the table if this process is the first reader, and otherwise reads it when
// peers have not confirmed it in time. It returns when ctx ends.
func (c *Catalog) followTable(ctx context.Context) {
	backoff := retry.NewWithDelays(minRetryDelay, maxRetryDelay)
	watchRevision := hookhall.Revision(0)
	for ctx.Err() == nil {
		if c.isTableCurrent(ctx) {
			watchRevision = 0 // updates of peers may be ahead of an earlier watch
			retry.Sleep(ctx, pollInterval)
			continue
		}
		since := watchRevision
		var err error
		if watchRevision == 0 {
			watchRevision, err = c.readTable(ctx)
		} else {
			watchRevision, err = c.watchTable(ctx, watchRevision)
		}
		if errors.Is(err, hookhall.ErrHistoryGone) {
			c.log.Info("store history no longer available; rereading the table", "since", since)
			continue
		}
		if errors.Is(err, errNoTable) {
			c.recordCall(ctx, nil)
			c.logNoTable()
			if c.ReaderRank() == maxRank {
				retry.Sleep(ctx, retry.Jitter(noTableRetryDelay))
			} else {
				backoff.Wait(ctx)
			}
			continue
		}
		c.recordCall(ctx, err)
		if err != nil {
			backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
	}
}

// isTableCurrent reports whether peers have confirmed the table in time, so that this process need
// not read it. Peers are asked first: many gateways may have missed an update, and the store may
// not answer this one.
func (c *Catalog) isTableCurrent(ctx context.Context) bool {
	rank := c.ReaderRank()
	if c.table.Load() == nil || rank == 0 {
		return false
	}
	isCurrent := func() bool { return !c.needsRead(c.table.Load().confirmed, clock.Now()) }
	if !isCurrent() && rank >= maxRank && c.prefersPeers() {
		c.PullTable(ctx)
	}
	return isCurrent()
}

// logNoTable logs that the store has no table, once until it has one again.
func (c *Catalog) logNoTable() {
	if !c.isTableMissing.Swap(true) {
		c.log.Info("store has no table")
	}
}

// readTable reads all of the operators' keys, applies them, and returns the revision to watch
// from. It returns errNoTable if there is no table.
func (c *Catalog) readTable(ctx context.Context) (hookhall.Revision, error) {
	began := clock.Now()
	items, revision, err := c.store.Range(ctx, c.schema.OperatorPrefix())
	if err != nil {
		return 0, err
	}
	// The halls are applied first: a process is ready with its first table, and must not send
	// anything to a hall that was evacuated before it started.
	fresh := c.ApplyHalls(Halls{revision, c.evacuatedHalls(items)}, "store")
	fresh = c.ApplyOperatorKeys(items, revision, true) || fresh
	found := c.applyStoredTable(items, began)
	if fresh {
		c.OnStoreRead()
	}
	if !found {
		return 0, errNoTable
	}
	// Not the table's own revision: the store may no longer have the history since then.
	return revision, nil
}

// watchTable waits for changes of the operators' keys after a revision, applies them, and returns
// the revision to watch from next, or 0 with an error.
func (c *Catalog) watchTable(ctx context.Context, since hookhall.Revision) (hookhall.Revision, error) {
	began := clock.Now()
	events, revision, err := c.store.Watch(ctx, c.schema.OperatorPrefix(), since, tableWatchTimeout)
	if err != nil {
		// A full read brings whatever the watch missed.
		return 0, err
	}
	changed := c.applyHallEvents(events, revision)
	if changed = c.ApplyOperatorKeys(events, revision, false) || changed; changed {
		c.OnStoreRead()
	}
	if c.applyStoredTable(events, began) {
		return revision, nil
	}
	if clock.Since(began) >= tableWatchTimeout {
		began = began.Add(tableWatchTimeout) // the store waited that long and found no change
	}
	if s := c.table.Load(); s != nil {
		c.ConfirmTable(s.revision, began)
	}
	return revision, nil
}

// applyStoredTable applies the newest table among keys that the store had when a call began,
// updates peers if it is new, and reports whether there was one. An answer of a watch may hold
// several: if the first were used, it would stay in force until the next change.
func (c *Catalog) applyStoredTable(items []hookhall.Item, began time.Time) bool {
	var newest hookhall.Item
	for _, i := range items {
		if i.Key == c.schema.RoutingKey() && !i.Deleted && i.Revision > newest.Revision {
			newest = i
		}
	}
	if newest.Revision == 0 {
		return false
	}
	c.isTableMissing.Store(false)
	if c.ApplyTable(newest.Value, newest.Revision, "store", began) {
		c.OnStoreRead()
	}
	return true
}

// ConfirmTable records that a revision was still the newest at a given time, and reports whether
// this process has a table of that revision or a later one.
func (c *Catalog) ConfirmTable(revision hookhall.Revision, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.table.Load()
	if s == nil || s.revision < revision {
		return false
	}
	if s.revision == revision && at.After(s.confirmed) {
		updated := *s
		updated.confirmed = at
		c.table.Store(&updated)
	}
	return true
}

// TableAge returns the table's revision and the time since it was last confirmed; zeros before
// the first table.
func (c *Catalog) TableAge(now time.Time) (revision hookhall.Revision, age time.Duration) {
	if s := c.table.Load(); s != nil {
		return s.revision, now.Sub(s.confirmed)
	}
	return 0, 0
}

// AgedTable returns the table in force and the time since it was last confirmed; nil and 0 before
// the first table.
func (c *Catalog) AgedTable(now time.Time) (table *routetable.Table, age time.Duration) {
	if s := c.table.Load(); s != nil {
		return s.table, now.Sub(s.confirmed)
	}
	return nil, 0
}

// ApplyTable applies a table of a revision, read in a call that began at a given time, and
// reports whether it was newer than the one in force.
func (c *Catalog) ApplyTable(value []byte, revision hookhall.Revision, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	packed, err := Pack(value)
	if err != nil {
		c.log.Error("could not compress the table", "revision", revision, "error", err.Error())
		return false
	}
	return c.installTable(value, packed, revision, from, began)
}

// ApplyPackedTable is like ApplyTable for the compressed value that a peer's PackedTable returned.
func (c *Catalog) ApplyPackedTable(packed []byte, revision hookhall.Revision, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	value, err := Unpack(packed)
	if err != nil {
		c.log.Error("could not decompress the table of a peer", "revision", revision, "from", from, "error", err.Error())
		return false
	}
	return c.installTable(value, packed, revision, from, began)
}

// installTable puts a table in force if it is valid and newer than the present one.
func (c *Catalog) installTable(value, packed []byte, revision hookhall.Revision, from string, began time.Time) bool {
	r, err := c.schema.ReadRouting(value)
	if err != nil {
		c.log.Error("could not parse the table; keeping the current one", "revision", revision, "error", err.Error())
		return false
	}
	compiled := routetable.Compile(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.table.Load()
	if s != nil && s.revision >= revision {
		return false
	}
	if c.isOlderTable(s, r.Version, revision) {
		c.keepNewerTable(s, r.Version, revision, began)
		return false
	}
	c.table.Store(&tableState{table: compiled, revision: revision, packed: packed, confirmed: began})
	c.log.Info("table applied", "version", r.Version, "revision", revision, "from", from,
		"routes", len(r.Routes), "services", len(r.Services), "accounts", len(r.Accounts), "bytes", len(value), "packed", len(packed))
	return true
}
