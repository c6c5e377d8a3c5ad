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
	// endsMost is at how many lives of targets a content is refused: the platform
	// counts what reaches targets after the third. With two, a client's repeat of a
	// request that ran beside a guilty one would be refused.
	endsMost = 3
	// keep is for how long ends count: the longest lease of the platform's store.
	keep = 10 * time.Minute
	// contentsMost and perAccountMost bound the ledger to about a megabyte. When a fifth
	// of 620 targets with 30 requests each end at once, 3,720 contents are in it.
	contentsMost   = 4096
	perAccountMost = 1024
	// tellDelay gathers what is told to the others: a target's end breaks off several
	// answers within a few milliseconds.
	tellDelay = 5 * time.Millisecond
	// expireEvery is how often the ledger is looked through for what is past its time.
	expireEvery = 5 * time.Second
)

// Limits are those of the ledger of a gateway.
func Limits() crashes.Limits {
	return crashes.Limits{Ends: endsMost, Keep: keep, Contents: contentsMost, PerAccount: perAccountMost}
}

// Catalog tells of the lives of targets.
type Catalog interface {
	// Over tells whether what is listed shows that t's life is over.
	Over(t hookhall.Target) bool
}

// Meter counts.
type Meter interface {
	// TargetEnded counts an end that this process found, by service and version.
	TargetEnded(software string)
	// ContentsRefused tells how many contents are refused.
	ContentsRefused(n int)
}

// Quarantine is what a gateway knows of requests that end targets. Its exported
// fields are set before Run.
type Quarantine struct {
	Ledger *crashes.Ledger
	// Leads tells whether this process writes to the store for all.
	Leads func() bool
	// Era is how often the store has come back from an older copy.
	Era func() uint64
	// Tell tells all other gateways, without waiting for them.
	Tell  func(ends []crashes.End)
	Meter Meter // nil counts nothing

	prober  hookhall.Prober
	catalog Catalog
	store   hookhall.Store
	log     *log.Logger

	mu       sync.Mutex // for what follows
	findings map[hookhall.Life]*finding
	recent   *crashes.Recent
	outbox   []crashes.End
	refused  map[crashes.Digest]bool // those whose refusal was logged
	wake     chan struct{}           // the store is to be written
}

// New makes a Quarantine with an empty ledger.
func New(p hookhall.Prober, c Catalog, s hookhall.Store, l *log.Logger) *Quarantine {
	return &Quarantine{
		Ledger: crashes.NewLedger(Limits()), prober: p, catalog: c, store: s, log: l,
		Leads: func() bool { return false }, Era: func() uint64 { return 0 }, Tell: func([]crashes.End) {},
		findings: map[hookhall.Life]*finding{}, recent: crashes.NewRecent(clock.Now()), refused: map[crashes.Digest]bool{}, wake: make(chan struct{}, 1),
	}
}

// Run writes to the store and forgets what is past its time, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { q.keepStored(ctx) })
	for retry.Sleep(ctx, expireEvery) {
		now := clock.Now()
		q.Ledger.Expire(now)
		q.forgetFindings(now)
		q.noteRefusals()
	}
	wg.Wait()
}

// Standing is what is held against a request's content. The digest is made only when
// something is held against any.
func (q *Quarantine) Standing(content func() crashes.Digest) crashes.Standing {
	if q.Ledger.Empty() {
		return crashes.Standing{}
	}
	return q.Ledger.Standing(content())
}

// Served takes in that a target gave a whole answer to a request's content: then it does
// not end the targets that run it, and what ended some had another cause.
func (q *Quarantine) Served(content func() crashes.Digest) {
	q.recent.Add(content(), clock.Now())
	if q.Standing(content).Ends == 0 {
		return
	}
	if cleared := q.clear(content()); len(cleared) > 0 {
		q.log.Info("A content was served; ends under it do not count.", "content", content(), "account", cleared[0].Account, "ends", len(cleared))
	}
}

// Lift has a content served again, by an operator's word. It tells whether anything was
// held against it.
func (q *Quarantine) Lift(content crashes.Digest) bool {
	cleared := q.clear(content)
	q.log.Info("An operator lifts what is held against a content.", "content", content, "ends", len(cleared))
	return len(cleared) > 0
}

// clear clears all ends under a content, here and elsewhere.
func (q *Quarantine) clear(content crashes.Digest) []crashes.End {
	cleared := q.Ledger.Clear(content)
	if len(cleared) > 0 {
		q.noteRefusals()
		q.tell(cleared)
	}
	return cleared
}

// Learn takes in what a peer or the store told of ends, and returns what was new.
func (q *Quarantine) Learn(ends []crashes.End, from string) []crashes.End {
	fresh := q.Ledger.Learn(ends, clock.Now())
	if len(fresh) == 0 {
		return nil
	}
	q.log.Info("Ends of targets are told.", "count", len(fresh), "from", from, "content", fresh[0].Content, "target", fresh[0].Life.ID, "cleared", fresh[0].Cleared)
	q.noteRefusals()
	return fresh
}

// All lists all ends that are known.
func (q *Quarantine) All() []crashes.End { return q.Ledger.All() }

// Sum sums them up.
func (q *Quarantine) Sum(now time.Time) uint64 { return q.Ledger.Sum(now) }

// enter enters an end that this process found.
func (q *Quarantine) enter(e crashes.End) {
	fresh := q.Ledger.Learn([]crashes.End{e}, clock.Now())
	if len(fresh) == 0 {
		return
	}
	q.log.Warn("A target ended while it ran a request.", "content", e.Content, "account", e.Account, "target", e.Life.ID,
		"born", e.Life.Born, "software", e.Software, "ends", q.Ledger.Standing(e.Content).Ends)
	if q.Meter != nil {
		q.Meter.TargetEnded(e.Software)
	}
	q.noteRefusals()
	q.tell(fresh)
}

// tell passes ends on to the others, gathered over a moment.
func (q *Quarantine) tell(ends []crashes.End) {
	q.mu.Lock()
	first := len(q.outbox) == 0
	q.outbox = append(q.outbox, ends...)
	q.mu.Unlock()
	if first {
		time.AfterFunc(tellDelay, q.flush)
	}
}

func (q *Quarantine) flush() {
	q.mu.Lock()
	ends := q.outbox
	q.outbox = nil
	q.mu.Unlock()
	q.Tell(ends)
}

// noteRefusals logs which contents are refused from now on, or no more, and has the store
// written.
func (q *Quarantine) noteRefusals() {
	refused := q.Ledger.Refused()
	q.mu.Lock()
	defer q.mu.Unlock()
	for d, s := range refused {
		if !q.refused[d] {
			q.refused[d] = true
			q.log.Warn("A content is refused from now on: targets end when they run it.", "content", d, "ends", s.Ends,
				"software", s.Software, "first_ago_ms", clock.Since(s.Since).Milliseconds(), "targets", q.targets(d))
		}
	}
	for d := range q.refused {
		if _, still := refused[d]; !still {
			delete(q.refused, d)
			q.log.Info("A content is not refused any more.", "content", d)
		}
	}
	if q.Meter != nil {
		q.Meter.ContentsRefused(len(refused))
	}
	select {
	case q.wake <- struct{}{}:
	default: // it is awake
	}
}

// targets lists the targets that ended under a content, sorted.
func (q *Quarantine) targets(d crashes.Digest) []string {
	var ids []string
	for _, e := range q.Ledger.Of(d) {
		if !e.Cleared {
			ids = append(ids, e.Life.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
