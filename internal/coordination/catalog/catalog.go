// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"math/rand/v2"
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
	watchTime = 300 * time.Millisecond
	// readEvery is how old the first reader lets its beliefs get.
	readEvery = 400 * time.Millisecond
	// rankStep is how much older they get at the second reader, and, twice that
	// and some chance, at all others. What others are told of the table is up to a
	// watch and the reader's interval old.
	rankStep = 350 * time.Millisecond
	// rankMost is the last rank that counts.
	rankMost = 2
	// fleetStep spreads them further in a large fleet, by this much for each
	// gateway: a reading takes some tenths of a second to get around there, and the
	// first that reads for itself tells all others. With fleetMost, beliefs stay
	// well within the three seconds in which a change has to be in force.
	fleetStep = 4 * time.Millisecond
	fleetMost = 1200 * time.Millisecond
	// staleMost is how old the copy of the targets may be that a process begins with.
	staleMost = 3 * time.Second
	// confirmWait is how long such a process waits for news to bring its beliefs up
	// to date, before it reads the targets itself: news comes each readEvery.
	confirmWait = 2 * readEvery
	// look is how often it looks whether they are.
	look = 40 * time.Millisecond
	// pauseFirst and pauseMost bound the pauses after failures of the store.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 400 * time.Millisecond
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
	// ByPool has the usable targets by service, sorted by id; leaving ones are
	// not in it.
	ByPool map[string][]hookhall.Target
	// ByID has all that are known, leaving and lapsed ones too.
	ByID map[string]hookhall.Target
	// Digest sums up all listed targets; equal digests mean equal lists.
	Digest uint64
	// HallAt has the hall of the target at an address.
	HallAt map[string]string
}

// Age is how old the picture is.
func (p *Picture) Age(now time.Time) time.Duration { return now.Sub(p.Began) }

type tableState struct {
	table    *routetable.Table
	revision uint64
	// packed is the table's value as it goes to peers: a large one takes its time
	// on a small link. Whoever gets it from a peer passes the same bytes on.
	packed []byte
	// confirmed is when this revision was the newest one, for all that is known.
	confirmed time.Time
}

// Catalog follows the store.
type Catalog struct {
	store    hookhall.Store
	platform hookhall.Platform
	log      *log.Logger

	table   atomic.Pointer[tableState]
	picture atomic.Pointer[Picture]
	// Rank tells which reader this process is: 0 reads for all, 1 stands by, and
	// others read only what they have not been told. Set before Run.
	Rank func() int
	// Fleet is how many gateways there are. Set before Run.
	Fleet func() int
	// Read is called after this process has learned something from the store
	// itself. Set before Run.
	Read func()

	// place is this process's among those that read for themselves, 0 for the first
	// and 1 for the last.
	place float64

	mu    sync.Mutex // held while pictures and tables change
	known map[string]*entry

	failing  atomic.Bool               // the last call of the store failed
	answered atomic.Pointer[time.Time] // when the store last answered, or the start
	empty    atomic.Bool               // the store answered that it has no table
}

// errNoTable: the store answers, but operators have not written a table.
var errNoTable = errors.New("the store has no table yet")

