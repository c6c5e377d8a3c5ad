// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
)

// Reading is one list of targets as the store had it.
type Reading struct {
	Revision uint64
	Items    []hookhall.Item
	// Began is when the reading began, by this process's steady clock.
	Began time.Time
}

// Picture is what is believed of the targets. It never changes.
type Picture struct {
	Revision uint64
	Began    time.Time
	// ByPool has the usable targets by service, sorted by id; leaving ones and those
	// of evacuated halls are not in it.
	ByPool map[string][]hookhall.Target
	// Evacuated has the services with targets that only the evacuation of their hall
	// keeps out of ByPool.
	Evacuated map[string]bool
	// ByID has all that are known, leaving and lapsed ones too.
	ByID map[string]hookhall.Target
	// Digest sums up all listed targets; equal digests mean equal lists.
	Digest uint64
	// HallAt has the hall of the target at an address.
	HallAt map[string]string
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

// followTargets reads the targets whenever what is believed of them has grown old.
func (c *Catalog) followTargets(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	var first time.Time // when the copy that this process began with was made, at least
	for ctx.Err() == nil {
		now := time.Now()
		p := c.picture.Load()
		if p != nil && (!c.due(p.Began, now) || (p.Began.Equal(first) && c.awaitsNews(first, now))) {
			retry.Sleep(ctx, look)
			continue
		}
		r, err := c.readTargets(ctx, p == nil)
		c.noteCall(ctx, err)
		if err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		if p == nil {
			first = r.Began
			c.Learn(r, "store's copy")
		} else if c.Learn(r, "store") {
			c.Read()
			continue
		}
		// Also after a reading that was no news: the next one may be none either.
		retry.Sleep(ctx, look)
	}
}

// awaitsNews tells whether a process that began with a copy leaves the store to
// others for the moment.
func (c *Catalog) awaitsNews(first, now time.Time) bool {
	return c.Rank() == rankMost && now.Before(first.Add(staleMost+confirmWait))
}

// readTargets reads the targets. A process that knows none begins with a copy of
// some seconds ago: when all of a fleet start at once, each reads all pages.
func (c *Catalog) readTargets(ctx context.Context, copied bool) (Reading, error) {
	began := time.Now()
	list := c.store.Range
	if copied {
		list = c.store.RangeStale
		began = began.Add(-staleMost)
	}
	items, at, err := list(ctx, c.platform.TargetPrefix())
	return Reading{at, items, began}, err
}

// publish makes the picture of what is known, as confirmed at a revision. The
// caller holds c.mu.
func (c *Catalog) publish(revision uint64, began, now time.Time) {
	p := &Picture{
		Revision: revision, Began: began,
		ByPool: map[string][]hookhall.Target{}, ByID: map[string]hookhall.Target{}, HallAt: map[string]string{}, Evacuated: map[string]bool{},
	}
	halls := c.Halls()
	for id, e := range c.known {
		p.ByID[id] = e.target
		if e.missing.IsZero() || p.HallAt[e.target.Address] == "" {
			p.HallAt[e.target.Address] = e.target.Hall
		}
		switch {
		case !e.usable(now):
		case halls.has(e.target.Hall):
			p.Evacuated[e.target.Pool] = true
		default:
			t := e.target
			t.ColdUntil = c.coldUntil(e)
			p.ByPool[t.Pool] = append(p.ByPool[t.Pool], t)
		}
		if e.missing.IsZero() {
			p.Digest ^= digest(e.target)
		}
	}
	for _, list := range p.ByPool {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	c.picture.Store(p)
}
