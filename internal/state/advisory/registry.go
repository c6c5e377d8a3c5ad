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

// notifyThreshold is the relative change of a rate above which peers are notified, so that
// small corrections in each response cause no broadcasts.
const notifyThreshold = 0.1

// Limit is a target's rate limit as last received. Its field names are part of the state that
// operators read as JSON.
type Limit struct {
	// Named is set while the target announces a limit.
	Named bool
	// Rate is in requests per second, from all instances together.
	Rate float64
	// Heard is when the response was received that announced the limit or its end.
	Heard time.Time
}

// differs reports whether peers that know old should be notified of l.
func (l Limit) differs(old Limit) bool {
	return l.Named != old.Named || math.Abs(l.Rate-old.Rate) > notifyThreshold*old.Rate
}

// Brittle is a target's announcement, as last received, that it fails if it rejects too much. Its
// field names are part of the state that operators read as JSON.
type Brittle struct {
	// Named is set while the target announces it.
	Named bool
	// MaxRejections is in rejections per second, of requests from all instances together.
	MaxRejections float64
	// Heard is when the response was received that announced it or its end.
	Heard time.Time
}

// differs reports whether peers that know old should be notified of b.
func (b Brittle) differs(old Brittle) bool {
	return b.Named != old.Named || math.Abs(b.MaxRejections-old.MaxRejections) > notifyThreshold*old.MaxRejections
}

// Status is what a target has announced about further requests. Its field names are part of
// the state that operators read as JSON.
type Status struct {
	Leaving bool
	Limit   Limit
	Brittle Brittle
	// PausedUntil is when the pause ends that the target requested from this instance, and
	// PauseHeard is when the last such request was received.
	PausedUntil time.Time
	PauseHeard  time.Time
}

// restricted reports whether there is a limit, a brittle target, one of these that ended less
// than limitEndReportTime ago, or a pause.
func (s *Status) restricted(now time.Time) bool {
	return s.Limit.Named || now.Sub(s.Limit.Heard) < limitEndReportTime ||
		s.Brittle.Named || now.Sub(s.Brittle.Heard) < limitEndReportTime || s.PausedUntil.After(now)
}

// Change is the effect of an advisory.
type Change struct {
	Before Status
	After  Status
	// Notify is set if peers should be notified.
	Notify bool
}

// Registry stores the advisories of targets by incarnation. It is safe for concurrent use.
type Registry struct {
	entries sync.Map // hookhall.Incarnation to *entry
	// restrictedCount is the number of entries for which Status.restricted is true. While it is
	// 0, a lookup costs a single atomic load.
	restrictedCount atomic.Int64
}

// entry is the state of one incarnation of a target.
type entry struct {
	mu     sync.Mutex
	status Status
	// shared is the limit that peers know, and sharedBrittle the same of Brittle.
	shared        Limit
	sharedBrittle Brittle
	bucket        bucket
	rejections    rejections
	// restricted is set while Registry.restrictedCount counts the entry.
	restricted bool
	// removed is set once Prune has removed the entry from the registry.
	removed bool
}

// find returns the entry of an incarnation, or nil.
func (r *Registry) find(incarnation hookhall.Incarnation) *entry {
	if e, ok := r.entries.Load(incarnation); ok {
		return e.(*entry)
	}
	return nil
}

// findRestricted returns the entry of an incarnation, or nil if there is none or if no target
// is restricted.
func (r *Registry) findRestricted(incarnation hookhall.Incarnation) *entry {
	if r.Unrestricted() {
		return nil
	}
	return r.find(incarnation)
}

// lock returns the entry of an incarnation with its lock held. It adds one if there is none, also
// in place of one that is pruned meanwhile.
func (r *Registry) lock(incarnation hookhall.Incarnation) *entry {
	for {
		loaded, _ := r.entries.LoadOrStore(incarnation, &entry{})
		e := loaded.(*entry)
		e.mu.Lock()
		if !e.removed {
			return e
		}
		e.mu.Unlock()
	}
}

// setRestricted sets whether Registry.restrictedCount counts an entry. e.mu must be held.
func (r *Registry) setRestricted(e *entry, isRestricted bool) {
	if e.restricted == isRestricted {
		return
	}
	e.restricted = isRestricted
	if isRestricted {
		r.restrictedCount.Add(1)
	} else {
		r.restrictedCount.Add(-1)
	}
}

