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
	// partCrashWindow is the time within which crashes count as one for a part. When many targets
	// crash in one moment, a part that is new runs on several of them and was served on none.
	partCrashWindow = 100 * time.Millisecond
	// servedContentWindow and servedPartWindow are the same for contents and parts that were
	// served shortly before. Requests with a part may come faster than repetitions of a content.
	servedContentWindow = time.Second
	servedPartWindow    = 250 * time.Millisecond
	// maxServedPartCrashes is maxCrashes for such a part. It is likely to be in many requests, so
	// that targets that crash for other reasons crash with it.
	maxServedPartCrashes = 5
	// broadcastDelay is how long crashes are collected before they are broadcast together:
	// a crash breaks off several answers within a few milliseconds.
	broadcastDelay = 5 * time.Millisecond
	// expireInterval is the time between two removals of expired crashes from the ledger.
	expireInterval = 5 * time.Second
)

// Limits returns the limits of a gateway's ledger.
func Limits() crashes.Limits {
	return crashes.Limits{MinCrashes: maxCrashes, Retention: crashTTL, MaxContents: maxContents, MaxContentsPerAccount: maxContentsPerAccount, ServedWindow: servedContentWindow}
}

// PartLimits returns the limits of a gateway's crashes by part. They are apart from those of contents:
// requests that differ in their bodies would evict the parts that they share.
func PartLimits() crashes.Limits {
	limits := Limits()
	limits.SimultaneousWindow, limits.ServedWindow, limits.MinServedCrashes = partCrashWindow, servedPartWindow, maxServedPartCrashes
	return limits
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
	// PartsRefused sets the number of sets of parts that are refused.
	PartsRefused(n int)
}

// Quarantine decides which request contents, and which requests with certain parts, are refused because
// targets crash when they run them. Its exported fields are set before Run. Its methods are safe for
// concurrent use.
type Quarantine struct {
	Ledger *crashes.Ledger // by content
	Parts  *crashes.Parts
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

	mu                  sync.Mutex // guards checksByIncarnation, pending, loggedRefusals and loggedParts
	checksByIncarnation map[hookhall.Incarnation]*crashCheck
	recentlyServed      *crashes.Recent[crashes.Digest] // contents
	recentParts         *crashes.Recent[crashes.PartAt] // of prompts
	// recentPieces is apart from recentParts, since a broker serves the pieces of the whole fleet.
	recentPieces   *crashes.Recent[crashes.PartAt]
	pending        []crashes.Crash         // not broadcast yet
	loggedRefusals map[crashes.Digest]bool // contents whose refusal was logged
	loggedParts    map[string]bool         // sets of parts whose refusal was logged, by partList
	writeSignal    chan struct{}           // has a value while the store may have to be written
}

// New returns a Quarantine with an empty ledger. Until its fields are set, it writes nothing
// to the store and sends nothing to other gateways.
func New(p hookhall.Prober, c Catalog, s hookhall.Store, l *log.Logger) *Quarantine {
	return &Quarantine{
		Ledger: crashes.NewLedger(Limits()), Parts: crashes.NewParts(PartLimits()), prober: p, catalog: c, store: s, log: l,
		IsStoreWriter: func() bool { return false }, Era: func() uint64 { return 0 }, Broadcast: func([]crashes.Crash) {},
		checksByIncarnation: map[hookhall.Incarnation]*crashCheck{}, recentlyServed: crashes.NewRecent[crashes.Digest](clock.Now()),
		recentParts: crashes.NewRecent[crashes.PartAt](clock.Now()), recentPieces: crashes.NewRecent[crashes.PartAt](clock.Now()),
		loggedRefusals: map[crashes.Digest]bool{}, loggedParts: map[string]bool{}, writeSignal: make(chan struct{}, 1),
	}
}

// Run keeps the store's records up to date and removes what has expired, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { q.syncStore(ctx) })
	for retry.Sleep(ctx, expireInterval) {
		now := clock.Now()
		q.Ledger.Expire(now)
		q.Parts.Expire(now)
		q.expireChecks(now)
		q.updateRefusals()
	}
	wg.Wait()
}

// Standing returns the crashes that count against a request. identity computes its digests and is
// called only if any crashes are recorded.
func (q *Quarantine) Standing(identity func() crashes.Identity) crashes.Status {
	if q.Ledger.Empty() && q.Parts.Ledger().Empty() {
		return crashes.Status{}
	}
	i := identity()
	return q.Ledger.Status(i.Content).Union(q.Parts.Status(i, clock.Now()))
}

// Running records that a target has been writing the answer to a request for a while. From then on, crashes
// of several targets in one moment count once against its content, as if it had been served. Unlike Served,
// it clears no crashes.
func (q *Quarantine) Running(i crashes.Identity) { q.recentlyServed.Add(i.Content, clock.Now()) }

// Served records that t gave a complete answer to a request, or has run it for longer than one that crashes
// targets. A content or part that a target has served is taken not to be the cause of its earlier crashes,
// which are cleared.
func (q *Quarantine) Served(i crashes.Identity, t hookhall.Target) {
	q.recentlyServed.Add(i.Content, clock.Now())
	if q.Ledger.Status(i.Content).Crashes > 0 {
		if cleared := q.announceCleared(q.Ledger.Clear(i.Content)); len(cleared) > 0 {
			q.log.Info("content served; its crashes no longer count", "content", i.Content, "account", cleared[0].Account, "ends", len(cleared))
		}
	}
	q.servedParts(q.recentParts, i.Account, i.Parts, t)
}

