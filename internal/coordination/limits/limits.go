// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package limits enforces the rate and concurrency limits of accounts across the
// fleet. An entry leases shares of an account's limits from the account's owner,
// and leases out the shares of the accounts that it owns itself.
//
// # Model
//
// Package share computes the shares. When an account has no units left in this
// entry, one call asks its owner for more, and the requests that arrive meanwhile
// wait for the same call. If the owner doesn't answer in time, the request is
// admitted or refused by an even share of the limit.
//
// # Invariants
//
//   - The requests of an account cause at most one call at a time from an entry to the
//     owner.
//   - A refusal by the owner is cached for up to 50 ms, so that an account that
//     floods the fleet causes at most some tens of calls a second from each entry
//     to its owner.
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
	// leaseTimeout bounds one call to an owner; requests wait for that call.
	leaseTimeout = 40 * time.Millisecond
	// ownerCooldown is how long an owner that failed to answer is not called, so
	// that not every request of its accounts waits for leaseTimeout.
	ownerCooldown = 250 * time.Millisecond
	// renewInterval is a quarter of a lease, so that a lease survives a failed
	// renewal.
	renewInterval = share.LeaseTime / 4
	// maxRefills bounds the leases that one request waits for: concurrent requests may
	// spend the units before it does. After them the request is refused.
	maxRefills = 3
)

// Limits admits the requests of this entry and grants shares to other entries. Its
// methods are safe for concurrent use.
type Limits struct {
	fleet              *fleet.Fleet
	tables             *tables.Follower
	peers              hookhall.Peers
	allocations        share.Allocations
	grants             share.Grants
	leaseCalls         singleflight.Group
	unresponsiveOwners cooldowns
}

// New returns a Limits without leases. It finds owners by the members of f, and reads the
// limits of accounts from the table of follower.
func New(f *fleet.Fleet, follower *tables.Follower, peers hookhall.Peers) *Limits {
	return &Limits{fleet: f, tables: follower, peers: peers}
}

// Enter takes the units that one request needs of its account's limits. The caller
// must call the returned function when the request has ended: it returns the unit
// of concurrency, while units of rate stay spent. A refusal is a *hookhall.Error
// with the cause CauseLimit and the time to retry after.
func (l *Limits) Enter(ctx context.Context, account *hookhall.Account) (func(), error) {
	if account.Rate == 0 && account.Concurrency == 0 {
		return func() {}, nil
	}
	allocation := l.allocations.Allocation(account.Name, clock.Now())
	for i := 0; i < maxRefills; i++ {
		decision, retryAfter := allocation.Spend(account, clock.Now())
		switch decision {
		case share.Pass:
			return allocation.Done, nil
		case share.Deny:
			return nil, limitError(account, retryAfter)
		}
		if !l.refill(ctx, account, allocation) {
			return l.enterWithoutOwner(account, allocation)
		}
	}
	return nil, limitError(account, ownerCooldown)
}

// enterWithoutOwner admits or refuses a request by an even share of its account's
// limits among the entries of the fleet.
func (l *Limits) enterWithoutOwner(account *hookhall.Account, allocation *share.Allocation) (func(), error) {
	admitted, retryAfter := allocation.SpendWithoutOwner(account, len(l.fleet.View().Members), clock.Now())
	if !admitted {
		return nil, limitError(account, retryAfter)
	}
	return allocation.Done, nil
}

// limitError returns the refusal of a request of an account that is at its limit. The
// client should retry after retryAfter, but not in less than 1 ms.
func limitError(account *hookhall.Account, retryAfter time.Duration) error {
	return hookhall.Errorf(hookhall.NotRun, hookhall.CauseLimit,
		"account %s is at its limit", account.Name).WithRetryAfter(max(retryAfter, time.Millisecond))
}

// refill leases units of the account from its owner, sharing the call with
// concurrent requests of the account. It returns false if the owner didn't answer.
func (l *Limits) refill(ctx context.Context, account *hookhall.Account, allocation *share.Allocation) bool {
	answered, _, _ := l.leaseCalls.Do(account.Name, func() (any, error) {
		want := allocation.Want(account, clock.Now())
		lease, answered := l.requestLease(context.WithoutCancel(ctx), account.Name, want)
		if answered {
			allocation.ApplyLease(want, lease, clock.Now())
		}
		return answered, nil
	})
	return answered.(bool)
}

// requestLease asks the owner of an account for a lease, or grants it itself if
// this entry is the owner. It returns false if there is no owner, if the owner is
// in its cooldown, or if it fails to answer; a failure starts a cooldown.
func (l *Limits) requestLease(ctx context.Context, account string, want hookhall.ShareDemand) (hookhall.ShareLease, bool) {
	fleetView := l.fleet.View()
	owner := view.Owner(fleetView.Members, account)
	request := hookhall.ShareRequest{From: l.fleet.Self().ID, Epoch: fleetView.Epoch, Demands: []hookhall.ShareDemand{want}}
	switch {
	case owner == nil || l.unresponsiveOwners.isActive(owner.ID, clock.Now()):
		return hookhall.ShareLease{}, false
	case owner.ID == l.fleet.Self().ID:
		return l.GrantLeases(request).Leases[0], true
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	reply, err := l.peers.Peer(owner.Address).LeaseShares(ctx, request)
	if err != nil || len(reply.Leases) != 1 || reply.Leases[0].Account != account {
		l.unresponsiveOwners.add(owner.ID, clock.Now().Add(ownerCooldown))
		return hookhall.ShareLease{}, false
	}
	return reply.Leases[0], true
}

// GrantLeases grants the leases that an entry asks for. It is called on the owner
// of the accounts, and applies the limits of the table in force there.
func (l *Limits) GrantLeases(request hookhall.ShareRequest) hookhall.ShareReply {
	fleetView, snapshot := l.fleet.View(), l.tables.Current().Snapshot
	reply := hookhall.ShareReply{Epoch: fleetView.Epoch}
	for _, want := range request.Demands {
		reply.Leases = append(reply.Leases, l.grants.Lease(snapshot.Accounts[want.Account], request.From, want, len(fleetView.Members), clock.Now()))
	}
	return reply
}

// Run renews the leases of concurrency until ctx ends: those in use as needed, and
// those of idle accounts with no units, which returns them to the owner. It also
// drops the records of accounts that this entry owns and nobody asks for.
func (l *Limits) Run(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(renewInterval)) {
		snapshot := l.tables.Current().Snapshot
		for _, name := range l.allocations.DueRenewals(clock.Now()) {
			account, allocation := snapshot.Accounts[name], l.allocations.Allocation(name, clock.Now())
			if account == nil {
				continue
			}
			want := allocation.Want(account, clock.Now())
			want.Rate = 0
			if allocation.Idle(clock.Now()) {
				want.Concurrency = 0
			}
			if lease, ok := l.requestLease(ctx, name, want); ok {
				allocation.ApplyLease(want, lease, clock.Now())
			}
		}
		l.grants.Sweep(clock.Now())
	}
}

// OwnedAccounts returns the number of accounts of which this entry, as their owner,
// still has a record of granted shares.
func (l *Limits) OwnedAccounts() int { return l.grants.Len() }
