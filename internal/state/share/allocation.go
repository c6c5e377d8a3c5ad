// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package share

import (
	"math"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"golang.org/x/time/rate"
)

const (
	// leaseAhead is the span of demand that an entry leases at once.
	leaseAhead = 100 * time.Millisecond
	// spareUnits is the number of concurrency units that an entry demands beyond those in use
	// and the demand of leaseAhead: one for the request that makes it ask the owner or, at a
	// renewal, for the next request.
	spareUnits = 1
	// shortRetryDelay is the delay after which a request that was refused for concurrency
	// without the owner may be retried. It also limits how long requests are denied without
	// asking the owner.
	shortRetryDelay = 50 * time.Millisecond
)

// Allocation holds the units that one entry has leased of the limits of one account. Its
// methods may be called concurrently; they lock mu.
type Allocation struct {
	mu sync.Mutex
	// tokens is the number of rate units left, one for each request, which expire at
	// tokensExpireAt.
	tokens         int64
	tokensExpireAt time.Time
	// units is the number of concurrency units leased until unitsExpireAt, one for each
	// request in progress; inUse is the number of requests in progress.
	units         int64
	unitsExpireAt time.Time
	inUse         int64
	// Until deniedUntil requests are refused without asking the owner; availableAt is
	// when units become available according to the owner.
	deniedUntil time.Time
	availableAt time.Time
	// demand is in requests a second, averaged over the previous window of at least a
	// second. windowCount counts the requests since windowStart.
	demand      float64
	windowCount float64
	windowStart time.Time
	// lookedUpAt is when Allocations returned it last. removed is set once Allocations has dropped
	// it.
	lookedUpAt time.Time
	removed    bool
	// fallbackLimiter limits the rate while the owner does not answer; nil before the
	// first such request.
	fallbackLimiter *rate.Limiter
}

// Allocations holds the allocations of one entry. The zero value is empty and ready
// for concurrent use.
type Allocations struct {
	byAccount sync.Map // account name to *Allocation
}

// Allocation returns the allocation of an account and creates it if necessary. The caller may use
// it for up to idleTimeout.
func (a *Allocations) Allocation(account string, now time.Time) *Allocation {
	for {
		v, ok := a.byAccount.Load(account)
		if !ok {
			v, _ = a.byAccount.LoadOrStore(account, &Allocation{})
		}
		if allocation := v.(*Allocation); allocation.lookUp(now) {
			return allocation
		}
	}
}

// lookUp records a use, and returns false if the allocation was removed.
func (a *Allocation) lookUp(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lookedUpAt = now
	return !a.removed
}

// Decision is the result of Spend.
type Decision int

// The decisions of Spend.
const (
	// Pass means that the request may run; the caller must call Done when it ends.
	Pass Decision = iota
	// Ask means that the entry must first ask the owner for the units that Want
	// returns.
	Ask
	// Deny means that the request is refused; it may be retried after the returned
	// delay.
	Deny
)

// Spend takes the units of one request if the allocation has them. The duration is the
// retry delay of Deny, otherwise 0.
func (a *Allocation) Spend(account *hookhall.Account, now time.Time) (Decision, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countRequest(now)
	if now.Before(a.deniedUntil) {
		return Deny, a.availableAt.Sub(now)
	}
	if account.Rate > 0 && (a.tokens <= 0 || now.After(a.tokensExpireAt)) {
		return Ask, 0
	}
	if account.Concurrency > 0 && (a.inUse >= a.units || now.After(a.unitsExpireAt)) {
		return Ask, 0
	}
	a.tokens--
	a.inUse++
	return Pass, 0
}

// countRequest counts a request and updates the demand once a second. a.mu must be
// held.
func (a *Allocation) countRequest(now time.Time) {
	if elapsed := now.Sub(a.windowStart); elapsed >= time.Second {
		a.demand = a.windowCount / elapsed.Seconds()
		a.windowCount, a.windowStart = 0, now
	}
	a.windowCount++
}

// Done ends a request that was allowed, by Spend or without the owner. It must be called
// once for each.
func (a *Allocation) Done() {
	a.mu.Lock()
	a.inUse--
	a.mu.Unlock()
}

