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

// Limits bound a ledger.
type Limits struct {
	// Ends is at how many lives a content is refused.
	Ends int
	// Keep is for how long an End counts.
	Keep time.Duration
	// Contents is how many contents are remembered, and PerAccount how many of one
	// account.
	Contents   int
	PerAccount int
}

// Ledger holds the ends of targets by content. It is safe for concurrent use.
type Ledger struct {
	limits Limits
	// standings has what is held against contents, Digest to Standing, for readers on
	// the path of requests; held counts them.
	standings sync.Map
	held      atomic.Int64

	mu       sync.Mutex
	contents map[Digest]*content
	accounts map[string]int // contents by account
	refused  map[Digest]Standing
}

// content is what is known of one content.
type content struct {
	account string
	ends    map[hookhall.Life]*End
	first   time.Time // the earliest report
}

// NewLedger makes an empty Ledger.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, contents: map[Digest]*content{}, accounts: map[string]int{}, refused: map[Digest]Standing{}}
}

// Empty tells whether nothing is held against any content.
func (b *Ledger) Empty() bool { return b.held.Load() == 0 }

// Standing is what is held against a content.
func (b *Ledger) Standing(d Digest) Standing {
	if s, ok := b.standings.Load(d); ok {
		return s.(Standing)
	}
	return Standing{}
}

// Refused has the contents that are refused.
func (b *Ledger) Refused() map[Digest]Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.refused)
}

// Learn takes ends in, and returns those that were new here or are newly cleared.
func (b *Ledger) Learn(ends []End, now time.Time) (fresh []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if now.Sub(e.At) < b.limits.Keep && b.learn(e) {
			fresh = append(fresh, e)
			b.publish(e.Content)
		}
	}
	return fresh
}

// learn takes one End in and tells whether it was new. The caller holds b.mu.
func (b *Ledger) learn(e End) bool {
	c := b.contents[e.Content]
	if c == nil {
		if !b.makeRoom(e.Account) {
			return false
		}
		c = &content{account: e.Account, ends: map[hookhall.Life]*End{}, first: e.At}
		b.contents[e.Content] = c
		b.accounts[e.Account]++
	}
	if e.At.Before(c.first) {
		c.first = e.At
	}
	known := c.ends[e.Life]
	if known == nil {
		c.ends[e.Life] = &e
		return true
	}
	if e.At.Before(known.At) {
		known.At = e.At // it counts from its first report, whoever heard that
	}
	if e.Cleared && !known.Cleared {
		known.Cleared = true
		return true
	}
	return false
}

// Clear takes in that a target gave a whole answer to a content, and returns the ends
// that this clears.
func (b *Ledger) Clear(d Digest) (cleared []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.contents[d]
	if c == nil {
		return nil
	}
	for _, e := range c.ends {
		if !e.Cleared {
			e.Cleared = true
			cleared = append(cleared, *e)
		}
	}
	b.publish(d)
	return cleared
}

// Expire forgets what is past its time.
func (b *Ledger) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for d, c := range b.contents {
		was := len(c.ends)
		maps.DeleteFunc(c.ends, func(_ hookhall.Life, e *End) bool { return now.Sub(e.At) >= b.limits.Keep })
		switch len(c.ends) {
		case 0:
			b.forget(d, c)
		case was:
		default:
			b.publish(d)
		}
	}
}

// All lists all ends.
func (b *Ledger) All() []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []End
	for _, c := range b.contents {
		for _, e := range c.ends {
			all = append(all, *e)
		}
	}
	return all
}

// Of lists the ends of one content, sorted by target.
func (b *Ledger) Of(d Digest) []End {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []End
	if c := b.contents[d]; c != nil {
		for _, e := range c.ends {
			list = append(list, *e)
		}
	}
	slices.SortFunc(list, func(a, b End) int {
		return cmp.Or(strings.Compare(a.Life.ID, b.Life.ID), cmp.Compare(a.Life.Born, b.Life.Born))
	})
	return list
}

