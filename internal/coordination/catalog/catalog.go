// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// tableWatchTimeout is how long a watch of the table waits.
	tableWatchTimeout = 300 * time.Millisecond
	// readInterval is how old the first reader lets its beliefs get.
	readInterval = 400 * time.Millisecond
	// fullReadInterval is how often the first reader reads all targets beside its watch, in
	// case a watch has missed a change without saying so.
	fullReadInterval = 10 * time.Second
	// eventGatherDelay is how long it lets further changes gather after some: when all
	// targets start at once, each of them is one. A tenth of a second is little of
	// the three in which they have to be in force.
	eventGatherDelay = 100 * time.Millisecond
	// rankDelayStep is how much older they get at the second reader, and, twice that
	// and some chance, at all others. What others are told of the table is up to a
	// watch and the reader's interval old.
	rankDelayStep = 350 * time.Millisecond
	// maxRank is the last rank that counts.
	maxRank = 2
	// fleetDelayStep spreads them further in a large fleet, by this much for each
	// gateway: a reading takes some tenths of a second to get around there, and the
	// first that reads for itself tells all others. With maxFleetDelay, beliefs stay
	// well within the three seconds in which a change has to be in force.
	fleetDelayStep = 4 * time.Millisecond
	maxFleetDelay  = 1200 * time.Millisecond
	// maxTakeoverAge is the maximum age of the state from which a new first reader watches. An
	// older state comes from an outage, after which many leases may have expired at once.
	maxTakeoverAge = 2 * time.Second
	// maxCopyAge is how old the copy of the targets may be that a process begins with.
	maxCopyAge = 3 * time.Second
	// confirmTimeout is how long such a process waits for news to bring its beliefs up
	// to date, before it reads the targets itself: news comes each readInterval.
	confirmTimeout = 2 * readInterval
	// look is how often it looks whether they are.
	pollInterval = 40 * time.Millisecond
	// noTableRetryDelay is how often a process that others tell asks for the table while
	// there is none: 89 gateways that started before the operators' first table asked
	// for it 418 times in 14 s, a third of their calls in a day.
	noTableRetryDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the pauses after failures of the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Catalog follows the store.
type Catalog struct {
	store    hookhall.Store
	platform hookhall.Platform
	log      *log.Logger

	table             atomic.Pointer[tableState]
	snapshot          atomic.Pointer[Picture]
	halls             atomic.Pointer[Halls]
	listingsByAddress sync.Map // address to resident
	// Rank tells which reader this process is: 0 reads for all, 1 stands by, and
	// others read only what they have not been told. Set before Run.
	Rank func() int
	// Fleet is how many gateways there are. Set before Run.
	Fleet func() int
	// Read is called after this process has learned something from the store
	// itself. Set before Run.
	Read func()
	// Orders takes in keys that operators have written, as of a revision of the store;
	// whole tells that there are no others. It tells whether anything changed that others
	// should know. Set before Run.
	Orders func(items []hookhall.Item, at hookhall.Revision, whole bool) bool
	// Reborn is called when a target is listed in another life, with what was and what is
	// listed. It must not block, nor call the catalog. Set before Run.
	Reborn func(before, after hookhall.Target)

	// place is this process's among those that read for themselves, 0 for the first
	// and 1 for the last.
	readJitter float64

	mu           sync.Mutex        // held while pictures and tables change
	entriesByKey map[string]*entry // by key
	// pools has them by service, and dirty what changed in the services whose part of the next
	// picture has to be made anew.
	entriesByPool map[string]map[string]*entry
	changesByPool map[string]*poolChanges
	listedCount   int       // how many of known are listed
	lastSweep     time.Time // when those that are gone were last looked for
	// rejected has the keys that name no target, with the hash of their values.
	rejectedHashes map[string]uint64
	// departed has the lives that are leaving and not known here, with the time since when
	// that is so.
	departedAt map[hookhall.Life]time.Time
	// buckets sums up those that are listed.
	bucketDigests Digests
	// lastLapseEnd is when the last target that lapsed has to be back.
	lastLapseEnd time.Time
	// returned is when halls that were evacuated were taken back.
	readmittedAt map[string]time.Time
	// storedHalls are the evacuated halls as last told, and heldUntil those that stay so, until
	// when, after the store came back from a copy.
	storedHalls []string
	heldUntil   map[string]time.Time
	// synced is the revision up to which the updates of peers were complete, as their digest
	// proved.
	syncedRevision hookhall.Revision
	// base is the store's revision when this process first read all targets after the store
	// had come back from a copy, and olderTableEra the era of that in which the copy had an older
	// table than the one in force.
	eraBaseRevision hookhall.Revision
	olderTableEra   uint64

	isFailing      atomic.Bool               // the last call of the store failed
	lastAnswer     atomic.Pointer[time.Time] // when the store last answered, or the start
	isTableMissing atomic.Bool               // the store answered that it has no table
}

