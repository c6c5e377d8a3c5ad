// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

const (
	// maxReadTime is when the placer assumes that a prompt was read, because the note
	// that says so must have been lost: longer than engines take for the longest.
	maxReadTime = 4 * time.Second
	// maxRunTime is when the placer assumes that a request has ended, for the same
	// reason: the longest deadline that clients use today.
	maxRunTime = 20 * time.Second
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
	// Grants gives out the rates of limited targets of a service. Set before use.
	Grants func(service string) advisory.Grants

	mu               sync.Mutex
	requestsByTicket map[string]*placedRequest
}

type placedRequest struct {
	use      *balance.Use
	placedAt time.Time
}

// NewPlacer makes a Placer that knows of no load.
func NewPlacer(d Directory, l balance.ColdLimits) *Placer {
	none := advisory.Grants{Book: &advisory.Book{}}
	return &Placer{
		directory: d, tracker: balance.NewTracker(), limits: l, requestsByTicket: map[string]*placedRequest{},
		Grants: func(string) advisory.Grants { return none },
	}
}

// maxWaitShare is the part of the time until its aim that a request may wait for a target
// with a rate limit.
const maxWaitShare = 0.5

// Choice is a placer's choice for a request.
type Choice struct {
	// Target is the id of the chosen target, "" if there is none.
	Target string
	// Wait is how long the request has to wait before it is sent, by the target's limit.
	Wait time.Duration
	// RetryAfter is when a target will be due, if only rate limits leave none now, and 0 if
	// that is not known.
	RetryAfter time.Duration
}

// Place chooses a target and counts the request there.
func (p *Placer) Place(ticket, service string, w balance.Wish) Choice {
	now := clock.Now()
	w.Limiter = p.Grants(service)
	if table := p.directory.Table(); table != nil {
		if s := table.Service(service); s != nil {
			w.Spec = s.Engine
			most := p.limits.Placer(s)
			w.Cold = func(string) int { return most }
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := p.directory.Targets(service)
	t, ok := p.tracker.Choose(targets, w, now)
	c := Choice{}
	if !ok {
		if t, c.Wait, ok = p.tracker.Next(targets, w, now); !ok {
			return c
		}
		if c.Wait, ok = w.Limiter.Reserve(t.Life(), time.Duration(maxWaitShare*float64(w.Slack)), now); !ok {
			return Choice{RetryAfter: knownWait(c.Wait)}
		}
	}
	c.Target = t.ID
	p.requestsByTicket[ticket] = &placedRequest{p.tracker.Begin(t, w, now), now}
	return c
}

// knownWait returns 0 for the wait for targets to which this process grants nothing.
func knownWait(d time.Duration) time.Duration {
	if d == advisory.Never {
		return 0
	}
	return d
}

// Take takes notes in.
func (p *Placer) Take(notes []Note) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range notes {
		o := p.requestsByTicket[n.Ticket]
		if o == nil {
			continue
		}
		switch n.Kind {
		case Read:
			o.use.Read()
			o.use.Succeeded(now.Sub(o.placedAt))
			continue
		case Failed:
			o.use.Failed(true, now)
		case Full:
			o.use.Refused(now)
		}
		o.use.End()
		delete(p.requestsByTicket, n.Ticket)
	}
}

// Tidy forgets placements whose notes must have been lost, and engines that are
// gone.
func (p *Placer) Tidy(current func(l hookhall.Life) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ticket, o := range p.requestsByTicket {
		age := now.Sub(o.placedAt)
		if age > maxReadTime {
			o.use.Read()
		}
		if age > maxRunTime {
			o.use.End()
			delete(p.requestsByTicket, ticket)
		}
	}
	p.tracker.Keep(current, now)
}
