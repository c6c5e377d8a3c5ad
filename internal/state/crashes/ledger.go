// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

// Limits bound a Ledger.
type Limits struct {
	// MinCrashes is the number of crashes, as Status.Crashes counts them, from which a
	// content is refused.
	MinCrashes int
	// MinServedCrashes is the same for a part that targets have served; no more than MinCrashes
	// means that it makes no difference. Contents have none.
	MinServedCrashes int
	// Retention is how long a crash counts, from its first report.
	Retention time.Duration
	// MaxContents is the maximum number of contents of all accounts.
	MaxContents int
	// MaxContentsPerAccount is the maximum number of contents of one account.
	MaxContentsPerAccount int
	// SimultaneousWindow is the time within which crashes count as one; 0 counts each.
	SimultaneousWindow time.Duration
	// ServedWindow is the same for crashes while running a recently served content: if many targets
	// crash at once while each runs a content that many clients request, the content is not the
	// cause.
	ServedWindow time.Duration
}

// Ledger holds the crashes of targets by request content, or by part of prompts: what is said of
// contents holds for parts, too. It is safe for concurrent use.
type Ledger struct {
	limits Limits
	// statuses maps the Digest of each content with uncleared crashes to its Status, so that
	// requests read it without a lock. statusCount counts its entries.
	statuses    sync.Map
	statusCount atomic.Int64

	mu                sync.Mutex
	contents          map[Digest]*content
	contentsByAccount map[string]int    // number of contents by account
	refused           map[Digest]Status // the contents that are refused
}

// content is the state of one request content.
type content struct {
	account       string // that of the first report
	crashes       map[key]*Crash
	firstReported time.Time // the earliest report of its crashes
}

// NewLedger returns an empty Ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, contents: map[Digest]*content{}, contentsByAccount: map[string]int{}, refused: map[Digest]Status{}}
}

// Empty reports whether no content has uncleared crashes. It takes no lock.
func (l *Ledger) Empty() bool { return l.statusCount.Load() == 0 }

// Status returns the crash status of a content, the zero value if it has no uncleared
// crashes. It takes no lock.
func (l *Ledger) Status(d Digest) Status {
	if s, ok := l.statuses.Load(d); ok {
		return s.(Status)
	}
	return Status{}
}

// Refused returns a copy of the refused contents with their status.
func (l *Ledger) Refused() map[Digest]Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.refused)
}

// WithCrashes returns the status of the contents with at least n crashes, as Status.Crashes counts them.
func (l *Ledger) WithCrashes(n int) map[Digest]Status {
	found := map[Digest]Status{}
	l.statuses.Range(func(d, s any) bool {
		if status := s.(Status); status.Crashes >= n {
			found[d.(Digest)] = status
		}
		return true
	})
	return found
}

// Merge merges reported crashes into the ledger, except those older than Limits.Retention
// and those for whose content there is no capacity. It returns those that are new, newly cleared,
// or newly known to be of a recently served content.
func (l *Ledger) Merge(reported []Crash, now time.Time) (changed []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range reported {
		if now.Sub(crash.ReportedAt) < l.limits.Retention && l.merge(crash) {
			changed = append(changed, crash)
			l.publish(crash.Content)
		}
	}
	return changed
}

// merge merges one crash and reports whether it is new, newly cleared, or newly known to be of a
// recently served content. It returns false as well if there is no capacity for its content. l.mu must be held.
func (l *Ledger) merge(crash Crash) bool {
	c := l.contents[crash.Content]
	if c == nil {
		if !l.makeSpace(crash.Account) {
			return false
		}
		c = &content{account: crash.Account, crashes: map[key]*Crash{}, firstReported: crash.ReportedAt}
		l.contents[crash.Content] = c
		l.contentsByAccount[crash.Account]++
	}
	if crash.ReportedAt.Before(c.firstReported) {
		c.firstReported = crash.ReportedAt
	}
	known := c.crashes[crash.key()]
	if known == nil {
		c.crashes[crash.key()] = &crash
		return true
	}
	if crash.ReportedAt.Before(known.ReportedAt) {
		known.ReportedAt = crash.ReportedAt // the first report counts, whichever process received it
		l.publish(crash.Content)
	}
	isNews := crash.Cleared && !known.Cleared || crash.RecentlyServed && !known.RecentlyServed
	known.Cleared = known.Cleared || crash.Cleared
	known.RecentlyServed = known.RecentlyServed || crash.RecentlyServed
	return isNews
}

// Clear clears the crashes of a content, and returns those that were not cleared before.
func (l *Ledger) Clear(d Digest) (cleared []Crash) {
	return l.ClearWhere(d, func(*Crash) bool { return true })
}

// ClearWhere clears the crashes of a content for which chosen returns true, and returns those that
// were not cleared before.
func (l *Ledger) ClearWhere(d Digest, chosen func(*Crash) bool) (cleared []Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.contents[d]
	if c == nil {
		return nil
	}
	for _, crash := range c.crashes {
		if !crash.Cleared && chosen(crash) {
			crash.Cleared = true
			cleared = append(cleared, *crash)
		}
	}
	l.publish(d)
	return cleared
}

// Expire removes crashes older than Limits.Retention.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d, c := range l.contents {
		oldCount := len(c.crashes)
		maps.DeleteFunc(c.crashes, func(_ key, crash *Crash) bool {
			return now.Sub(crash.ReportedAt) >= l.limits.Retention
		})
		switch len(c.crashes) {
		case 0:
			l.removeContent(d, c)
		case oldCount:
		default:
			l.publish(d)
		}
	}
}

