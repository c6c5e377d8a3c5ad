// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

const (
	// maxCrashes is the number of crashed incarnations of targets at which a content is
	// refused: the platform counts what reaches targets after the third. With two, a client's
	// retry of a harmless request that ran beside a crashing one would be refused.
	maxCrashes = 3
	// crashTTL is how long a crash counts: the longest lease of the platform's store.
	crashTTL = 10 * time.Minute
	// maxContents and maxContentsPerAccount bound the ledger to about a megabyte. When a
	// fifth of 620 targets with 30 requests each crash at once, it holds 3,720 contents.
	maxContents           = 4096
	maxContentsPerAccount = 1024
	// broadcastDelay is how long crashes are collected before they are broadcast together:
	// a crash breaks off several answers within a few milliseconds.
	broadcastDelay = 5 * time.Millisecond
	// expireInterval is the time between two removals of expired crashes from the ledger.
	expireInterval = 5 * time.Second
)

// Limits returns the limits of a gateway's ledger.
func Limits() crashes.Limits {
	return crashes.Limits{MinCrashes: maxCrashes, Retention: crashTTL, MaxContents: maxContents, MaxContentsPerAccount: maxContentsPerAccount}
}

// Catalog lists the incarnations of targets.
type Catalog interface {
	// HasEnded reports whether the list shows that t's incarnation is over.
	HasEnded(t hookhall.Target) bool
}

// Meter counts crashes and refused contents.
type Meter interface {
	// TargetCrashed counts a crash that this process found. software is the service and the
	// version of the target.
	TargetCrashed(software string)
	// ContentsRefused sets the number of contents that are refused.
	ContentsRefused(n int)
}

// Quarantine decides which request contents are refused because targets crash when they run
// them. Its exported fields are set before Run. Its methods are safe for concurrent use.
type Quarantine struct {
	Ledger *crashes.Ledger
	// IsStoreWriter reports whether this process is the one that writes to the store for all.
	IsStoreWriter func() bool
	// Era returns how many times the store was restored from an older copy.
	Era func() uint64
	// Broadcast sends crashes to all other gateways. It must not block.
	Broadcast func(list []crashes.Crash)
	Meter     Meter // nil counts nothing

	prober  hookhall.Prober
	catalog Catalog
	store   hookhall.Store
	log     *log.Logger

	mu                  sync.Mutex // guards checksByIncarnation, pending and loggedRefusals
	checksByIncarnation map[hookhall.Incarnation]*crashCheck
	recentlyServed      *crashes.RecentContents
	pending             []crashes.Crash         // not broadcast yet
	loggedRefusals      map[crashes.Digest]bool // contents whose refusal was logged
	writeSignal         chan struct{}           // has a value while the store may have to be written
}

// New returns a Quarantine with an empty ledger. Until its fields are set, it writes nothing
// to the store and sends nothing to other gateways.
func New(p hookhall.Prober, c Catalog, s hookhall.Store, l *log.Logger) *Quarantine {
	return &Quarantine{
		Ledger: crashes.NewLedger(Limits()), prober: p, catalog: c, store: s, log: l,
		IsStoreWriter: func() bool { return false }, Era: func() uint64 { return 0 }, Broadcast: func([]crashes.Crash) {},
		checksByIncarnation: map[hookhall.Incarnation]*crashCheck{}, recentlyServed: crashes.NewRecentContents(clock.Now()), loggedRefusals: map[crashes.Digest]bool{}, writeSignal: make(chan struct{}, 1),
	}
}

// Run keeps the store's records up to date and removes what has expired, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { q.syncStore(ctx) })
	for retry.Sleep(ctx, expireInterval) {
		now := clock.Now()
		q.Ledger.Expire(now)
		q.expireChecks(now)
		q.updateRefusals()
	}
	wg.Wait()
}

// Standing returns the crashes that count against a request content. content computes the
// digest and is called only if the ledger holds any crashes.
func (q *Quarantine) Standing(content func() crashes.Digest) crashes.Status {
	if q.Ledger.Empty() {
		return crashes.Status{}
	}
	return q.Ledger.Status(content())
}

// Served records that a target gave a complete answer to a request content. A content that a
// target has served is taken not to be the cause of its earlier crashes, which are cleared.
func (q *Quarantine) Served(content func() crashes.Digest) {
	q.recentlyServed.Add(content(), clock.Now())
	if q.Standing(content).Crashes == 0 {
		return
	}
	if cleared := q.clear(content()); len(cleared) > 0 {
		q.log.Info("content served; its crashes no longer count", "content", content(), "account", cleared[0].Account, "ends", len(cleared))
	}
}

// Release releases a content from quarantine at an operator's request. It reports whether any
// crashes counted against it.
func (q *Quarantine) Release(content crashes.Digest) bool {
	cleared := q.clear(content)
	q.log.Info("content released by operator", "content", content, "ends", len(cleared))
	return len(cleared) > 0
}