// Record applies the advisory of a response that was received at now to a call sent at
// sent.
func (r *Registry) Record(incarnation hookhall.Incarnation, a hookhall.Advisory, sent, now time.Time) Change {
	if a == (hookhall.Advisory{}) && r.find(incarnation) == nil {
		return Change{}
	}
	e := r.lock(incarnation)
	defer e.mu.Unlock()
	change := Change{Before: e.status}
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
	if a.Brittle {
		s.Brittle = Brittle{Named: true, MaxRejections: a.MaxRejections, Heard: now}
	} else if s.Brittle.Named && !sent.Before(s.Brittle.Heard) {
		s.Brittle = Brittle{Heard: now}
	}
	change.Notify = s.Leaving != change.Before.Leaving
	if s.Limit.differs(e.shared) || s.Brittle.differs(e.sharedBrittle) {
		e.shared, e.sharedBrittle = s.Limit, s.Brittle
		change.Notify = true
	}
	r.setRestricted(e, s.restricted(now))
	change.After = e.status
	return change
}

// Merge applies a peer's report. Of two announcements, the one from the later response applies.
func (r *Registry) Merge(report Report, now time.Time) Change {
	incarnation := report.Target.Incarnation()
	if !report.Limit.Named && !report.Brittle.Named && !report.Leaving && r.find(incarnation) == nil {
		return Change{}
	}
	e := r.lock(incarnation)
	defer e.mu.Unlock()
	change := Change{Before: e.status, Notify: report.Leaving && !e.status.Leaving}
	e.status.Leaving = e.status.Leaving || report.Leaving
	if report.Limit.Heard.After(e.status.Limit.Heard) {
		change.Notify = change.Notify || report.Limit.differs(e.shared)
		e.status.Limit, e.shared = report.Limit, report.Limit
	}
	if report.Brittle.Heard.After(e.status.Brittle.Heard) {
		change.Notify = change.Notify || report.Brittle.differs(e.sharedBrittle)
		e.status.Brittle, e.sharedBrittle = report.Brittle, report.Brittle
	}
	r.setRestricted(e, e.status.restricted(now))
	change.After = e.status
	return change
}

// maxRestartDetectionDelay is how long after its start a new incarnation of a target may be
// taken for the previous one, until this instance learns the key of the new one.
const maxRestartDetectionDelay = 3 * time.Second

// TransferPause copies the pause of a target's previous incarnation to its new one if the
// pause was requested at most maxRestartDetectionDelay ago, since the new incarnation may
// have requested it before it was known here. Limits and leaving are not copied, since
// each response announces them again.
func (r *Registry) TransferPause(previous, current hookhall.Incarnation, now time.Time) {
	old := r.Status(previous)
	if !old.PausedUntil.After(now) || now.Sub(old.PauseHeard) > maxRestartDetectionDelay {
		return
	}
	e := r.lock(current)
	defer e.mu.Unlock()
	e.status.PausedUntil = later(e.status.PausedUntil, old.PausedUntil)
	e.status.PauseHeard = later(e.status.PauseHeard, old.PauseHeard)
	r.setRestricted(e, e.status.restricted(now))
}

// Status returns what an incarnation of a target has announced, or the zero Status.
func (r *Registry) Status(incarnation hookhall.Incarnation) Status {
	e := r.find(incarnation)
	if e == nil {
		return Status{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.status
}

// Prune removes the entries of incarnations for which isCurrent returns false, and entries
// of targets that are neither restricted nor leaving.
func (r *Registry) Prune(isCurrent func(incarnation hookhall.Incarnation) bool, now time.Time) {
	r.entries.Range(func(k, v any) bool {
		e := v.(*entry)
		e.mu.Lock()
		defer e.mu.Unlock()
		current := isCurrent(k.(hookhall.Incarnation))
		r.setRestricted(e, current && e.status.restricted(now))
		if !current || !(e.restricted || e.status.Leaving) {
			e.removed = true
			r.entries.Delete(k)
		}
		return true
	})
}

// Unrestricted reports whether no target has a limit, is brittle, had or was that less than
// limitEndReportTime ago, or has a pause.
func (r *Registry) Unrestricted() bool { return r.restrictedCount.Load() == 0 }

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
