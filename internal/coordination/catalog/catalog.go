// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

const (
	// watchTime is how long a watch of the table waits.
	watchTime = 1200 * time.Millisecond
	// targetsEvery is how old the targets may get before this process reads
	// them itself.
	targetsEvery = 450 * time.Millisecond
	// look is how often it looks whether they are.
	look = 50 * time.Millisecond
	// pauseFirst and pauseMost bound the pauses after failures of the store.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
)

// Timing is what the operators say of the targets.
type Timing struct {
	// Heartbeat is how often a target writes its key.
	Heartbeat time.Duration
}

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
	// ByPool has the usable targets by service, sorted by id; leaving ones are
	// not in it.
	ByPool map[string][]hookhall.Target
	// ByID has all that are known, leaving and lapsed ones too.
	ByID map[string]hookhall.Target
	// HallAt has the hall of the target at an address.
	HallAt map[string]string
}

// Age is how old the picture is.
func (p *Picture) Age(now time.Time) time.Duration { return now.Sub(p.Began) }

type tableState struct {
	table    *routetable.Table
	revision uint64
	value    []byte
}

// Catalog follows the store.
type Catalog struct {
	store    hookhall.Store
	platform hookhall.Platform
	timing   Timing
	log      *log.Logger

	table   atomic.Pointer[tableState]
	picture atomic.Pointer[Picture]
	// Read is called after each reading of the targets by this process.
	Read func(Reading)

	mu    sync.Mutex // held while pictures and tables change
	known map[string]*entry

	failing atomic.Bool // the last call of the store failed
}

// New makes a Catalog; Run follows the store.
func New(s hookhall.Store, p hookhall.Platform, t Timing, l *log.Logger) *Catalog {
	return &Catalog{store: s, platform: p, timing: t, log: l, known: map[string]*entry{}}
}

// Table is the table in force, nil before the first.
func (c *Catalog) Table() *routetable.Table {
	if s := c.table.Load(); s != nil {
		return s.table
	}
	return nil
}

// Picture is what is believed of the targets, nil before the first reading.
func (c *Catalog) Picture() *Picture { return c.picture.Load() }

// Targets are the usable targets of a service.
func (c *Catalog) Targets(pool string) []hookhall.Target {
	if p := c.picture.Load(); p != nil {
		return p.ByPool[pool]
	}
	return nil
}

// HallAt is the hall of the target at an address, "" when none is known there.
func (c *Catalog) HallAt(address string) string {
	if p := c.picture.Load(); p != nil {
		return p.HallAt[address]
	}
	return ""
}

// Ready tells whether both the table and the targets are known.
func (c *Catalog) Ready() bool { return c.table.Load() != nil && c.picture.Load() != nil }

// RawTable is the table's value and revision, for peers.
func (c *Catalog) RawTable() ([]byte, uint64) {
	if s := c.table.Load(); s != nil {
		return s.value, s.revision
	}
	return nil, 0
}

// Run follows the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.followTable(ctx) }()
	go func() { defer wg.Done(); c.followTargets(ctx) }()
	wg.Wait()
}

func (c *Catalog) followTable(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	at := uint64(0)
	for ctx.Err() == nil {
		var err error
		since := at
		if at == 0 {
			at, err = c.readTable(ctx)
		} else {
			at, err = c.watchTable(ctx, at)
		}
		if errors.Is(err, hookhall.ErrHistoryGone) {
			c.log.Info("The store has forgotten its history; the table is read anew.", "since", since)
			continue
		}
		c.told(ctx, err)
		if err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// readTable reads the table and returns the revision to watch from.
func (c *Catalog) readTable(ctx context.Context) (uint64, error) {
	i, at, err := c.store.Get(ctx, c.platform.RoutingKey())
	if err != nil {
		return 0, err
	}
	if i.Revision == 0 {
		return 0, errors.Wrap(hookhall.ErrUnavailable, "no table yet")
	}
	c.LearnTable(i.Value, i.Revision, "store")
	// Not from the key's own revision: its history may be gone since.
	return max(at, i.Revision), nil
}

func (c *Catalog) watchTable(ctx context.Context, since uint64) (uint64, error) {
	events, at, err := c.store.Watch(ctx, c.platform.RoutingKey(), since, watchTime)
	if err != nil {
		// Whatever was missed is read whole.
		return 0, err
	}
	for _, i := range events {
		if i.Key == c.platform.RoutingKey() && !i.Gone {
			c.LearnTable(i.Value, i.Revision, "store")
		}
	}
	return at, nil
}

// LearnTable takes in a table that was read at revision, here or by a peer. It
// tells whether the table was newer.
func (c *Catalog) LearnTable(value []byte, revision uint64, from string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.table.Load(); s != nil && s.revision >= revision {
		return false
	}
	r, err := c.platform.ReadRouting(value)
	if err != nil {
		c.log.Error("The table can't be read; the one in force stays.", "revision", revision, "error", err.Error())
		return false
	}
	c.table.Store(&tableState{table: routetable.Compile(r), revision: revision, value: value})
	c.log.Info("A table is in force.", "version", r.Version, "revision", revision, "from", from,
		"routes", len(r.Routes), "services", len(r.Services), "accounts", len(r.Accounts))
	return true
}

func (c *Catalog) followTargets(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	for ctx.Err() == nil {
		p := c.picture.Load()
		if p != nil && p.Age(time.Now()) < retry.Jitter(targetsEvery) {
			retry.Sleep(ctx, look)
			continue
		}
		began := time.Now()
		items, at, err := c.store.Range(ctx, c.platform.TargetPrefix())
		c.told(ctx, err)
		if err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
		r := Reading{at, items, began}
		c.Learn(r, "store")
		if c.Read != nil {
			c.Read(r)
		}
	}
}

// told takes in how a call of the store ended.
func (c *Catalog) told(ctx context.Context, err error) {
	if ctx.Err() != nil || c.failing.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.log.Warn("The store does not answer.", "error", err.Error())
		return
	}
	c.log.Info("The store answers again.")
}

// publish makes the picture of what is known. The caller holds c.mu.
func (c *Catalog) publish(r Reading, now time.Time) {
	p := &Picture{Revision: r.Revision, Began: r.Began, ByPool: map[string][]hookhall.Target{}, ByID: map[string]hookhall.Target{}, HallAt: map[string]string{}}
	for id, e := range c.known {
		p.ByID[id] = e.target
		if e.missing.IsZero() || p.HallAt[e.target.Address] == "" {
			p.HallAt[e.target.Address] = e.target.Hall
		}
		if e.usable(now) {
			p.ByPool[e.target.Pool] = append(p.ByPool[e.target.Pool], e.target)
		}
	}
	for _, list := range p.ByPool {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	c.picture.Store(p)
}
