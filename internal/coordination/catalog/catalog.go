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
	"golang.org/x/time/rate"
)

const (
	// tableWatchTimeout is how long a watch of the operators' keys waits for a change.
	tableWatchTimeout = 300 * time.Millisecond
	// readInterval is the age of the targets' state at which the first reader asks the store
	// again, and how long its watch of the targets waits for a change.
	readInterval = 400 * time.Millisecond
	// fullReadInterval is the interval at which the first reader lists all targets in addition
	// to its watch, in case the watch missed a change without an error.
	fullReadInterval = 10 * time.Second
	// eventGatherDelay is the pause after a watch that returned events, so that further changes
	// arrive with the next call: when all targets start at once, each of them is one change. A
	// tenth of a second is a small part of the three seconds in which a change must be in force.
	eventGatherDelay = 100 * time.Millisecond
	// manyEventsGatherDelay is that pause after manyEvents or more: each gateway of the fleet
	// unpacks and applies every update, and one of hundreds of changes takes the weakest
	// instances a tenth of their processor for a second.
	manyEvents            = 50
	manyEventsGatherDelay = 300 * time.Millisecond
	// rankDelayStep is added, once for the second reader and twice plus a random part for all
	// others, to readInterval, the age at which they read the store themselves. The state of the
	// table that peers send is already as old as a watch and the reader's interval together.
	rankDelayStep = 350 * time.Millisecond
	// maxRank is the rank of all processes but the first and the second reader; higher ranks are
	// treated like it.
	maxRank = 2
	// fleetDelayStep widens the random part for each gateway of the fleet, up to maxFleetDelay:
	// in a large fleet an update takes some tenths of a second to reach all, and the first
	// process that reads the store updates the others. With maxFleetDelay, the state's age stays
	// well within the three seconds in which a change must be in force.
	fleetDelayStep = 4 * time.Millisecond
	maxFleetDelay  = 1200 * time.Millisecond
	// readTimePerTarget, times the targets and the gateways, is the time in which all gateways would
	// read all targets with a third of the store's link: an entry takes some 330 bytes of one
	// gigabit per second. Those that must read for themselves spread over it, up to
	// maxReadSpread: all at once, none would get the list in the time that a call may take.
	readTimePerTarget = 8 * time.Microsecond
	maxReadSpread     = 30 * time.Second
	// minTargetsPerGateway is the number of targets per gateway that a starting process assumes.
	minTargetsPerGateway = 4
	// maxCatchUpAge is the maximum age of the state from which a process asks for changes: the
	// answer has all of them at once.
	maxCatchUpAge = 10 * time.Second
	// minPullSpread is the spread from which peers are asked first. In smaller fleets the store
	// answers sooner than a peer that hangs.
	minPullSpread = 100 * time.Millisecond
	// maxTakeoverAge is the maximum age of the state from which a new first reader watches. An
	// older state comes from an outage, after which many leases may have expired at once.
	maxTakeoverAge = 2 * time.Second
	// maxCopyAge is the maximum age of the copy of the targets that a process starts with.
	maxCopyAge = 3 * time.Second
	// confirmTimeout is how long a process that started with a copy waits for an update from a
	// peer before it reads the targets itself: updates arrive every readInterval.
	confirmTimeout = 2 * readInterval
	// pollInterval is the interval at which a process that relies on peers checks whether it
	// must read the store itself, and the pause after a call that does not wait in the store.
	pollInterval = 40 * time.Millisecond
	// noTableRetryDelay is the delay, before jitter, between reads of the table by a process of
	// maxRank while the store has none. With the delays below, 89 gateways that started before
	// the operators' first table asked for it 418 times in 14 s, a third of their calls in a day.
	noTableRetryDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delays after failures of the store.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Catalog mirrors the operators' keys and the targets of the platform's store. The fields that
// are functions must be set before Run; all methods may be called concurrently.
type Catalog struct {
	store  hookhall.Store
	schema hookhall.StoreSchema
	log    *log.Logger

	table             atomic.Pointer[tableState]
	snapshot          atomic.Pointer[Snapshot]
	halls             atomic.Pointer[Halls]
	listingsByAddress sync.Map // address to listing
	// ReaderRank returns the reader rank of this process: 0 reads the store for all, 1 is the
	// first to read it when updates are late, and higher ranks follow. Set before Run.
	ReaderRank func() int
	// GatewayCount returns the number of gateways, this one included. Set before Run.
	GatewayCount func() int
	// StoreFailing reports whether the store does not answer this process. A list that fails, which
	// may be too large, does not show that. Set before Run.
	StoreFailing func() bool
	// PullTable asks a peer for a newer table or a later confirmation of the one in force, before
	// this process reads the store; it waits for the answer. Set before Run.
	PullTable func(ctx context.Context)
	// PullTargets does the same for the targets. Set before Run.
	PullTargets func(ctx context.Context)
	// OnStoreRead is called after a read or watch of the store changed the known state or
	// confirmed it anew, so that peers can be updated. Set before Run.
	OnStoreRead func()
	// ApplyOperatorKeys applies keys that operators have written, as of a revision of the store,
	// and reports whether anything changed that peers need. complete is true if items has all of
	// the operators' keys. Set before Run.
	ApplyOperatorKeys func(items []hookhall.Item, revision hookhall.Revision, complete bool) bool
	// OnRestart is called with the previous and the new listing when a target is listed in another
	// incarnation. It must not block or call the catalog: c.mu is held. Set before Run.
	OnRestart func(before, after hookhall.Target)

	// OnVersions is called with the versions of a service's listed targets, those that are leaving
	// included, when they may have changed. It must not block or call the catalog: c.mu is held. Set
	// before Run.
	OnVersions func(service string, versions map[string]bool)
	// DrainTime is for how long a target may get requests after it has begun to leave, or after its key was
	// removed. Set before Run.
	DrainTime time.Duration

	// readJitter is the fraction of the random delay that this process waits at maxRank before it
	// reads the store itself, in [0, 1).
	readJitter float64

	mu           sync.Mutex // held while snapshots and tables change
	entriesByKey map[string]*entry
	// entriesByPool has the same entries by service and key. changesByPool has the changes since
	// the last snapshot by service.
	entriesByPool map[string]map[string]*entry
	changesByPool map[string]*poolChanges
	listedCount   int       // number of entries that are listed
	lastSweep     time.Time // when missing entries were last checked for expiry
	// rejectedHashes maps keys that hold no valid target to the hash of their values.
	rejectedHashes map[string]uint64
	// departedAt maps incarnations that are leaving and have no entry to the time at which this
	// was recorded.
	departedAt map[hookhall.Incarnation]time.Time
	// bucketDigests has the digests of the listed targets.
	bucketDigests Digests
	// lastLapseEnd is the end of the last lapse: no lapsed target is usable after it.
	lastLapseEnd time.Time
	// readmittedAt maps halls to the time at which their evacuation ended.
	readmittedAt map[string]time.Time
	// storedHalls has the evacuated halls of the last reading or update. heldUntil maps halls
	// that stay evacuated after the store was restored from an older copy to the time at which
	// this ends.
	storedHalls []string
	heldUntil   map[string]time.Time
	// syncedRevision is the latest revision up to which updates of peers were complete, as shown
	// by their digest.
	syncedRevision hookhall.Revision
	// lastUpdate and lastUpdateBegan are the revision and the time of the last update that was
	// applied, also of one that left a gap.
	lastUpdate      hookhall.Revision
	lastUpdateBegan time.Time
	// changeLines limits the lines about changes of single targets; unloggedChanges counts those
	// without a line since the last one.
	changeLines     *rate.Limiter
	unloggedChanges int
	// firstBegan is when the first reading began.
	firstBegan time.Time
	// needsBuckets is set if the changes since the own revision were not enough to agree with a peer.
	needsBuckets bool
	// forgottenRevision is the latest revision at which a key may have been removed that this
	// process does not know: changes since an earlier one are not complete.
	forgottenRevision hookhall.Revision
	// eraBaseRevision is the store's revision at the first full reading of the targets in the
	// latest era that was read. olderTableEra is the last era in which the store had an older
	// table than the one in force.
	eraBaseRevision hookhall.Revision
	olderTableEra   uint64

	isFailing      atomic.Bool               // the last call of the store failed
	lastAnswer     atomic.Pointer[time.Time] // when the store last answered; initially the start
	isTableMissing atomic.Bool               // the store has answered that it has no table
}

// New returns a Catalog without a table and targets; Run fills it.
func New(store hookhall.Store, schema hookhall.StoreSchema, logger *log.Logger) *Catalog {
	c := &Catalog{
		store: store, schema: schema, log: logger,
		ReaderRank:        func() int { return 0 },
		GatewayCount:      func() int { return 1 },
		PullTable:         func(context.Context) {},
		PullTargets:       func(context.Context) {},
		OnStoreRead:       func() {},
		OnRestart:         func(_, _ hookhall.Target) {},
		OnVersions:        func(string, map[string]bool) {},
		ApplyOperatorKeys: func([]hookhall.Item, hookhall.Revision, bool) bool { return false },
		readJitter:        rand.Float64(),
		entriesByKey:      map[string]*entry{},
		entriesByPool:     map[string]map[string]*entry{},
		changesByPool:     map[string]*poolChanges{},
		rejectedHashes:    map[string]uint64{},
		departedAt:        map[hookhall.Incarnation]time.Time{},
		readmittedAt:      map[string]time.Time{},
		heldUntil:         map[string]time.Time{},
		changeLines:       rate.NewLimiter(maxChangeLines, maxChangeLines),
	}
	c.StoreFailing = c.isFailing.Load
	c.recordAnswer(clock.Now())
	return c
}

// Table returns the table in force, or nil before the first.
func (c *Catalog) Table() *routetable.Table {
	if s := c.table.Load(); s != nil {
		return s.table
	}
	return nil
}

// Snapshot returns the current snapshot of the targets, or nil before the first reading.
func (c *Catalog) Snapshot() *Snapshot { return c.snapshot.Load() }

// Targets returns the usable targets of a service, whose name is their pool, sorted by id. The
// caller must not modify them.
func (c *Catalog) Targets(pool string) []hookhall.Target {
	if snapshot := c.snapshot.Load(); snapshot != nil {
		return snapshot.ByPool[pool]
	}
	return nil
}

// Evacuated reports whether a service has targets that would be usable, all of them in halls
// that operators have evacuated.
func (c *Catalog) Evacuated(pool string) bool {
	snapshot := c.snapshot.Load()
	return snapshot != nil && len(snapshot.ByPool[pool]) == 0 && snapshot.EvacuatedServices[pool]
}

// HallAt returns the hall of the target at an address, or "" if the address is unknown.
func (c *Catalog) HallAt(address string) string {
	if l, ok := c.listingsByAddress.Load(address); ok {
		return l.(listing).hall
	}
	return ""
}

// ServiceAt returns the service of the target at an address, or "" if the address is unknown.
func (c *Catalog) ServiceAt(address string) string {
	if l, ok := c.listingsByAddress.Load(address); ok {
		return l.(listing).pool
	}
	return ""
}

// TargetAt returns the target that is listed with an address, which may be leaving or missing.
func (c *Catalog) TargetAt(address string) (t hookhall.Target, ok bool) {
	l, ok := c.listingsByAddress.Load(address)
	if !ok {
		return hookhall.Target{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entriesByKey[l.(listing).key]
	if e == nil {
		return hookhall.Target{}, false
	}
	return e.target, true
}

// SampleTarget returns a random target whose address is not in skip, and false if there is none.
// Leaving and missing targets are left out.
func (c *Catalog) SampleTarget(skip map[string]bool) (t hookhall.Target, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, e := range c.entriesByKey {
		if e.isLeaving || !e.missingSince.IsZero() || skip[e.target.Address] {
			continue
		}
		if count++; rand.IntN(count) == 0 {
			t, ok = e.target, true
		}
	}
	return t, ok
}

// HasEnded reports whether the list of targets shows that the incarnation of t has ended: t is
// listed with another start time, or another target has its address.
func (c *Catalog) HasEnded(t hookhall.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.listingsByAddress.Load(t.Address)
	if !ok {
		return false
	}
	e := c.entriesByKey[l.(listing).key]
	return e != nil && e.missingSince.IsZero() && (e.target.Incarnation() != t.Incarnation())
}

// KnownTargets returns all known targets by id, including those that are leaving or missing.
func (c *Catalog) KnownTargets() map[string]hookhall.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[string]hookhall.Target, len(c.entriesByKey))
	for _, e := range c.entriesByKey {
		known[e.target.ID] = e.target
	}
	return known
}

// RejectedKeys returns the keys below the targets' prefix that hold no valid target, sorted.
func (c *Catalog) RejectedKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.rejectedHashes))
}

