// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// readMost is when the placer assumes that a prompt was read, because the note
	// that says so must have been lost: longer than engines take for the longest.
	readMost = 4 * time.Second
	// runMost is when the placer assumes that a request has ended, for the same
	// reason: the longest deadline that clients use today.
	runMost = 20 * time.Second
)

// Kind says what became of a placed request.
type Kind int

// The kinds of notes.
const (
	Read Kind = iota
	Ended
	Failed
	Full
)

// Note tells what became of the request with a ticket.
type Note struct {
	Ticket string
	Kind   Kind
}

// Directory is what the placer reads of the catalog.
type Directory interface {
	Table() *routetable.Table
	Targets(pool string) []hookhall.Target
}

// Placer chooses for others, and for this process when it is the placer.
type Placer struct {
	directory Directory
	tracker   *balance.Tracker
	limits    balance.ColdLimits

	mu   sync.Mutex
	open map[string]*placed
}

type placed struct {
	use   *balance.Use
	began time.Time
}

// NewPlacer makes a Placer that knows of no load.
func NewPlacer(d Directory, l balance.ColdLimits) *Placer {
	return &Placer{directory: d, tracker: balance.NewTracker(), limits: l, open: map[string]*placed{}}
}

// Place chooses an engine and counts the request there; "" when there is none.
func (p *Placer) Place(ticket, service string, w balance.Wish) string {
	now := clock.Now()
	if table := p.directory.Table(); table != nil {
		if s := table.Service(service); s != nil {
			w.Spec = s.Engine
			most := p.limits.Placer(s)
			w.Cold = func(string) int { return most }
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tracker.Choose(p.directory.Targets(service), w, now)
	if !ok {
		return ""
	}
	p.open[ticket] = &placed{p.tracker.Begin(t, w, now), now}
	return t.ID
}

// Take takes notes in.
func (p *Placer) Take(notes []Note) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range notes {
		o := p.open[n.Ticket]
		if o == nil {
			continue
		}
		switch n.Kind {
		case Read:
			o.use.Read()
			o.use.Succeeded(now.Sub(o.began))
			continue
		case Failed:
			o.use.Failed(true, now)
		case Full:
			o.use.Refused(now)
		}
		o.use.End()
		delete(p.open, n.Ticket)
	}
}

// Tidy forgets placements whose notes must have been lost, and engines that are
// gone.
func (p *Placer) Tidy(current func(l hookhall.Life) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ticket, o := range p.open {
		age := now.Sub(o.began)
		if age > readMost {
			o.use.Read()
		}
		if age > runMost {
			o.use.End()
			delete(p.open, ticket)
		}
	}
	p.tracker.Keep(current, now)
}
