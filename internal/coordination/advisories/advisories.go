// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisories

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// Meter counts changes of advisories.
type Meter interface {
	// Advised counts a change of a target's advisory; kind is one of the Kind constants.
	Advised(service, kind string)
}

// The kinds of changes in metrics.
const (
	KindLeaving = "leaving"  // the target announced that it is leaving
	KindLimit   = "limit"    // its rate limit began, or changed by more than a tenth
	KindNoLimit = "no-limit" // its rate limit ended
	KindBrittle = "brittle"  // it announced that it fails if it rejects too much, or another bound
	KindSturdy  = "sturdy"   // it no longer does
	KindPause   = "pause"    // it asked this instance to pause
)

// fromAnswer is the source of an advisory that this instance read in an answer.
const fromAnswer = "answer"

const (
	// batchDelay is how long changes are collected before they are broadcast.
	batchDelay = 10 * time.Millisecond
	// broadcastInterval is the minimum time between two broadcasts: a target may set
	// another limit in each answer.
	broadcastInterval = 250 * time.Millisecond
)

// Advisories applies the advisories in answers and the reports of peers. It is a
// hookhall.AdvisoryObserver and safe for concurrent use; its exported fields are set before
// the first use.
type Advisories struct {
	Registry *advisory.Registry // advisories of all targets, by incarnation
	Meter    Meter
	Log      *log.Logger
	// MarkLeaving marks an incarnation of a target as leaving; from names the source in the log. It
	// must not block.
	MarkLeaving func(incarnation hookhall.Incarnation, from string)
	// Broadcast sends reports to all other instances. It must not block.
	Broadcast func(list []advisory.Report)

	mu            sync.Mutex                               // guards pending and lastBroadcast
	pending       map[hookhall.Incarnation]advisory.Report // not broadcast yet; nil while no broadcast is due
	lastBroadcast time.Time
}

// HandleAdvisory applies the advisory of an answer to a call that was sent at sent, and
// broadcasts a change that other instances need. It implements hookhall.AdvisoryObserver.
func (s *Advisories) HandleAdvisory(t hookhall.Target, a hookhall.Advisory, sent time.Time) {
	c := s.Registry.Record(t.Incarnation(), a, sent, clock.Now())
	s.apply(t, c, fromAnswer)
	if c.Notify {
		s.enqueue(advisory.Report{Target: t, Leaving: c.After.Leaving, Limit: c.After.Limit, Brittle: c.After.Brittle})
	}
}

// Merge applies the reports of a peer, and returns those that are new here and should be
// passed on to other peers. from names the peer in the log.
func (s *Advisories) Merge(list []advisory.Report, from string) (fresh []advisory.Report) {
	for _, r := range list {
		c := s.Registry.Merge(r, clock.Now())
		s.apply(r.Target, c, from)
		if c.Notify {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// All returns reports of all targets that are leaving, limited or brittle.
func (s *Advisories) All() []advisory.Report { return s.Registry.All() }

// enqueue adds a report to the next broadcast, in place of an earlier one of the same
// incarnation.
func (s *Advisories) enqueue(r advisory.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[hookhall.Incarnation]advisory.Report{}
		time.AfterFunc(max(batchDelay, broadcastInterval-clock.Since(s.lastBroadcast)), s.flush)
	}
	s.pending[r.Target.Incarnation()] = r
}

// flush broadcasts the pending reports.
func (s *Advisories) flush() {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.pending))
	s.pending, s.lastBroadcast = nil, clock.Now()
	s.mu.Unlock()
	s.Broadcast(list)
}

// apply logs and counts a change, and marks the target as leaving if that is new.
func (s *Advisories) apply(t hookhall.Target, c advisory.Change, from string) {
	s.log(t, c, from)
	if c.After.Leaving && !c.Before.Leaving {
		s.MarkLeaving(t.Incarnation(), from)
	}
}

// log logs and counts a change.
func (s *Advisories) log(t hookhall.Target, c advisory.Change, from string) {
	before, after := c.Before, c.After
	if after == before {
		return
	}
	if after.Leaving && !before.Leaving {
		s.Log.Info("target announced that it is leaving", "target", t.ID, "service", t.Pool, "born", t.Start, "from", from)
		s.Meter.Advised(t.Pool, KindLeaving)
	}
	if after.PausedUntil.After(before.PausedUntil) {
		s.Log.Info("target asked this instance to pause", "target", t.ID, "service", t.Pool, "born", t.Start, "pause", clock.Until(after.PausedUntil), "from", from)
		s.Meter.Advised(t.Pool, KindPause)
	}
	switch b, n := before.Brittle, after.Brittle; {
	case n.Named && (!b.Named || c.Notify):
		s.Log.Info("target is brittle: it fails if it rejects too much", "target", t.ID, "service", t.Pool, "born", t.Start, "max_rejections", n.MaxRejections, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindBrittle)
	case b.Named && !n.Named:
		s.Log.Info("target is no longer brittle", "target", t.ID, "service", t.Pool, "born", t.Start, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindSturdy)
	}
	switch b, n := before.Limit, after.Limit; {
	case n.Named && (!b.Named || c.Notify):
		s.Log.Info("target set a rate limit", "target", t.ID, "service", t.Pool, "born", t.Start, "limit", n.Rate, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindLimit)
	case b.Named && !n.Named:
		s.Log.Info("target removed its rate limit", "target", t.ID, "service", t.Pool, "born", t.Start, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindNoLimit)
	}
}