// settle is for how long before its time an End is left out of the sum: processes count
// its time from moments that differ by how long a report was on its way.
const settle = 5 * time.Second

// Sum sums up the ledger; equal sums mean equal ledgers. An empty one has 0.
func (b *Ledger) Sum(now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := uint64(0)
	for _, c := range b.contents {
		for _, e := range c.ends {
			if now.Sub(e.At) < b.limits.Keep-settle {
				sum ^= e.sum()
			}
		}
	}
	return sum
}

// makeRoom forgets a content for the first one of another, if it has to, and tells
// whether there is room. An account that has its most gives up one of its own. The
// caller holds b.mu.
func (b *Ledger) makeRoom(account string) bool {
	switch {
	case b.accounts[account] >= b.limits.PerAccount:
		return b.forgetOne(func(c *content) bool { return c.account == account })
	case len(b.contents) >= b.limits.Contents:
		return b.forgetOne(func(*content) bool { return true })
	}
	return true
}

// forgetOne forgets the content with the fewest ends, the oldest of them, among some.
// It tells whether there was one that is not refused. The caller holds b.mu.
func (b *Ledger) forgetOne(among func(c *content) bool) bool {
	var (
		worst  Digest
		chosen *content
	)
	for d, c := range b.contents {
		if !among(c) || c.open() >= b.limits.Ends {
			continue
		}
		if chosen == nil || c.open() < chosen.open() || (c.open() == chosen.open() && c.first.Before(chosen.first)) {
			worst, chosen = d, c
		}
	}
	if chosen == nil {
		return false
	}
	b.forget(worst, chosen)
	return true
}

// forget drops a content. The caller holds b.mu.
func (b *Ledger) forget(d Digest, c *content) {
	delete(b.contents, d)
	if b.accounts[c.account]--; b.accounts[c.account] == 0 {
		delete(b.accounts, c.account)
	}
	b.publish(d)
}

// sorted are the ends in the order of their reports.
func (c *content) sorted() []*End {
	list := slices.Collect(maps.Values(c.ends))
	slices.SortFunc(list, func(a, b *End) int { return a.At.Compare(b.At) })
	return list
}

// open is how many ends are not cleared.
func (c *content) open() int {
	n := 0
	for _, e := range c.ends {
		if !e.Cleared {
			n++
		}
	}
	return n
}

// publish has readers see what is held against a content. The caller holds b.mu.
func (b *Ledger) publish(d Digest) {
	var s Standing
	if c := b.contents[d]; c != nil {
		s = b.standing(c)
	}
	was, known := b.standings.Load(d)
	switch {
	case s.Ends > 0:
		b.standings.Store(d, s)
		if !known {
			b.held.Add(1)
		}
	case known:
		b.standings.Delete(d)
		b.held.Add(-1)
	}
	if s.refused {
		b.refused[d] = s
	} else if known && was.(Standing).refused {
		delete(b.refused, d)
	}
}

// oneMoment is within which time ends under a content that was served a moment before
// count as one: many targets that end at once, while each runs what many clients ask
// alike, have another cause.
const oneMoment = time.Second

// standing sums up what is held against a content.
func (b *Ledger) standing(c *content) Standing {
	var s Standing
	var counted time.Time // when the last end came that counts
	for _, e := range c.sorted() {
		if e.Cleared {
			continue
		}
		if !e.Served || counted.IsZero() || e.At.Sub(counted) >= oneMoment {
			s.Ends++
			counted = e.At
		}
		if s.Since.IsZero() || e.At.Before(s.Since) {
			s.Since = e.At
		}
		if !slices.Contains(s.Software, e.Software) {
			s.Software = append(s.Software, e.Software)
		}
	}
	slices.Sort(s.Software)
	s.refused = s.Ends >= b.limits.Ends
	return s
}
