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
	// ahead is how much demand an entry leases at once.
	ahead = 100 * time.Millisecond
	// slackUnits of concurrency are leased beyond those in use.
	slackUnits = 1
	// shortRetry is when to come back after a refusal by concurrency.
	shortRetry = 50 * time.Millisecond
)

// Allocation is what one entry holds of one account's limits.
type Allocation struct {
	mu sync.Mutex
	// tokens of the rate limit, to be spent before stale.
	tokens int64
	stale  time.Time
	// units of concurrency leased until lapse, and those in use.
	units int64
	lapse time.Time
	in    int64
	// denied is until when requests are refused without asking the owner;
	// back is when the owner said that units come.
	denied time.Time
	back   time.Time
	// demand is requests a second, averaged over windows.
	demand float64
	count  float64
	window time.Time
	// even is the fallback's bucket.
	even *rate.Limiter
}

// Allocations are what one entry holds, by account.
type Allocations struct {
	byAccount sync.Map // account name to *Allocation
}

// Allocation finds the allocation of an account.
func (w *Allocations) Allocation(account string) *Allocation {
	v, ok := w.byAccount.Load(account)
	if !ok {
		v, _ = w.byAccount.LoadOrStore(account, &Allocation{})
	}
	return v.(*Allocation)
}

// Decision is what an allocation says of one more request.
type Decision int

// Decisions of Spend.
const (
	// Pass: the request may run; Done must follow.
	Pass Decision = iota
	// Ask: the owner has to be asked with Want first.
	Ask
	// Deny: refused until the returned time.
	Deny
)

// Spend takes one request's units.
func (p *Allocation) Spend(a *hookhall.Account, now time.Time) (Decision, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure(now)
	if now.Before(p.denied) {
		return Deny, p.back.Sub(now)
	}
	if a.Rate > 0 && (p.tokens <= 0 || now.After(p.stale)) {
		return Ask, 0
	}
	if a.Concurrency > 0 && (p.in >= p.units || now.After(p.lapse)) {
		return Ask, 0
	}
	p.tokens--
	p.in++
	return Pass, 0
}

func (p *Allocation) measure(now time.Time) {
	if passed := now.Sub(p.window); passed >= time.Second {
		p.demand = p.count / passed.Seconds()
		p.count, p.window = 0, now
	}
	p.count++
}

// Done ends a request that was let pass.
func (p *Allocation) Done() {
	p.mu.Lock()
	p.in--
	p.mu.Unlock()
}

// Want says what to ask the account's owner for.
func (p *Allocation) Want(a *hookhall.Account, now time.Time) hookhall.Want {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := hookhall.Want{Account: a.Name}
	if a.Rate > 0 {
		w.Rate = int64(max(1, math.Ceil(p.demand*ahead.Seconds())))
	}
	if a.Concurrency > 0 {
		if now.Before(p.lapse) {
			w.Held = p.units
		}
		w.Concurrency = p.in + slackUnits + int64(p.demand*ahead.Seconds())
	}
	return w
}

// Fill takes in a lease.
func (p *Allocation) Fill(l hookhall.ShareLease, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !l.Limited {
		l.Rate, l.Concurrency = 1, p.in+1 // the owner knows of no limit
	}
	if now.After(p.stale) {
		p.tokens = 0
	}
	if l.Rate > 0 {
		p.tokens += l.Rate
		p.stale = now.Add(LeaseTime)
	}
	p.units, p.lapse = l.Concurrency, now.Add(LeaseTime)
	if l.Rate == 0 && l.RetryAfter > 0 || l.Concurrency <= p.in && l.RetryAfter > 0 {
		p.back = now.Add(l.RetryAfter)
		p.denied = now.Add(min(l.RetryAfter, shortRetry))
	}
}

// Fallback decides without the owner, by an even share of the limits.
func (p *Allocation) Fallback(a *hookhall.Account, members int, now time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := float64(max(members, 1))
	if a.Concurrency > 0 && p.in >= max(int64(float64(a.Concurrency)/n), 1) {
		return false, shortRetry
	}
	if a.Rate > 0 {
		part := a.Rate / n
		if p.even == nil || float64(p.even.Limit()) != part {
			p.even = rate.NewLimiter(rate.Limit(part), int(max(1, part*burstTime.Seconds())))
		}
		if !p.even.AllowN(now, 1) {
			return false, time.Duration(float64(time.Second) / part)
		}
	}
	p.tokens = max(p.tokens-1, 0)
	p.in++
	return true, 0
}

// Renewals lists accounts whose leased concurrency is in use and due.
func (w *Allocations) Renewals(now time.Time) []string {
	var names []string
	w.byAccount.Range(func(k, v any) bool {
		p := v.(*Allocation)
		p.mu.Lock()
		if p.units > 0 && (p.in > 0 || now.Before(p.lapse)) && p.lapse.Sub(now) < LeaseTime*3/4 {
			names = append(names, k.(string))
		}
		idle := p.in == 0 && now.Sub(p.window) > idleTime
		p.mu.Unlock()
		if idle {
			w.byAccount.Delete(k)
		}
		return true
	})
	return names
}

// Idle tells whether nothing of the account is in progress, so that its units
// can be given back instead of renewed.
func (p *Allocation) Idle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.in == 0 && now.Sub(p.window) > LeaseTime
}