// clear clears all crashes under a content, here and at the other gateways, and returns
// them.
func (q *Quarantine) clear(content crashes.Digest) []crashes.Crash {
	cleared := q.Ledger.Clear(content)
	if len(cleared) > 0 {
		q.updateRefusals()
		q.enqueue(cleared)
	}
	return cleared
}

// Merge merges crashes of a peer or of the store into the ledger, and returns those that are
// new here or newly cleared. Where this process has recently served a content and the reporter had
// not, it tells the other gateways.
func (q *Quarantine) Merge(list []crashes.Crash, from string) []crashes.Crash {
	now := clock.Now()
	list, servedHere := q.addServed(list, now)
	fresh := q.Ledger.Merge(list, now)
	if len(fresh) == 0 {
		return nil
	}
	q.log.Info("crashes received", "count", len(fresh), "from", from, "content", fresh[0].Content, "target", fresh[0].Incarnation.ID,
		"cleared", fresh[0].Cleared, "served_here", len(servedHere))
	q.updateRefusals()
	var additions []crashes.Crash
	for _, crash := range fresh {
		if servedHere[crash.Content] {
			additions = append(additions, crash)
		}
	}
	if len(additions) > 0 {
		q.enqueue(additions)
	}
	return fresh
}

// addServed returns a copy of list in which the crashes of contents that this process has recently
// served say so, and the contents to which that was added.
func (q *Quarantine) addServed(list []crashes.Crash, now time.Time) (marked []crashes.Crash, servedHere map[crashes.Digest]bool) {
	marked, servedHere = slices.Clone(list), map[crashes.Digest]bool{}
	for i := range marked {
		crash := &marked[i]
		if !crash.RecentlyServed && q.recentlyServed.Has(crash.Content, now) {
			crash.RecentlyServed = true
			servedHere[crash.Content] = true
		}
	}
	return marked, servedHere
}

// All returns all crashes in the ledger, also cleared ones.
func (q *Quarantine) All() []crashes.Crash { return q.Ledger.All() }

// Checksum returns the checksum of the ledger at now. Equal ledgers have equal checksums.
func (q *Quarantine) Checksum(now time.Time) uint64 { return q.Ledger.Checksum(now) }

// recordCrash enters a crash that this process found, and broadcasts it.
func (q *Quarantine) recordCrash(crash crashes.Crash) {
	fresh := q.Ledger.Merge([]crashes.Crash{crash}, clock.Now())
	if len(fresh) == 0 {
		return
	}
	q.log.Warn("target crashed while running a request", "content", crash.Content, "account", crash.Account, "target", crash.Incarnation.ID,
		"born", crash.Incarnation.Start, "software", crash.Software, "ends", q.Ledger.Status(crash.Content).Crashes)
	if q.Meter != nil {
		q.Meter.TargetCrashed(crash.Software)
	}
	q.updateRefusals()
	q.enqueue(fresh)
}

// enqueue adds crashes to the next broadcast, which follows within broadcastDelay.
func (q *Quarantine) enqueue(list []crashes.Crash) {
	q.mu.Lock()
	isFirst := len(q.pending) == 0
	q.pending = append(q.pending, list...)
	q.mu.Unlock()
	if isFirst {
		time.AfterFunc(broadcastDelay, q.flush)
	}
}

// flush broadcasts the pending crashes.
func (q *Quarantine) flush() {
	q.mu.Lock()
	list := q.pending
	q.pending = nil
	q.mu.Unlock()
	q.Broadcast(list)
}

// updateRefusals logs which contents are newly refused or no longer refused, sets the
// metric, and signals syncStore that the store may have to be written.
func (q *Quarantine) updateRefusals() {
	refused := q.Ledger.Refused()
	q.mu.Lock()
	defer q.mu.Unlock()
	for d, s := range refused {
		if !q.loggedRefusals[d] {
			q.loggedRefusals[d] = true
			q.log.Warn("content refused: targets crash when they run it", "content", d, "ends", s.Crashes,
				"software", s.Software, "first_ago_ms", clock.Since(s.FirstReported).Milliseconds(), "targets", q.crashedTargets(d))
		}
	}
	for d := range q.loggedRefusals {
		if _, isRefused := refused[d]; !isRefused {
			delete(q.loggedRefusals, d)
			q.log.Info("content no longer refused", "content", d)
		}
	}
	if q.Meter != nil {
		q.Meter.ContentsRefused(len(refused))
	}
	select {
	case q.writeSignal <- struct{}{}:
	default: // a signal is pending
	}
}

// crashedTargets returns the ids of the targets whose crashes count against a content,
// sorted.
func (q *Quarantine) crashedTargets(d crashes.Digest) []string {
	var ids []string
	for _, crash := range q.Ledger.ByContent(d) {
		if !crash.Cleared {
			ids = append(ids, crash.Incarnation.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