// All returns all crashes, cleared ones included, in no particular order.
func (l *Ledger) All() []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Crash
	for _, c := range l.contents {
		for _, crash := range c.crashes {
			all = append(all, *crash)
		}
	}
	return all
}

// ByContent returns the crashes of one content, cleared ones included, sorted by target ID
// and start of the incarnation.
func (l *Ledger) ByContent(d Digest) []Crash {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Crash
	if c := l.contents[d]; c != nil {
		for _, crash := range c.crashes {
			list = append(list, *crash)
		}
	}
	slices.SortFunc(list, func(a, b Crash) int { return compareIncarnations(&a, &b) })
	return list
}

// compareIncarnations compares the targets of two crashes by ID and start, then their accounts.
func compareIncarnations(a, b *Crash) int {
	return cmp.Or(strings.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.Start, b.Incarnation.Start), strings.Compare(a.Account, b.Account))
}

// checksumMargin is how long before its expiry a crash is left out of the checksum, because
// processes count the age of a crash from times that differ by the transmission time of the
// report.
const checksumMargin = 5 * time.Second

// Checksum returns a checksum of the crashes that don't expire soon; ledgers with equal
// checksums are taken for equal. That of an empty ledger is 0.
func (l *Ledger) Checksum(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := uint64(0)
	for _, c := range l.contents {
		for _, crash := range c.crashes {
			if now.Sub(crash.ReportedAt) < l.limits.Retention-checksumMargin {
				sum ^= crash.checksum()
			}
		}
	}
	return sum
}

// makeSpace evicts a content if needed for a new one of account, and reports whether there
// is capacity. At the limit of the account, one of its own contents is evicted. l.mu must be
// held.
func (l *Ledger) makeSpace(account string) bool {
	switch {
	case l.contentsByAccount[account] >= l.limits.MaxContentsPerAccount:
		return l.evictOne(func(c *content) bool { return c.account == account })
	case len(l.contents) >= l.limits.MaxContents:
		return l.evictOne(func(*content) bool { return true })
	}
	return true
}

// evictOne removes one of the contents for which among returns true and that are not refused: the
// one with the fewest crashes as Status counts them, and among equals the oldest. It reports
// whether there was one. l.mu must be held.
func (l *Ledger) evictOne(among func(c *content) bool) bool {
	var (
		digest Digest
		chosen *content
	)
	fewest := 0
	for d, c := range l.contents {
		status := l.Status(d)
		if !among(c) || status.refused {
			continue
		}
		if chosen == nil || status.Crashes < fewest || (status.Crashes == fewest && c.firstReported.Before(chosen.firstReported)) {
			digest, chosen, fewest = d, c, status.Crashes
		}
	}
	if chosen == nil {
		return false
	}
	l.removeContent(digest, chosen)
	return true
}

// removeContent removes a content. l.mu must be held.
func (l *Ledger) removeContent(d Digest, c *content) {
	delete(l.contents, d)
	if l.contentsByAccount[c.account]--; l.contentsByAccount[c.account] == 0 {
		delete(l.contentsByAccount, c.account)
	}
	l.publish(d)
}

// sortedCrashes returns the crashes in the order of their first reports, those of one time in that
// of their targets, so that all processes count the same. The ledger's mu
// must be held.
func (c *content) sortedCrashes() []*Crash {
	list := slices.Collect(maps.Values(c.crashes))
	slices.SortFunc(list, func(a, b *Crash) int { return cmp.Or(a.ReportedAt.Compare(b.ReportedAt), compareIncarnations(a, b)) })
	return list
}

// publish updates the status of a content for readers. l.mu must be held.
func (l *Ledger) publish(d Digest) {
	var s Status
	if c := l.contents[d]; c != nil {
		s = l.status(c)
	}
	old, known := l.statuses.Load(d)
	switch {
	case s.Crashes > 0:
		l.statuses.Store(d, s)
		if !known {
			l.statusCount.Add(1)
		}
	case known:
		l.statuses.Delete(d)
		l.statusCount.Add(-1)
	}
	if s.refused {
		l.refused[d] = s
	} else if known && old.(Status).refused {
		delete(l.refused, d)
	}
}

// status computes the status of a content. l.mu must be held.
func (l *Ledger) status(c *content) Status {
	s := Status{Crashes: l.count(c, func(*Crash) bool { return true })}
	for _, crash := range c.crashes {
		if crash.Cleared {
			continue
		}
		if s.FirstReported.IsZero() || crash.ReportedAt.Before(s.FirstReported) {
			s.FirstReported = crash.ReportedAt
		}
		if !slices.Contains(s.Software, crash.Software) {
			s.Software = append(s.Software, crash.Software)
		}
	}
	slices.Sort(s.Software)
	s.refused = s.Crashes >= l.limits.MinCrashes
	return s
}

// count returns the number of crashes of a content that are not cleared and for which chosen returns
// true: one for each incarnation, and one for simultaneous ones. l.mu must be held.
func (l *Ledger) count(c *content, chosen func(*Crash) bool) int {
	n := 0
	counted := map[hookhall.Incarnation]bool{}
	var lastCounted time.Time // time of the last crash that counted
	for _, crash := range c.sortedCrashes() {
		if crash.Cleared || !chosen(crash) || counted[crash.Incarnation] {
			continue
		}
		counted[crash.Incarnation] = true
		window := l.limits.SimultaneousWindow
		if crash.RecentlyServed {
			window = l.limits.ServedWindow
		}
		if lastCounted.IsZero() || crash.ReportedAt.Sub(lastCounted) >= window {
			n++
			lastCounted = crash.ReportedAt
		}
	}
	return n
}
