// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package limits holds fleet-wide limits of accounts together: it asks the
// owners of accounts for shares, and answers as an owner itself.
//
// # Model
//
// Package share has the arithmetic. Here an account without units left
// makes one call to its owner, and the requests that come meanwhile wait for
// that same call. If the owner does not answer in time the request is decided
// by an even share of the limit.
//
// # Invariants
//
//   - One call at a time per account and entry.
//   - A refusal is remembered for a moment, so that a flooding account costs
//     its owner some tens of calls a second from each entry and no more.
package limits

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/fleet"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/share"
	"github.com/hookhall/hookhall/internal/state/view"
	"golang.org/x/sync/singleflight"
)

const (
	// takeTime bounds one ask of an owner.
	takeTime = 40 * time.Millisecond
	// ownerPause is how long an owner that did not answer is not asked.
	ownerPause = 250 * time.Millisecond
	renewEvery = share.LeaseTime / 4
	// tries bounds asks of one request: others may spend what it asked for.
	tries = 3
)

// Limits is this process's part, as spender and as owner.
type Limits struct {
	fleet  *fleet.Fleet
	tables *tables.Keeper
	peers  hookhall.Peers
	held   share.Allocations
	grants share.Grants
	asks   singleflight.Group
	silent pauses
}

// New makes a Limits.
func New(f *fleet.Fleet, t *tables.Keeper, p hookhall.Peers) *Limits {
	return &Limits{fleet: f, tables: t, peers: p}
}

// Enter takes one request's units of its account's limits. The returned
// function gives them back.
func (l *Limits) Enter(ctx context.Context, a *hookhall.Account) (func(), error) {
	if a.Rate == 0 && a.Concurrency == 0 {
		return func() {}, nil
	}
	p := l.held.Allocation(a.Name)
	for i := 0; i < tries; i++ {
		decision, after := p.Spend(a, clock.Now())
		switch decision {
		case share.Pass:
			return p.Done, nil
		case share.Deny:
			return nil, refusal(a, after)
		}
		if !l.refill(ctx, a, p) {
			return l.fallback(a, p)
		}
	}
	return nil, refusal(a, ownerPause)
}

func (l *Limits) fallback(a *hookhall.Account, p *share.Allocation) (func(), error) {
	ok, after := p.Fallback(a, len(l.fleet.View().Members), clock.Now())
	if !ok {
		return nil, refusal(a, after)
	}
	return p.Done, nil
}

func refusal(a *hookhall.Account, after time.Duration) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseLimit,
		"account %s is at its limit", a.Name).After(max(after, time.Millisecond))
}

// refill asks the account's owner; false when it did not answer.
func (l *Limits) refill(ctx context.Context, a *hookhall.Account, p *share.Allocation) bool {
	ok, _, _ := l.asks.Do(a.Name, func() (any, error) {
		lease, ok := l.take(context.WithoutCancel(ctx), a.Name, p.Want(a, clock.Now()))
		if ok {
			p.Fill(lease, clock.Now())
		}
		return ok, nil
	})
	return ok.(bool)
}

func (l *Limits) take(ctx context.Context, account string, w hookhall.Want) (hookhall.ShareLease, bool) {
	v := l.fleet.View()
	owner := view.Owner(v.Members, account)
	q := hookhall.TakeRequest{From: l.fleet.Self().ID, Epoch: v.Epoch, Wants: []hookhall.Want{w}}
	switch {
	case owner == nil || l.silent.has(owner.ID, clock.Now()):
		return hookhall.ShareLease{}, false
	case owner.ID == l.fleet.Self().ID:
		return l.Handle(q).Leases[0], true
	}
	ctx, cancel := context.WithTimeout(ctx, takeTime)
	defer cancel()
	reply, err := l.peers.Peer(owner.Address).Take(ctx, q)
	if err != nil || len(reply.Leases) != 1 || reply.Leases[0].Account != account {
		l.silent.add(owner.ID, clock.Now().Add(ownerPause))
		return hookhall.ShareLease{}, false
	}
	return reply.Leases[0], true
}

// Handle answers an entry, as owner.
func (l *Limits) Handle(q hookhall.TakeRequest) hookhall.TakeReply {
	v, s := l.fleet.View(), l.tables.Current().Snapshot
	reply := hookhall.TakeReply{Epoch: v.Epoch}
	for _, w := range q.Wants {
		reply.Leases = append(reply.Leases, l.grants.Lease(s.Accounts[w.Account], q.From, w, len(v.Members), clock.Now()))
	}
	return reply
}

// Run renews leases of concurrency that are in use, until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(renewEvery)) {
		s := l.tables.Current().Snapshot
		for _, name := range l.held.Renewals(clock.Now()) {
			a, p := s.Accounts[name], l.held.Allocation(name)
			if a == nil {
				continue
			}
			w := p.Want(a, clock.Now())
			w.Rate = 0
			if p.Idle(clock.Now()) {
				w.Concurrency = 0
			}
			if lease, ok := l.take(ctx, name, w); ok {
				p.Fill(lease, clock.Now())
			}
		}
		l.grants.Sweep(clock.Now())
	}
}

// Owned is the number of accounts whose shares this process has given out.
func (l *Limits) Owned() int { return l.grants.Len() }
