// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// placeTimeout is how long the placement owner may take to choose. After it the caller
	// chooses itself, and suspects that the owner has failed.
	placeTimeout = 120 * time.Millisecond
	// noteBatchDelay is how long notes are collected before they are sent together.
	noteBatchDelay = 5 * time.Millisecond
	// noteTimeout bounds a call that sends notes.
	noteTimeout = 500 * time.Millisecond
	// ownerKeyPrefix keeps the key of a service's placement owner distinct from that of its
	// stage broker, which is the service's name.
	ownerKeyPrefix = "place/"
)

// Remote is a client of the placement owner in another process.
type Remote interface {
	// Place calls Owner.Place. limits are the rate limits that the caller knows of.
	Place(ctx context.Context, ticket, service string, criteria balance.Criteria, limits []advisory.Report) (Choice, error)
	// Note calls Owner.ProcessNotes.
	Note(ctx context.Context, notes []Note) error
}

// Fleet finds placement owners.
type Fleet interface {
	// Self returns this process.
	Self() hookhall.Member
	// Owner returns the member that owns key, leaving out the addresses in skip.
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
	// Suspect records that a member did not answer.
	Suspect(address string, now time.Time)
}

// Client asks the placement owner of each service. Its exported fields must be set before
// use; it is safe for concurrent use.
type Client struct {
	Local *Owner // used while this process is the placement owner
	Fleet Fleet
	// Remote returns the client of the placement owner at address.
	Remote func(address string) Remote

	lastTicket     atomic.Uint64 // number of the newest ticket, 0 before the first
	mu             sync.Mutex
	notesByAddress map[string][]Note // notes to send; guarded by mu
}

// Placement is the choice for a request. Notes of the zero value are not sent.
type Placement struct {
	Choice
	client  *Client
	address string // of the placement owner
	ticket  string // identifies the request at the placement owner
}

// OwnerKey returns the key by which the placement owner of a service is found.
func OwnerKey(service string) string { return ownerKeyPrefix + service }

// Place asks the placement owner of a service for a target. If the Target of the result is
// empty, the caller chooses one without a rate limit itself. limits are the rate limits that
// the caller knows of, for an owner that has not learned them yet.
func (c *Client) Place(ctx context.Context, service string, criteria balance.Criteria, limits []advisory.Report) Placement {
	owner := c.Fleet.Owner(OwnerKey(service), nil, clock.Now())
	placement := Placement{client: c, address: owner.Address}
	placement.ticket = c.newTicket()
	if owner.Address == c.Fleet.Self().Address {
		placement.Choice = c.Local.Place(placement.ticket, service, criteria)
		return placement
	}
	callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	choice, err := c.Remote(owner.Address).Place(callCtx, placement.ticket, service, criteria, limits)
	if err != nil {
		// A request whose own time is over says nothing about the owner.
		if ctx.Err() == nil && callCtx.Err() == context.DeadlineExceeded {
			c.Fleet.Suspect(owner.Address, clock.Now())
		}
		return Placement{}
	}
	placement.Choice = choice
	return placement
}

// newTicket returns a ticket that is unique in the fleet. The numbers start at a random one, since an
// owner may still know the tickets of an earlier process at this address.
func (c *Client) newTicket() string {
	c.lastTicket.CompareAndSwap(0, rand.Uint64())
	return c.Fleet.Self().Address + "/" + strconv.FormatUint(c.lastTicket.Add(1), 36)
}

// Report sends a note on the request to the placement owner. It does not wait for the
// delivery, and does nothing if no target was chosen.
func (p Placement) Report(k NoteKind) { p.send(Note{Ticket: p.ticket, Kind: k}) }

// ReportRead reports that the answer began, took after the request was sent, or after an
// unknown time if took is 0.
func (p Placement) ReportRead(took time.Duration) {
	p.send(Note{Ticket: p.ticket, Kind: PromptRead, Took: took})
}

// send sends a note to the placement owner, or does nothing if no target was chosen.
func (p Placement) send(note Note) {
	if p.Target == "" {
		return
	}
	if p.address == p.client.Fleet.Self().Address {
		p.client.Local.ProcessNotes([]Note{note})
		return
	}
	p.client.queueNote(p.address, note)
}

// queueNote queues a note for the placement owner at address. The first one of a batch
// schedules its delivery.
func (c *Client) queueNote(address string, note Note) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notesByAddress == nil {
		c.notesByAddress = map[string][]Note{}
	}
	c.notesByAddress[address] = append(c.notesByAddress[address], note)
	if len(c.notesByAddress[address]) == 1 {
		time.AfterFunc(noteBatchDelay, func() { c.sendNotes(address) })
	}
}

// sendNotes sends the queued notes to the placement owner at address.
func (c *Client) sendNotes(address string) {
	c.mu.Lock()
	notes := c.notesByAddress[address]
	delete(c.notesByAddress, address)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	_ = c.Remote(address).Note(ctx, notes) // Owner.Prune makes up for lost notes
}
