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
	// spareUnits is the number of concurrency units leased beyond those in use.
	spareUnits = 1
	// shortRetryDelay is the delay after which a request refused for concurrency may
	// be retried. It also limits how long requests are denied without asking the
	// owner.
	shortRetryDelay = 50 * time.Millisecond
)

// Allocation holds the units that one entry has leased of the limits of one account.
// Its methods may be called concurrently; they lock mu.
type Allocation struct {
	mu sync.Mutex
	// tokens is the number of rate units left, which expire at tokensExpireAt.
	tokens         int64
	tokensExpireAt time.Time
	// units is the number of concurrency units leased until unitsExpireAt, and inUse
	// the number of requests in progress.
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
	// fallbackLimiter limits the rate while the owner does not answer; nil before the
	// first such request.
	fallbackLimiter *rate.Limiter
}

// Allocations holds the allocations of one entry. The zero value is empty and ready
// for concurrent use.
type Allocations struct {
	byAccount sync.Map // account name to *Allocation
}

// Allocation returns the allocation of an account and creates it if necessary.
func (s *Allocations) Allocation(account string) *Allocation {
	v, ok := s.byAccount.Load(account)
	if !ok {
		v, _ = s.byAccount.LoadOrStore(account, &Allocation{})
	}
	return v.(*Allocation)
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
func (p *Allocation) Spend(a *hookhall.Account, now time.Time) (Decision, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countRequest(now)
	if now.Before(p.deniedUntil) {
		return Deny, p.availableAt.Sub(now)
	}
	if a.Rate > 0 && (p.tokens <= 0 || now.After(p.tokensExpireAt)) {
		return Ask, 0
	}
	if a.Concurrency > 0 && (p.inUse >= p.units || now.After(p.unitsExpireAt)) {
		return Ask, 0
	}
	p.tokens--
	p.inUse++
	return Pass, 0
}

// countRequest counts a request and updates the demand once a second. p.mu must be
// held.
func (p *Allocation) countRequest(now time.Time) {
	if elapsed := now.Sub(p.windowStart); elapsed >= time.Second {
		p.demand = p.windowCount / elapsed.Seconds()
		p.windowCount, p.windowStart = 0, now
	}
	p.windowCount++
}

// Done ends a request that was allowed, by Spend or without the owner. It must be called
// once for each.
func (p *Allocation) Done() {
	p.mu.Lock()
	p.inUse--
	p.mu.Unlock()
}

// Want returns what to ask the owner of the account for: the demand of leaseAhead, and
// at least one unit of each limit that the account has.
func (p *Allocation) Want(a *hookhall.Account, now time.Time) hookhall.ShareDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	want := hookhall.ShareDemand{Account: a.Name}
	if a.Rate > 0 {
		want.Rate = int64(max(1, math.Ceil(p.demand*leaseAhead.Seconds())))
	}
	if a.Concurrency > 0 {
		if now.Before(p.unitsExpireAt) {
			want.Held = p.units
		}
		want.Concurrency = p.inUse + spareUnits + int64(p.demand*leaseAhead.Seconds())
	}
	return want
}

// ApplyLease adds the rate units of a lease and replaces the concurrency units. If the lease
// has a retry delay and lacks units, requests are denied for up to shortRetryDelay.
func (p *Allocation) ApplyLease(lease hookhall.ShareLease, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !lease.Limited {
		lease.Rate, lease.Concurrency = 1, p.inUse+1 // the owner has no limit configured: allow one request
	}
	if now.After(p.tokensExpireAt) {
		p.tokens = 0
	}
	if lease.Rate > 0 {
		p.tokens += lease.Rate
		p.tokensExpireAt = now.Add(LeaseTime)
	}
	p.units, p.unitsExpireAt = lease.Concurrency, now.Add(LeaseTime)
	if lease.Rate == 0 && lease.RetryAfter > 0 || lease.Concurrency <= p.inUse && lease.RetryAfter > 0 {
		p.availableAt = now.Add(lease.RetryAfter)
		p.deniedUntil = now.Add(min(lease.RetryAfter, shortRetryDelay))
	}
}

// SpendWithoutOwner decides on a request without the owner, by an even share of the limits
// among members. If it returns true, the caller must call Done when the request ends;
// otherwise the duration is the retry delay.
func (p *Allocation) SpendWithoutOwner(a *hookhall.Account, members int, now time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	memberCount := float64(max(members, 1))
	if a.Concurrency > 0 && p.inUse >= max(int64(float64(a.Concurrency)/memberCount), 1) {
		return false, shortRetryDelay
	}
	if a.Rate > 0 {
		evenRate := a.Rate / memberCount
		if p.fallbackLimiter == nil || float64(p.fallbackLimiter.Limit()) != evenRate {
			p.fallbackLimiter = rate.NewLimiter(rate.Limit(evenRate), int(max(1, evenRate*burstTime.Seconds())))
		}
		if !p.fallbackLimiter.AllowN(now, 1) {
			return false, time.Duration(float64(time.Second) / evenRate)
		}
	}
	p.tokens = max(p.tokens-1, 0)
	p.inUse++
	return true, 0
}

// DueRenewals returns the names of accounts whose leased concurrency is in use or not
// expired, and has less than three quarters of LeaseTime left. It also removes
// allocations without requests in progress whose demand window began more than
// idleTimeout ago.
func (s *Allocations) DueRenewals(now time.Time) []string {
	var names []string
	s.byAccount.Range(func(k, v any) bool {
		p := v.(*Allocation)
		p.mu.Lock()
		if p.units > 0 && (p.inUse > 0 || now.Before(p.unitsExpireAt)) && p.unitsExpireAt.Sub(now) < LeaseTime*3/4 {
			names = append(names, k.(string))
		}
		idle := p.inUse == 0 && now.Sub(p.windowStart) > idleTimeout
		p.mu.Unlock()
		if idle {
			s.byAccount.Delete(k)
		}
		return true
	})
	return names
}

// Idle reports whether the account has no request in progress and its demand window
// began more than LeaseTime ago, that is, no request came for at least LeaseTime less a
// second, so that its units can be returned instead of renewed.
func (p *Allocation) Idle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse == 0 && now.Sub(p.windowStart) > LeaseTime
}
