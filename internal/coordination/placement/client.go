// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
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
	// placeTimeout is how long a placer may take.
	placeTimeout = 120 * time.Millisecond
	// noteBatchDelay gathers notes.
	noteBatchDelay = 5 * time.Millisecond
	noteTimeout    = 500 * time.Millisecond
	// ownerKeyPrefix keeps a service's placer apart from its stage broker.
	ownerKeyPrefix = "place/"
)

// Remote is a placer in another process.
type Remote interface {
	Place(ctx context.Context, ticket, service string, w balance.Wish, limits []advisory.Report) (Choice, error)
	Note(ctx context.Context, notes []Note) error
}

// Fleet finds placers.
type Fleet interface {
	Self() hookhall.Member
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
	Suspect(address string, now time.Time)
}

// Client asks the placer of each service.
type Client struct {
	Local  *Placer
	Fleet  Fleet
	Remote func(address string) Remote

	ticketCount    atomic.Uint64
	mu             sync.Mutex
	notesByAddress map[string][]Note // by address
}

// Placement is where a request was placed. The zero value tells nobody.
type Placement struct {
	Choice
	client  *Client
	address string
	ticket  string
}

// Key names the placer of a service among members.
func Key(service string) string { return ownerKeyPrefix + service }

// Place asks for a target. An empty Target means that the caller chooses, among targets
// without a rate limit. limits are those that the caller knows of.
func (c *Client) Place(ctx context.Context, service string, w balance.Wish, limits []advisory.Report) Placement {
	owner := c.Fleet.Owner(Key(service), nil, clock.Now())
	p := Placement{client: c, address: owner.Address}
	p.ticket = c.Fleet.Self().Address + "/" + strconv.FormatUint(c.ticketCount.Add(1), 36)
	if owner.Address == c.Fleet.Self().Address {
		p.Choice = c.Local.Place(p.ticket, service, w)
		return p
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	choice, err := c.Remote(owner.Address).Place(ctx, p.ticket, service, w, limits)
	if err != nil {
		if ctx.Err() == context.DeadlineExceeded {
			c.Fleet.Suspect(owner.Address, clock.Now())
		}
		return Placement{}
	}
	p.Choice = choice
	return p
}

// Tell passes a note on, without waiting.
func (p Placement) Tell(k Kind) {
	if p.Target == "" {
		return
	}
	n := Note{p.ticket, k}
	if p.address == p.client.Fleet.Self().Address {
		p.client.Local.Take([]Note{n})
		return
	}
	p.client.queueNote(p.address, n)
}

func (c *Client) queueNote(address string, n Note) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notesByAddress == nil {
		c.notesByAddress = map[string][]Note{}
	}
	c.notesByAddress[address] = append(c.notesByAddress[address], n)
	if len(c.notesByAddress[address]) == 1 {
		time.AfterFunc(noteBatchDelay, func() { c.sendNotes(address) })
	}
}

func (c *Client) sendNotes(address string) {
	c.mu.Lock()
	notes := c.notesByAddress[address]
	delete(c.notesByAddress, address)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
	defer cancel()
	_ = c.Remote(address).Note(ctx, notes) // lost notes are made up for by Tidy
}
