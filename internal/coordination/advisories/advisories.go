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

// Meter counts advisories.
type Meter interface {
	// Advised counts a change of what a target of a service says; kind is one of the
	// Kind constants.
	Advised(service, kind string)
}

// The kinds of advisories in metrics.
const (
	KindLeaving = "leaving"
	KindLimit   = "limit"
	KindNoLimit = "no-limit"
	KindPause   = "pause"
)

// fromAnswer is the source of an advisory that this instance read itself.
const fromAnswer = "answer"

const (
	// gatherTime is how long changes are gathered before peers are told of them.
	gatherTime = 10 * time.Millisecond
	// tellInterval is the least time between two messages to peers: a target may name
	// another limit in each answer.
	tellInterval = 250 * time.Millisecond
)

// Advisories is a hookhall.AdvisoryObserver.
type Advisories struct {
	Book  *advisory.Book
	Meter Meter
	Log   *log.Logger
	// Leave is told of targets that are leaving. It must not block.
	Leave func(l hookhall.Life, from string)
	// Tell tells all other instances. It must not block.
	Tell func(list []advisory.Report)

	mu      sync.Mutex
	pending map[hookhall.Life]advisory.Report // not told yet
	told    time.Time                         // when peers were told last
}

// Advised implements hookhall.AdvisoryObserver.
func (s *Advisories) Advised(t hookhall.Target, a hookhall.Advisory, sent time.Time) {
	c := s.Book.Record(t.Life(), a, sent, clock.Now())
	s.apply(t, c, fromAnswer)
	if c.Tell {
		s.tell(advisory.Report{Target: t, Leaving: c.After.Leaving, Limit: c.After.Limit})
	}
}

// Merge takes in what a peer told, and returns what was new.
func (s *Advisories) Merge(list []advisory.Report, from string) (fresh []advisory.Report) {
	for _, r := range list {
		c := s.Book.Merge(r, clock.Now())
		s.apply(r.Target, c, from)
		if c.Tell {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// All returns all that is known of targets that are leaving or limited.
func (s *Advisories) All() []advisory.Report { return s.Book.All() }

// tell has peers told of a change, together with others that come at the same time.
func (s *Advisories) tell(r advisory.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = map[hookhall.Life]advisory.Report{}
		time.AfterFunc(max(gatherTime, tellInterval-clock.Since(s.told)), s.flush)
	}
	s.pending[r.Target.Life()] = r
}

func (s *Advisories) flush() {
	s.mu.Lock()
	list := slices.Collect(maps.Values(s.pending))
	s.pending, s.told = nil, clock.Now()
	s.mu.Unlock()
	s.Tell(list)
}

// apply acts on a change.
func (s *Advisories) apply(t hookhall.Target, c advisory.Change, from string) {
	s.log(t, c, from)
	if c.After.Leaving && !c.Before.Leaving {
		s.Leave(t.Life(), from)
	}
}

// log logs and counts a change.
func (s *Advisories) log(t hookhall.Target, c advisory.Change, from string) {
	before, after := c.Before, c.After
	if after == before {
		return
	}
	if after.Leaving && !before.Leaving {
		s.Log.Info("A target says that it is leaving.", "target", t.ID, "service", t.Pool, "born", t.Born, "from", from)
		s.Meter.Advised(t.Pool, KindLeaving)
	}
	if after.PausedUntil.After(before.PausedUntil) {
		s.Log.Info("A target asks this instance for a pause.", "target", t.ID, "service", t.Pool, "born", t.Born, "pause", clock.Until(after.PausedUntil), "from", from)
		s.Meter.Advised(t.Pool, KindPause)
	}
	switch b, n := before.Limit, after.Limit; {
	case n.Named && (!b.Named || c.Tell):
		s.Log.Info("A target names a rate limit.", "target", t.ID, "service", t.Pool, "born", t.Born, "limit", n.Rate, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindLimit)
	case b.Named && !n.Named:
		s.Log.Info("A target names no rate limit any more.", "target", t.ID, "service", t.Pool, "born", t.Born, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindNoLimit)
	}
}