// Want returns what to ask the owner of the account for: the demand of leaseAhead, and
// at least one unit of each limit that the account has.
func (a *Allocation) Want(account *hookhall.Account, now time.Time) hookhall.ShareDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	want := hookhall.ShareDemand{Account: account.Name}
	if account.Rate > 0 {
		want.Rate = int64(max(1, math.Ceil(a.demand*leaseAhead.Seconds())))
	}
	if account.Concurrency > 0 {
		if now.Before(a.unitsExpireAt) {
			want.Held = a.units
		}
		want.Concurrency = a.inUse + spareUnits + int64(a.demand*leaseAhead.Seconds())
	}
	return want
}

// ApplyLease adds the rate units of a lease and replaces the concurrency units. If the lease
// has a retry delay and lacks units that were wanted, requests are denied for up to
// shortRetryDelay.
func (a *Allocation) ApplyLease(want hookhall.ShareDemand, lease hookhall.ShareLease, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !lease.Limited {
		lease.Rate, lease.Concurrency = 1, a.inUse+1 // the owner has no limit configured: allow one more request
	}
	if now.After(a.tokensExpireAt) {
		a.tokens = 0
	}
	if lease.Rate > 0 {
		a.tokens += lease.Rate
		a.tokensExpireAt = now.Add(LeaseTime)
	}
	a.units, a.unitsExpireAt = lease.Concurrency, now.Add(LeaseTime)
	lacksRate := want.Rate > 0 && lease.Rate == 0
	lacksConcurrency := want.Concurrency > 0 && lease.Concurrency <= a.inUse
	if lease.RetryAfter > 0 && (lacksRate || lacksConcurrency) {
		a.availableAt = now.Add(lease.RetryAfter)
		a.deniedUntil = now.Add(min(lease.RetryAfter, shortRetryDelay))
	}
}

// SpendWithoutOwner decides on a request without the owner, by an even share of the limits
// among members, the number of members of the fleet. If it returns true, the caller must
// call Done when the request ends; otherwise the duration is the retry delay.
func (a *Allocation) SpendWithoutOwner(account *hookhall.Account, members int, now time.Time) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	memberCount := float64(max(members, 1))
	if account.Concurrency > 0 && a.inUse >= max(int64(float64(account.Concurrency)/memberCount), 1) {
		return false, shortRetryDelay
	}
	if account.Rate > 0 {
		evenRate := account.Rate / memberCount
		if a.fallbackLimiter == nil || float64(a.fallbackLimiter.Limit()) != evenRate {
			a.fallbackLimiter = rate.NewLimiter(rate.Limit(evenRate), int(max(1, evenRate*burstTime.Seconds())))
		}
		if !a.fallbackLimiter.AllowN(now, 1) {
			return false, time.Duration(float64(time.Second) / evenRate)
		}
	}
	a.tokens = max(a.tokens-1, 0)
	a.inUse++
	return true, 0
}

// DueRenewals returns the names of accounts whose leased concurrency is in use or not
// expired, and has less than three quarters of LeaseTime left. It also removes
// allocations without requests in progress that were not looked up for idleTimeout.
func (a *Allocations) DueRenewals(now time.Time) []string {
	var names []string
	a.byAccount.Range(func(k, v any) bool {
		allocation := v.(*Allocation)
		allocation.mu.Lock()
		defer allocation.mu.Unlock()
		if allocation.units > 0 && (allocation.inUse > 0 || now.Before(allocation.unitsExpireAt)) && allocation.unitsExpireAt.Sub(now) < LeaseTime*3/4 {
			names = append(names, k.(string))
		}
		if allocation.inUse == 0 && now.Sub(allocation.lookedUpAt) > idleTimeout {
			allocation.removed = true
			a.byAccount.Delete(k)
		}
		return true
	})
	return names
}

// Idle reports whether the account has no request in progress and its demand window
// began more than LeaseTime ago, that is, no request came for at least LeaseTime less a
// second, so that its units can be returned instead of renewed.
func (a *Allocation) Idle(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inUse == 0 && now.Sub(a.windowStart) > LeaseTime
}