// New makes a Catalog; Run follows the store.
func New(s hookhall.Store, p hookhall.Platform, l *log.Logger) *Catalog {
	c := &Catalog{store: s, platform: p, log: l, known: map[string]*entry{}, Rank: func() int { return 0 }, Fleet: func() int { return 1 }, Read: func() {}, place: rand.Float64()}
	c.noteAnswer(time.Now())
	return c
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

// TargetsAge is how old the picture of the targets is.
func (c *Catalog) TargetsAge(now time.Time) time.Duration {
	if p := c.picture.Load(); p != nil {
		return p.Age(now)
	}
	return 0
}

// Ready tells whether both the table and the targets are known.
func (c *Catalog) Ready() bool { return c.table.Load() != nil && c.picture.Load() != nil }

// PackedTable is the table's value, compressed, with its revision, for peers.
func (c *Catalog) PackedTable() ([]byte, uint64) {
	if s := c.table.Load(); s != nil {
		return s.packed, s.revision
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

// due tells whether this process must read for itself what it has last heard of
// at a time.
func (c *Catalog) due(heard, now time.Time) bool {
	rank := min(c.Rank(), rankMost)
	most := readEvery + time.Duration(rank)*rankStep
	if rank == rankMost {
		spread := rankStep/2 + min(time.Duration(c.Fleet())*fleetStep, fleetMost)
		most += time.Duration(c.place * float64(spread))
	}
	return now.Sub(heard) >= most
}

func (c *Catalog) followTable(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	at := uint64(0)
	for ctx.Err() == nil {
		if s := c.table.Load(); s != nil && c.Rank() > 0 && !c.due(s.confirmed, time.Now()) {
			at = 0 // whoever was told by others may be ahead of an old watch
			retry.Sleep(ctx, look)
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
			c.noteCall(ctx, nil)
			c.noteNoTable()
			pause.Wait(ctx)
			continue
		}
		c.noteCall(ctx, err)
		if err != nil {
			pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// noteNoTable writes one line while operators have not written a table.
func (c *Catalog) noteNoTable() {
	if !c.empty.Swap(true) {
		c.log.Info("The store answers, but has no table yet.")
	}
}

// readTable reads the table and returns the revision to watch from.
func (c *Catalog) readTable(ctx context.Context) (uint64, error) {
	began := time.Now()
	i, at, err := c.store.Get(ctx, c.platform.RoutingKey())
	if err != nil {
		return 0, err
	}
	if i.Revision == 0 {
		return 0, errNoTable
	}
	c.learnStored(i, began)
	// Not from the key's own revision: its history may be gone since.
	return max(at, i.Revision), nil
}

func (c *Catalog) watchTable(ctx context.Context, since uint64) (uint64, error) {
	began := time.Now()
	events, at, err := c.store.Watch(ctx, c.platform.RoutingKey(), since, watchTime)
	if err != nil {
		// Whatever was missed is read whole.
		return 0, err
	}
	for _, i := range events {
		if i.Key == c.platform.RoutingKey() && !i.Gone {
			c.learnStored(i, began)
			return at, nil
		}
	}
	if time.Since(began) >= watchTime {
		began = began.Add(watchTime) // the store waited before it said that there is nothing
	}
	if s := c.table.Load(); s != nil {
		c.ConfirmTable(s.revision, began)
	}
	return at, nil
}

// learnStored takes in a table that the store had when a call began, and passes
// it on if it is new.
func (c *Catalog) learnStored(i hookhall.Item, began time.Time) {
	if c.LearnTable(i.Value, i.Revision, "store", began) {
		c.Read()
	}
}

// ConfirmTable takes in that a revision was still the newest at a time. It tells
// whether this process has that revision.
func (c *Catalog) ConfirmTable(revision uint64, at time.Time) bool {
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
func (c *Catalog) TableAge(now time.Time) (revision uint64, age time.Duration) {
	if s := c.table.Load(); s != nil {
		return s.revision, now.Sub(s.confirmed)
	}
	return 0, 0
}

// LearnTable takes in a table that was read at revision in a call that began at a
// time. It tells whether the table was newer.
func (c *Catalog) LearnTable(value []byte, revision uint64, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	packed, err := pack(value)
	if err != nil {
		c.log.Error("The table can't be packed.", "revision", revision, "error", err.Error())
		return false
	}
	return c.learn(value, packed, revision, from, began)
}

// LearnPacked is LearnTable of what a peer's PackedTable gave.
func (c *Catalog) LearnPacked(packed []byte, revision uint64, from string, began time.Time) bool {
	if c.ConfirmTable(revision, began) {
		return false
	}
	value, err := unpack(packed)
	if err != nil {
		c.log.Error("A peer's table can't be unpacked.", "revision", revision, "from", from, "error", err.Error())
		return false
	}
	return c.learn(value, packed, revision, from, began)
}

func (c *Catalog) learn(value, packed []byte, revision uint64, from string, began time.Time) bool {
	r, err := c.platform.ReadRouting(value)
	if err != nil {
		c.log.Error("The table can't be read; the one in force stays.", "revision", revision, "error", err.Error())
		return false
	}
	compiled := routetable.Compile(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.table.Load(); s != nil && s.revision >= revision {
		return false
	}
	c.table.Store(&tableState{table: compiled, revision: revision, packed: packed, confirmed: began})
	c.log.Info("A table is in force.", "version", r.Version, "revision", revision, "from", from,
		"routes", len(r.Routes), "services", len(r.Services), "accounts", len(r.Accounts), "bytes", len(value), "packed", len(packed))
	return true
}

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

// Failing tells whether the store did not answer this process's last call.
func (c *Catalog) Failing() bool { return c.failing.Load() }

// Silence is how long the store has not answered this process, which may not have
// asked all the while.
func (c *Catalog) Silence(now time.Time) time.Duration { return now.Sub(*c.answered.Load()) }

func (c *Catalog) noteAnswer(now time.Time) { c.answered.Store(&now) }

// noteCall takes in how a call of the store ended.
func (c *Catalog) noteCall(ctx context.Context, err error) {
	if err == nil {
		c.noteAnswer(time.Now())
	}
	if ctx.Err() != nil || c.failing.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.log.Warn("The store does not answer.", "error", err.Error())
		return
	}
	c.log.Info("The store answers again.")
}

// publish makes the picture of what is known, as confirmed at a revision. The
// caller holds c.mu.
func (c *Catalog) publish(revision uint64, began, now time.Time) {
	p := &Picture{
		Revision: revision, Began: began,
		ByPool: map[string][]hookhall.Target{}, ByID: map[string]hookhall.Target{}, HallAt: map[string]string{},
	}
	for id, e := range c.known {
		p.ByID[id] = e.target
		if e.missing.IsZero() || p.HallAt[e.target.Address] == "" {
			p.HallAt[e.target.Address] = e.target.Hall
		}
		if e.usable(now) {
			p.ByPool[e.target.Pool] = append(p.ByPool[e.target.Pool], e.target)
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
