// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

// tellChange is the relative change of a rate from which other instances are told.
const tellChange = 0.1

// Limit is a target's rate limit as it was last heard of.
type Limit struct {
	// Named is set while the target names a limit.
	Named bool
	// Rate is in requests a second, from all instances together.
	Rate float64
	// Heard is when the answer came that the limit was read from.
	Heard time.Time
}

// differs reports whether other instances should be told of l instead of o.
func (l Limit) differs(o Limit) bool {
	return l.Named != o.Named || math.Abs(l.Rate-o.Rate) > tellChange*o.Rate
}

// Status is what a target has said about further requests.
type Status struct {
	Leaving bool
	Limit   Limit
	// PausedUntil is when the pause ends that the target asked this instance for.
	PausedUntil time.Time
}

// Change is what an advisory changed.
type Change struct {
	Before Status
	After  Status
	// Tell is set if other instances should be told.
	Tell bool
}

// Book keeps the advisories of targets by life. It is safe for concurrent use.
type Book struct {
	entries sync.Map // hookhall.Life to *entry
	// size is the number of entries, so that a book without any costs one load.
	size atomic.Int64
}

// entry is the state of one life of a target.
type entry struct {
	mu     sync.Mutex
	status Status
	// told is the limit that other instances know of.
	told   Limit
	bucket bucket
}

// find returns the entry of a life, or nil.
func (b *Book) find(l hookhall.Life) *entry {
	if b.size.Load() == 0 {
		return nil
	}
	if e, ok := b.entries.Load(l); ok {
		return e.(*entry)
	}
	return nil
}

func (b *Book) findOrAdd(l hookhall.Life) *entry {
	e, loaded := b.entries.LoadOrStore(l, &entry{})
	if !loaded {
		b.size.Add(1)
	}
	return e.(*entry)
}

// Record takes in the advisory of an answer that came at now to a call sent at sent.
func (b *Book) Record(l hookhall.Life, a hookhall.Advisory, sent, now time.Time) Change {
	if a == (hookhall.Advisory{}) && b.find(l) == nil {
		return Change{}
	}
	e := b.findOrAdd(l)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Change{Before: e.status}
	s := &e.status
	s.Leaving = s.Leaving || a.Leaving
	if a.Pause > 0 {
		s.PausedUntil = later(s.PausedUntil, now.Add(a.Pause))
	}
	if a.Limited {
		s.Limit = Limit{Named: true, Rate: a.Limit, Heard: now}
	} else if s.Limit.Named && !sent.Before(s.Limit.Heard) {
		s.Limit = Limit{Heard: now}
	}
	c.Tell = s.Leaving != c.Before.Leaving
	if s.Limit.differs(e.told) {
		e.told = s.Limit
		c.Tell = true
	}
	c.After = e.status
	return c
}

// Merge takes in what another instance has heard. Of two limits the later one holds.
func (b *Book) Merge(r Report) Change {
	l := r.Target.Life()
	if !r.Limit.Named && !r.Leaving && b.find(l) == nil {
		return Change{}
	}
	e := b.findOrAdd(l)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Change{Before: e.status, Tell: r.Leaving && !e.status.Leaving}
	e.status.Leaving = e.status.Leaving || r.Leaving
	if r.Limit.Heard.After(e.status.Limit.Heard) {
		c.Tell = c.Tell || r.Limit.differs(e.told)
		e.status.Limit, e.told = r.Limit, r.Limit
	}
	c.After = e.status
	return c
}

// Status returns what a life of a target has said.
func (b *Book) Status(l hookhall.Life) Status {
	e := b.find(l)
	if e == nil {
		return Status{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// Paused returns the ids of those targets that have asked this instance for a pause which
// goes on, and how long it takes until the first of these pauses ends. It returns nil if
// there are none.
func (b *Book) Paused(targets []hookhall.Target, now time.Time) (ids map[string]bool, next time.Duration) {
	if b.Empty() {
		return nil, 0
	}
	for _, t := range targets {
		left := b.Status(t.Life()).PausedUntil.Sub(now)
		if left <= 0 {
			continue
		}
		if ids == nil {
			ids, next = map[string]bool{}, left
		}
		ids[t.ID] = true
		next = min(next, left)
	}
	return ids, next
}

// Keep forgets the entries of lives that are over.
func (b *Book) Keep(current func(l hookhall.Life) bool) {
	b.entries.Range(func(k, _ any) bool {
		if !current(k.(hookhall.Life)) {
			b.entries.Delete(k)
			b.size.Add(-1)
		}
		return true
	})
}

// Empty reports whether no target has said anything, so that nothing needs to be looked up.
func (b *Book) Empty() bool { return b.size.Load() == 0 }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
