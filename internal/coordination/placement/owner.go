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
	// maxReadTime is the time after which a prompt counts as read, as the note that reports
	// it must have been lost. It is longer than engines take to read the longest prompts.
	maxReadTime = 4 * time.Second
	// maxRunTime is the time after which a request counts as ended, as the note that reports
	// it must have been lost. It is the longest deadline that clients use.
	maxRunTime = 20 * time.Second
	// minFullWait is the shortest time after which a request that found no room tries again.
	minFullWait = 10 * time.Millisecond
)

// NoteKind is the kind of an event of a placed request.
type NoteKind int

// The kinds of notes.
const (
	// PromptRead reports that the answer began, hence that the target has read the prompt.
	PromptRead NoteKind = iota
	// Ended reports that the request ended or will not be sent.
	Ended
	// Failed reports that the target could not be reached or did not answer.
	Failed
	// AtCapacity reports that the target refused the request for lack of capacity.
	AtCapacity
)

// Note reports an event of the request with a ticket.
type Note struct {
	Ticket string
	Kind   NoteKind
	// Took is the time from sending the request to the start of the answer, with PromptRead;
	// 0 if it is not known.
	Took time.Duration
}

// Directory provides the part of the catalog that the placement owner reads.
type Directory interface {
	// Table returns the current routing table, nil before the first one was loaded.
	Table() *routetable.Table
	// Targets returns the targets of a service.
	Targets(service string) []hookhall.Target
}

// Owner chooses targets for the whole fleet while this process is the placement owner. It
// is safe for concurrent use.
type Owner struct {
	directory Directory
	tracker   *balance.Tracker
	limits    balance.ColdLimits
	// Grants returns the limiter of the rate-limited targets of a service. It must be set
	// before the Owner is used.
	Grants func(service string) advisory.Grants
	// OnPauseAvoided is called for each choice that would have made a stream pause for longer
	// than its route allows if that had no cost. It must be set before the Owner is used.
	OnPauseAvoided func(service string)

	mu               sync.Mutex // guards requestsByTicket and what it holds
	requestsByTicket map[string]*placedRequest
}

// placedRequest is a request whose end was not reported yet.
type placedRequest struct {
	activeCall  *balance.ActiveCall
	service     string
	incarnation hookhall.Incarnation // of its target
	placedAt    time.Time
}

// NewOwner returns an Owner without recorded load and without rate limits. Cold targets get
// no more requests than limits allows.
func NewOwner(d Directory, limits balance.ColdLimits) *Owner {
	none := advisory.Grants{Registry: &advisory.Registry{}}
	return &Owner{
		directory: d, tracker: balance.NewTracker(), limits: limits, requestsByTicket: map[string]*placedRequest{},
		Grants:         func(string) advisory.Grants { return none },
		OnPauseAvoided: func(string) {},
	}
}

// maxWaitShare is the share of the time until its latency target, from 0 to 1, that a
// request may wait for a target with a rate limit.
const maxWaitShare = 0.5

// Choice is the choice for a request.
type Choice struct {
	// Target is the id of the chosen target, "" if there is none.
	Target string
	// Wait is how long the request has to wait before it is sent, because of the target's
	// rate limit.
	Wait time.Duration
	// RetryAfter is how long it takes until a target accepts another request, if only rate
	// limits or the room of brittle targets keep all from accepting one now; 0 if that is not
	// known.
	RetryAfter time.Duration
	// Full is set if there is no target because brittle ones have no room. The caller must not
	// choose one itself.
	Full bool
}