// ServedPieces records that t completed a call for a request of an account with these piece keys.
func (q *Quarantine) ServedPieces(account string, keys []crashes.Part, t hookhall.Target) {
	q.servedParts(q.recentPieces, account, keys, t)
}

// servedParts records in recent that t served parts of a request of an account, and clears their
// crashes.
func (q *Quarantine) servedParts(recent *crashes.Recent[crashes.PartAt], account string, parts []crashes.Part, t hookhall.Target) {
	now := clock.Now()
	for _, part := range parts {
		recent.Add(crashes.PartAt{Digest: part.Digest, Software: t.Software()}, now)
	}
	if cleared := q.announceCleared(q.Parts.Served(parts, t.Software())); len(cleared) > 0 {
		q.log.Info("parts served; their crashes no longer count", "parts", partIDs(cleared), "target", t.ID, "account", account, "ends", len(cleared))
	}
}

// Release releases a content from quarantine at an operator's request, or a part with those that it
// can't be told from. It reports whether any crashes counted against it.
func (q *Quarantine) Release(d crashes.Digest) bool {
	cleared := q.announceCleared(append(q.Ledger.Clear(d), q.Parts.Release(d)...))
	q.log.Info("content released by operator", "content", d, "ends", len(cleared))
	return len(cleared) > 0
}

// announceCleared tells the other gateways that crashes were cleared here, and returns them.
func (q *Quarantine) announceCleared(cleared []crashes.Crash) []crashes.Crash {
	if len(cleared) > 0 {
		q.updateRefusals()
		q.enqueue(cleared)
	}
	return cleared
}

// Merge merges crashes of a peer or of the store into the ledgers, and returns those that are
// new here or newly cleared. Where this process has recently served a content or a part and the reporter
// had not, it tells the other gateways.
func (q *Quarantine) Merge(list []crashes.Crash, from string) []crashes.Crash {
	now := clock.Now()
	list, servedHere := q.addServed(list, now)
	fresh := q.mergeLocal(list, now)
	if len(fresh) == 0 {
		return nil
	}
	q.log.Info("crashes received", "count", len(fresh), "from", from, "content", fresh[0].Content, "target", fresh[0].Incarnation.ID,
		"cleared", fresh[0].Cleared, "served_here", len(servedHere), "parts", partIDs(fresh))
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

// mergeLocal merges crashes into the ledgers and returns those that are new here or newly cleared.
func (q *Quarantine) mergeLocal(list []crashes.Crash, now time.Time) (fresh []crashes.Crash) {
	var ofContents, ofParts []crashes.Crash
	for _, crash := range list {
		if crash.Part == "" {
			ofContents = append(ofContents, crash)
		} else {
			ofParts = append(ofParts, crash)
		}
	}
	return append(q.Ledger.Merge(ofContents, now), q.Parts.Merge(ofParts, now)...)
}

// isRecentlyServed reports whether this process served the content of a crash shortly before, or its
// part at targets with the same software.
func (q *Quarantine) isRecentlyServed(c *crashes.Crash, now time.Time) bool {
	if c.Part == "" {
		return q.recentlyServed.Has(c.Content, now)
	}
	at := crashes.PartAt{Digest: c.Content, Software: c.Software}
	return q.recentParts.Has(at, now) || q.recentPieces.Has(at, now)
}

// addServed returns a copy of list in which the crashes of contents and parts that this process has
// recently served say so, and the contents and parts to which that was added.
func (q *Quarantine) addServed(list []crashes.Crash, now time.Time) (marked []crashes.Crash, servedHere map[crashes.Digest]bool) {
	marked, servedHere = slices.Clone(list), map[crashes.Digest]bool{}
	for i := range marked {
		crash := &marked[i]
		if !crash.RecentlyServed && q.isRecentlyServed(crash, now) {
			crash.RecentlyServed = true
			servedHere[crash.Content] = true
		}
	}
	return marked, servedHere
}

// All returns all crashes in the ledgers, also cleared ones.
func (q *Quarantine) All() []crashes.Crash { return append(q.Ledger.All(), q.Parts.Ledger().All()...) }

// Checksum returns the checksum of the ledgers at now. Equal ledgers have equal checksums.
func (q *Quarantine) Checksum(now time.Time) uint64 {
	return q.Ledger.Checksum(now) ^ q.Parts.Ledger().Checksum(now)
}

// recordCrash enters the crashes of one request's content and parts that this process found, and
// broadcasts them.
func (q *Quarantine) recordCrash(list []crashes.Crash) {
	fresh := q.mergeLocal(list, clock.Now())
	if len(fresh) == 0 {
		return
	}
	crash, partEnds := list[0], 0
	for _, other := range list {
		if other.Part != "" {
			partEnds = max(partEnds, q.Parts.Ledger().Status(other.Content).Crashes)
		}
	}
	q.log.Warn("target crashed while running a request", "content", crash.Content, "account", crash.Account, "target", crash.Incarnation.ID,
		"born", crash.Incarnation.Start, "software", crash.Software, "ends", q.Ledger.Status(crash.Content).Crashes,
		"parts", partIDs(list), "part_ends", partEnds)
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