// TargetsAge returns the age of the targets' snapshot, or 0 before the first reading.
func (c *Catalog) TargetsAge(now time.Time) time.Duration {
	if snapshot := c.snapshot.Load(); snapshot != nil {
		return snapshot.Age(now)
	}
	return 0
}

// Ready reports whether both the table and the targets are known.
func (c *Catalog) Ready() bool { return c.table.Load() != nil && c.snapshot.Load() != nil }

// Run mirrors the store until ctx ends.
func (c *Catalog) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.followTable(ctx) }()
	go func() { defer wg.Done(); c.followTargets(ctx) }()
	wg.Wait()
}

// needsRead reports whether state that was confirmed at a given time is so old that this
// process must read the store itself.
func (c *Catalog) needsRead(confirmed, now time.Time) bool {
	rank := min(c.ReaderRank(), maxRank)
	maxAge := readInterval + time.Duration(rank)*rankDelayStep
	if rank == maxRank {
		spread := rankDelayStep/2 + min(time.Duration(c.GatewayCount())*fleetDelayStep, maxFleetDelay)
		maxAge += time.Duration(c.readJitter * float64(spread))
	}
	return now.Sub(confirmed) >= maxAge
}

// Failing reports whether the store does not answer this process.
func (c *Catalog) Failing() bool { return c.StoreFailing() }

// TimeSinceAnswer returns the time since the store last answered this process, or since New
// before the first answer. It grows, too, while this process makes no calls.
func (c *Catalog) TimeSinceAnswer(now time.Time) time.Duration { return now.Sub(*c.lastAnswer.Load()) }

func (c *Catalog) recordAnswer(now time.Time) { c.lastAnswer.Store(&now) }

// recordCall records the result of a call of the store, and logs the start and end of an outage.
func (c *Catalog) recordCall(ctx context.Context, err error) {
	if err == nil {
		c.recordAnswer(clock.Now())
	}
	if ctx.Err() != nil || c.isFailing.Swap(err != nil) == (err != nil) {
		return
	}
	if err != nil {
		c.log.Warn("store unavailable", "error", err.Error())
		return
	}
	c.log.Info("store available again")
}