// Place chooses a target and counts the request there. ticket identifies the request in
// later notes; it must be unique in the fleet.
func (o *Owner) Place(ticket, service string, criteria balance.Criteria) Choice {
	now := clock.Now()
	grants := o.Grants(service)
	criteria.Limiter, criteria.Rooms = grants, rooms(grants)
	if table := o.directory.Table(); table != nil {
		if spec := table.Service(service); spec != nil {
			criteria.EngineSpec = spec.Engine
			criteria.MaxEventGap = table.MaxEventGap(service)
			maxRequests := o.limits.MaxFromPlacementOwner(spec)
			criteria.MaxColdRequests = func(string) int { return maxRequests }
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	targets := o.directory.Targets(service)
	avoided := o.tracker.AvoidedPauses()
	target, ok := o.tracker.Choose(targets, criteria, now)
	if o.tracker.AvoidedPauses() > avoided {
		o.OnPauseAvoided(service)
	}
	choice := Choice{}
	if !ok {
		if o.isFull(targets, criteria, now) {
			return Choice{Full: true, RetryAfter: max(o.tracker.ExpectedRelease(targets, now), minFullWait)}
		}
		if target, choice.Wait, ok = o.tracker.NextLimited(targets, criteria, now); !ok {
			return choice
		}
		if choice.Wait, ok = criteria.Limiter.Reserve(target.Incarnation(), time.Duration(maxWaitShare*float64(criteria.LatencyBudget)), now); !ok {
			return Choice{RetryAfter: knownWait(choice.Wait)}
		}
	}
	choice.Target = target.ID
	if previous := o.requestsByTicket[ticket]; previous != nil {
		previous.activeCall.End() // of an earlier process at the caller's address, whose version doesn't issue unique tickets
	}
	o.requestsByTicket[ticket] = &placedRequest{o.tracker.Begin(target, criteria, now), service, target.Incarnation(), now}
	return choice
}

// rooms returns the room of brittle targets for a process with the given grants: all of it if it is
// the owner, else the same part as of rate limits.
func rooms(grants advisory.Grants) advisory.Rooms {
	r := advisory.Rooms{Registry: grants.Registry}
	if grants.Share < 1 {
		r.Share = func(slots int, _ string) int { return int(grants.Share * float64(slots)) }
	}
	return r
}

// isFull reports whether the request could be placed if targets had room.
func (o *Owner) isFull(targets []hookhall.Target, criteria balance.Criteria, now time.Time) bool {
	if criteria.Limiter.(advisory.Grants).Registry.Unrestricted() {
		return false
	}
	criteria.Rooms = nil
	return o.tracker.CanChoose(targets, criteria, now)
}

// knownWait returns d, or 0 if this process grants the targets no requests, so that the wait
// is not known.
func knownWait(d time.Duration) time.Duration {
	if d == advisory.Never {
		return 0
	}
	return d
}

// ProcessNotes records the events that notes report. Notes of unknown tickets are ignored.
func (o *Owner) ProcessNotes(notes []Note) {
	now := clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, note := range notes {
		request := o.requestsByTicket[note.Ticket]
		if request == nil {
			continue
		}
		switch note.Kind {
		case PromptRead:
			request.activeCall.ReadWithin(note.Took, now)
			request.activeCall.Succeeded(now.Sub(request.placedAt), now)
			continue
		case Failed:
			request.activeCall.Failed(true, now)
		case AtCapacity:
			request.activeCall.Refused(now)
			o.Grants(request.service).Registry.RecordRejection(request.incarnation, now)
		}
		request.activeCall.End()
		delete(o.requestsByTicket, note.Ticket)
	}
}

// EnginePace returns the learned pace of an incarnation of an engine. ok is false if there is
// none.
func (o *Owner) EnginePace(incarnation hookhall.Incarnation) (p balance.EnginePace, ok bool) {
	return o.tracker.EnginePace(incarnation)
}

// PoolPaces returns the learned paces of the services whose placement owner this process is or was
// in the last five minutes.
func (o *Owner) PoolPaces() map[string]balance.PoolPace { return o.tracker.PoolPaces() }

// AvoidedPauses returns the number of choices that OnPauseAvoided reports. A placement that chooses
// again because of a rate limit counts several times here.
func (o *Owner) AvoidedPauses() int64 { return o.tracker.AvoidedPauses() }

// Prune drops placements whose notes must have been lost, and the records of incarnations
// of targets for which isCurrent returns false. The process calls it periodically.
func (o *Owner) Prune(isCurrent func(incarnation hookhall.Incarnation) bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for ticket, request := range o.requestsByTicket {
		age := now.Sub(request.placedAt)
		if age > maxReadTime {
			request.activeCall.Read()
		}
		if age > maxRunTime {
			request.activeCall.End()
			delete(o.requestsByTicket, ticket)
		}
	}
	o.tracker.Prune(isCurrent, now)
}
