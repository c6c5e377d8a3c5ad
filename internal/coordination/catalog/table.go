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

type tableState struct {
	table    *routetable.Table
	revision hookhall.Revision
	// packed is the table's value as it goes to peers: a large one takes its time
	// on a small link. Whoever gets it from a peer passes the same bytes on.
	packed []byte
	// confirmed is when this revision was the newest one, for all that is known.
	confirmed time.Time
}

// errNoTable: the store answers, but operators have not written a table.
var errNoTable = errors.New("the store has no table yet")

// PackedTable is the table's value, compressed, with its revision, for peers.
func (c *Catalog) PackedTable() ([]byte, hookhall.Revision) {
	if s := c.table.Load(); s != nil {
		return s.packed, s.revision
	}
	return nil, 0
}

// followTable watches the table if this process reads for all, and else reads it when
// others have not confirmed it for a while.
func (c *Catalog) followTable(ctx context.Context) {
	pause := retry.Between(minRetryDelay, maxRetryDelay)
	at := hookhall.Revision(0)
	for ctx.Err() == nil {
		if s := c.table.Load(); s != nil && c.Rank() > 0 && !c.needsRead(s.confirmed, clock.Now()) {
			at = 0 // whoever was told by others may be ahead of an old watch
			retry.Sleep(ctx, pollInterval)
			continue
		}
		since := at
		var err error
		if at == 0 {
			at, err = c.readTable(ctx)
		} else {
			at, err = c.watchTable(ctx, at)
		}
		if errors.Is(err, hookhall.ErrHistoryGone) {
			c.log.Info("The store has forgotten its history; the table is read anew.", "since", since)
			continue
		}
		if errors.Is(err, errNoTable) {
			c.recordCall(ctx, nil)
			c.logNoTable()
			if c.Rank() == maxRank {
				retry.Sleep(ctx, retry.Jitter(noTableRetryDelay))
			} else {
				pause.Wait(ctx)
			}
			continue
		}
		c.recordCall(ctx, err)
		if err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// logNoTable writes one line while operators have not written a table.
func (c *Catalog) logNoTable() {
	if !c.isTableMissing.Swap(true) {
		c.log.Info("The store answers, but has no table yet.")
	}
}

// readTable reads the table and returns the revision to watch from.
func (c *Catalog) readTable(ctx context.Context) (hookhall.Revision, error) {
	began := clock.Now()
	items, at, err := c.store.Range(ctx, c.platform.OperatorPrefix())
	if err != nil {
		return 0, err
	}
	// The halls come first: a process is ready with its first table, and must not
	// send anything into a hall that was evacuated before it started.
	fresh := c.LearnHalls(Halls{at, c.evacuatedHalls(items)}, "store")
	fresh = c.Orders(items, at, true) || fresh
	found := c.applyStoredTable(items, began)
	if fresh {
		c.Read()
	}
	if !found {
		return 0, errNoTable
	}
	// Not from the table's own revision: its history may be gone since.
	return at, nil
}

func (c *Catalog) watchTable(ctx context.Context, since hookhall.Revision) (hookhall.Revision, error) {
	began := clock.Now()
	events, at, err := c.store.Watch(ctx, c.platform.OperatorPrefix(), since, tableWatchTimeout)
	if err != nil {
		// Whatever was missed is read whole.
		return 0, err
	}
	changed := c.applyHallEvents(events, at)
	if changed = c.Orders(events, at, false) || changed; changed {
		c.Read()
	}
	if c.applyStoredTable(events, began) {
		return at, nil
	}
	if clock.Since(began) >= tableWatchTimeout {
		began = began.Add(tableWatchTimeout) // the store waited before it said that there is nothing
	}
	if s := c.table.Load(); s != nil {
		c.ConfirmTable(s.revision, began)
	}
	return at, nil
}

// applyStoredTable takes in the newest table among keys that the store had when a call
// began, and passes it on if it is new. It tells whether there was one. One answer of
// a watch may hold several: the first alone would stay in force until the next change.
func (c *Catalog) applyStoredTable(items []hookhall.Item, began time.Time) bool {
	var newest hookhall.Item
	for _, i := range items {
		if i.Key == c.platform.RoutingKey() && !i.Gone && i.Revision > newest.Revision {
			newest = i
		}
	}
	if newest.Revision == 0 {
		return false
	}
	if c.LearnTable(newest.Value, newest.Revision, "store", began) {
		c.Read()
	}
	return true
}

// ConfirmTable takes in that a revision was still the newest at a time. It tells
// whether this process has that revision.
func (c *Catalog) ConfirmTable(revision hookhall.Revision, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.table.Load()
	if s == nil || s.revision < revision {
		return false
	}
	if s.revision == revision && at.After(s.confirmed) {
		again := *s
		again.confirmed = at
		c.table.Store(&again)
	}
	return true
}

// TableAge is the table's revision, and for how long it has not been confirmed.
func (c *Catalog) TableAge(now time.Time) (revision hookhall.Revision, age time.Duration) {
	if s := c.table.Load(); s != nil {
		return s.revision, now.Sub(s.confirmed)
	}
	return 0, 0
}

// LearnTable takes in a table that was read at revision in a call that began at a
// time. It tells whether the table was newer.
func (c *Catalog) LearnTable(value []byte, revision hookhall.Revision, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	packed, err := Pack(value)
	if err != nil {
		c.log.Error("The table can't be packed.", "revision", revision, "error", err.Error())
		return false
	}
	return c.installTable(value, packed, revision, from, began)
}

// LearnPacked is LearnTable of what a peer's PackedTable gave.
func (c *Catalog) LearnPacked(packed []byte, revision hookhall.Revision, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	value, err := Unpack(packed)
	if err != nil {
		c.log.Error("A peer's table can't be unpacked.", "revision", revision, "from", from, "error", err.Error())
		return false
	}
	return c.installTable(value, packed, revision, from, began)
}

func (c *Catalog) installTable(value, packed []byte, revision hookhall.Revision, from string, began time.Time) bool {
	r, err := c.platform.ReadRouting(value)
	if err != nil {
		c.log.Error("The table can't be read; the one in force stays.", "revision", revision, "error", err.Error())
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
	c.log.Info("A table is in force.", "version", r.Version, "revision", revision, "from", from,
		"routes", len(r.Routes), "services", len(r.Services), "accounts", len(r.Accounts), "bytes", len(value), "packed", len(packed))
	return true
}