// New makes a Catalog; Run follows the store.
func New(s hookhall.Store, p hookhall.Platform, l *log.Logger) *Catalog {
	c := &Catalog{store: s, platform: p, log: l, entriesByKey: map[string]*entry{}, rejectedHashes: map[string]uint64{}, departedAt: map[hookhall.Life]time.Time{}, entriesByPool: map[string]map[string]*entry{}, changesByPool: map[string]*poolChanges{}, readmittedAt: map[string]time.Time{}, heldUntil: map[string]time.Time{}, Rank: func() int { return 0 }, Fleet: func() int { return 1 }, Read: func() {}, Orders: func([]hookhall.Item, hookhall.Revision, bool) bool { return false }, Reborn: func(_, _ hookhall.Target) {}, readJitter: rand.Float64()}
	c.recordAnswer(clock.Now())
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
func (c *Catalog) Picture() *Picture { return c.snapshot.Load() }

// Targets are the usable targets of a service.
func (c *Catalog) Targets(pool string) []hookhall.Target {
	if p := c.snapshot.Load(); p != nil {
		return p.ByPool[pool]
	}
	return nil
}

// Evacuated tells whether a service has targets, and all that it could use stand in
// halls that operators have evacuated.
func (c *Catalog) Evacuated(pool string) bool {
	p := c.snapshot.Load()
	return p != nil && len(p.ByPool[pool]) == 0 && p.Evacuated[pool]
}

// HallAt is the hall of the target at an address, "" when none is known there.
func (c *Catalog) HallAt(address string) string {
	if hall, ok := c.listingsByAddress.Load(address); ok {
		return hall.(listing).hall
	}
	return ""
}

// ServiceAt is the service of the target at an address, "" when none is known there.
func (c *Catalog) ServiceAt(address string) string {
	if t, ok := c.listingsByAddress.Load(address); ok {
		return t.(listing).pool
	}
	return ""
}

// Over tells whether what is listed shows that the life of a target is over: it lists
// itself with another start, or another target has its address.
func (c *Catalog) Over(t hookhall.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, ok := c.listingsByAddress.Load(t.Address)
	if !ok {
		return false
	}
	e := c.entriesByKey[now.(listing).key]
	return e != nil && e.missingSince.IsZero() && (e.target.Life() != t.Life())
}

// Known has the targets that are known, by id, leaving and missing ones too.
func (c *Catalog) Known() map[string]hookhall.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]hookhall.Target, len(c.entriesByKey))
	for _, e := range c.entriesByKey {
		known[e.target.ID] = e.target
	}
	return known
}

// Rejected lists the keys among those of targets that name none, sorted.
func (c *Catalog) Rejected() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.rejectedHashes))
}

// TargetsAge is how old the picture of the targets is.
func (c *Catalog) TargetsAge(now time.Time) time.Duration {
	if p := c.snapshot.Load(); p != nil {
		return p.Age(now)
	}
	return 0
}

// Ready tells whether both the table and the targets are known.
func (c *Catalog) Ready() bool { return c.table.Load() != nil && c.snapshot.Load() != nil }

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
func (c *Catalog) needsRead(heard, now time.Time) bool {
	rank := min(c.Rank(), maxRank)
	most := readInterval + time.Duration(rank)*rankDelayStep
	if rank == maxRank {
		spread := rankDelayStep/2 + min(time.Duration(c.Fleet())*fleetDelayStep, maxFleetDelay)
		most += time.Duration(c.readJitter * float64(spread))
	}
	return now.Sub(heard) >= most
}

// Failing tells whether the store did not answer this process's last call.
func (c *Catalog) Failing() bool { return c.isFailing.Load() }

// Silence is how long the store has not answered this process, which may not have
// asked all the while.
func (c *Catalog) Silence(now time.Time) time.Duration { return now.Sub(*c.lastAnswer.Load()) }

func (c *Catalog) recordAnswer(now time.Time) { c.lastAnswer.Store(&now) }

// recordCall takes in how a call of the store ended.
func (c *Catalog) recordCall(ctx context.Context, err error) {
	if err == nil {
		c.recordAnswer(clock.Now())
	}
	if ctx.Err() != nil || c.isFailing.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.log.Warn("The store does not answer.", "error", err.Error())
		return
	}
	c.log.Info("The store answers again.")
}
