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

// notifyThreshold is the relative change of a rate from which peers are notified.
const notifyThreshold = 0.1

// Limit is a target's rate limit as it was last heard of.
type Limit struct {
	// Named is set while the target names a limit.
	Named bool
	// Rate is in requests a second, from all instances together.
	Rate float64
	// Heard is when the answer came that the limit was read from.
	Heard time.Time
}

// differs reports whether peers that know o should be notified of l.
func (l Limit) differs(o Limit) bool {
	return l.Named != o.Named || math.Abs(l.Rate-o.Rate) > notifyThreshold*o.Rate
}

// Status is what a target has announced about further requests.
type Status struct {
	Leaving bool
	Limit   Limit
	// PausedUntil is when the pause ends that the target asked this instance for, and
	// PauseHeard when it asked last.
	PausedUntil time.Time
	PauseHeard  time.Time
}

// rationed reports whether there is a limit, one that ended a short while ago, or a pause.
func (s *Status) rationed(now time.Time) bool {
	return s.Limit.Named || now.Sub(s.Limit.Heard) < reportTime || s.PausedUntil.After(now)
}

// Change is what an advisory changed.
type Change struct {
	Before Status
	After  Status
	// Notify is set if peers should be notified.
	Notify bool
}

// Book keeps the advisories of targets by life. It is safe for concurrent use.
type Book struct {
	entries sync.Map // hookhall.Life to *entry
	// rationed is the number of entries with a limit or a pause, so that looking for these
	// costs one load while there are none.
	rationed atomic.Int64
}

// entry is the state of one life of a target.
type entry struct {
	mu     sync.Mutex
	status Status
	// shared is the limit that peers know.
	shared Limit
	bucket bucket
	// rationed is set while the book counts the entry as rationed.
	rationed bool
}

// find returns the entry of a life, or nil.
func (b *Book) find(l hookhall.Life) *entry {
	if e, ok := b.entries.Load(l); ok {
		return e.(*entry)
	}
	return nil
}

// findRationed returns the entry of a life that may have a limit or a pause, or nil.
func (b *Book) findRationed(l hookhall.Life) *entry {
	if b.Idle() {
		return nil
	}
	return b.find(l)
}

func (b *Book) findOrAdd(l hookhall.Life) *entry {
	e, _ := b.entries.LoadOrStore(l, &entry{})
	return e.(*entry)
}

// count keeps the number of rationed entries. e.mu must be held.
func (b *Book) count(e *entry, rationed bool) {
	if e.rationed == rationed {
		return
	}
	e.rationed = rationed
	if rationed {
		b.rationed.Add(1)
	} else {
		b.rationed.Add(-1)
	}
}

// Record applies the advisory of an answer that was received at now to a call sent at
// sent.
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
		s.PausedUntil, s.PauseHeard = later(s.PausedUntil, now.Add(a.Pause)), now
	}
	if a.Limited {
		s.Limit = Limit{Named: true, Rate: a.Limit, Heard: now}
	} else if s.Limit.Named && !sent.Before(s.Limit.Heard) {
		s.Limit = Limit{Heard: now}
	}
	c.Notify = s.Leaving != c.Before.Leaving
	if s.Limit.differs(e.shared) {
		e.shared = s.Limit
		c.Notify = true
	}
	b.count(e, s.rationed(now))
	c.After = e.status
	return c
}

// Merge applies a peer's report. Of two limits the later one wins.
func (b *Book) Merge(r Report, now time.Time) Change {
	l := r.Target.Life()
	if !r.Limit.Named && !r.Leaving && b.find(l) == nil {
		return Change{}
	}
	e := b.findOrAdd(l)
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Change{Before: e.status, Notify: r.Leaving && !e.status.Leaving}
	e.status.Leaving = e.status.Leaving || r.Leaving
	if r.Limit.Heard.After(e.status.Limit.Heard) {
		c.Notify = c.Notify || r.Limit.differs(e.shared)
		e.status.Limit, e.shared = r.Limit, r.Limit
	}
	b.count(e, e.status.rationed(now))
	c.After = e.status
	return c
}

// rebirthTime is how long after its start a new life of a target may be taken for the old
// one: until its key is known here.
const rebirthTime = 3 * time.Second

// Reborn takes in that a target is in another life. A pause that was asked for a short while
// ago may be the new life's, and holds for it too. Limits and leaving are announced in every
// answer and need not be kept.
func (b *Book) Reborn(before, after hookhall.Life, now time.Time) {
	old := b.Status(before)
	if !old.PausedUntil.After(now) || now.Sub(old.PauseHeard) > rebirthTime {
		return
	}
	e := b.findOrAdd(after)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.PausedUntil = later(e.status.PausedUntil, old.PausedUntil)
	e.status.PauseHeard = later(e.status.PauseHeard, old.PauseHeard)
	b.count(e, e.status.rationed(now))
}

// Status returns what a life of a target has announced.
func (b *Book) Status(l hookhall.Life) Status {
	e := b.find(l)
	if e == nil {
		return Status{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// Keep removes the entries of lives that are over, and those without a status.
func (b *Book) Keep(current func(l hookhall.Life) bool, now time.Time) {
	b.entries.Range(func(k, v any) bool {
		e := v.(*entry)
		e.mu.Lock()
		defer e.mu.Unlock()
		live := current(k.(hookhall.Life))
		b.count(e, live && e.status.rationed(now))
		if !live || !(e.rationed || e.status.Leaving) {
			b.entries.Delete(k)
		}
		return true
	})
}

// Idle reports whether no target has a limit or a pause.
func (b *Book) Idle() bool { return b.rationed.Load() == 0 }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
