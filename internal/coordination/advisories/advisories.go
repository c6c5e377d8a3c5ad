// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisories

import (
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

// Advisories is a hookhall.AdvisoryObserver.
type Advisories struct {
	Book  *advisory.Book
	Meter Meter
	Log   *log.Logger
}

// Advised implements hookhall.AdvisoryObserver.
func (s *Advisories) Advised(t hookhall.Target, a hookhall.Advisory, sent time.Time) {
	before, after := s.Book.Record(t.Life(), a, sent, clock.Now())
	s.report(t, before, after, fromAnswer)
}

// report logs and counts a change.
func (s *Advisories) report(t hookhall.Target, before, after advisory.Status, from string) {
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
	case n.Named && (!b.Named || b.Rate != n.Rate):
		s.Log.Info("A target names a rate limit.", "target", t.ID, "service", t.Pool, "born", t.Born, "limit", n.Rate, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindLimit)
	case b.Named && !n.Named:
		s.Log.Info("A target names no rate limit any more.", "target", t.ID, "service", t.Pool, "born", t.Born, "before", b.Rate, "age", clock.Since(n.Heard), "from", from)
		s.Meter.Advised(t.Pool, KindNoLimit)
	}
}
