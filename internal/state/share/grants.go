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
	// LeaseTime is how long concurrency units are leased, and how long leased rate
	// units can be spent.
	LeaseTime = 2 * time.Second
	// burstTime is the span of time whose rate units an account may use at once.
	burstTime = 500 * time.Millisecond
	// idleTimeout is how long after the last request the state of an account is removed, at
	// the owner and at entries.
	idleTimeout = time.Minute
)

// Grants records what an owner has leased of the limits of its accounts. The zero
// value is empty and ready for concurrent use.
type Grants struct {
	accounts sync.Map // name to *account
}

// account is the owner's state of one account. mu must be held for its methods.
type account struct {
	mu            sync.Mutex
	bucket        *rate.Limiter     // nil before the first lease of rate units
	ratePerSecond float64           // the rate of bucket
	grants        map[string]*grant // by ID of the entry
	// ownedSince is when this process began to own the account.
	ownedSince time.Time
	lastUsed   time.Time
	removed    bool // Sweep has dropped it
}

// grant is the concurrency that one entry has leased.
type grant struct {
	units     int64 // leased
	wanted    int64 // demanded with the last request, in total
	expiresAt time.Time
}

// Lease grants an entry what it wants of the limits of the account a, as far as they allow.
// It sets RetryAfter if it grants none of the wanted rate units, or fewer concurrency units
// than wanted. The lease is not limited if a is nil or has no limits. members is the number
// of members of the fleet.
func (g *Grants) Lease(a *hookhall.Account, entryID string, want hookhall.ShareDemand, members int, now time.Time) hookhall.ShareLease {
	lease := hookhall.ShareLease{Account: want.Account}
	if a == nil || a.Rate == 0 && a.Concurrency == 0 {
		return lease
	}
	lease.Limited = true
	owned := g.lockAccount(a.Name, now)
	defer owned.mu.Unlock()
	if a.Rate > 0 && want.Rate > 0 {
		lease.Rate, lease.RetryAfter = owned.leaseRate(a.Rate, want.Rate, now)
	}
	if a.Concurrency > 0 {
		lease.Concurrency = owned.leaseUnits(int64(a.Concurrency), entryID, want, members, now)
		if lease.Concurrency < want.Concurrency && lease.RetryAfter == 0 {
			lease.RetryAfter = LeaseTime / 4
		}
	}
	return lease
}

// lockAccount returns the state of an account with its mu locked, and creates it if necessary.
func (g *Grants) lockAccount(name string, now time.Time) *account {
	for {
		v, ok := g.accounts.Load(name)
		if !ok {
			v, _ = g.accounts.LoadOrStore(name, &account{grants: map[string]*grant{}, ownedSince: now})
		}
		owned := v.(*account)
		owned.mu.Lock()
		if !owned.removed {
			owned.lastUsed = now
			return owned
		}
		owned.mu.Unlock()
	}
}

// leaseRate takes up to count tokens from the bucket and returns their number. If it
// takes none, the duration is the time until the next token.
func (a *account) leaseRate(ratePerSecond float64, count int64, now time.Time) (int64, time.Duration) {
	burst := int(max(1, math.Ceil(ratePerSecond*burstTime.Seconds())))
	if a.bucket == nil {
		a.bucket = rate.NewLimiter(rate.Limit(ratePerSecond), burst)
		a.bucket.AllowN(now, burst-1) // a new owner doesn't know what was spent, so start with one token
	} else if a.ratePerSecond != ratePerSecond {
		a.bucket.SetLimitAt(now, rate.Limit(ratePerSecond))
		a.bucket.SetBurstAt(now, burst)
	}
	a.ratePerSecond = ratePerSecond
	granted := min(count, int64(a.bucket.TokensAt(now)))
	if granted > 0 && a.bucket.AllowN(now, int(granted)) {
		return granted, 0
	}
	missing := 1 - a.bucket.TokensAt(now)
	return 0, time.Duration(max(missing, 0) / ratePerSecond * float64(time.Second))
}

// leaseUnits grants an entry its max-min fair share of limit, as far as units are free, and
// returns their number. It replaces the entry's previous grant.
func (a *account) leaseUnits(limit int64, entryID string, want hookhall.ShareDemand, members int, now time.Time) int64 {
	a.dropExpired(now)
	if want.Concurrency <= 0 {
		delete(a.grants, entryID)
		return 0
	}
	var unitsOfOthers int64
	for otherID, other := range a.grants {
		if otherID != entryID {
			unitsOfOthers += other.units
		}
	}
	units := min(want.Concurrency, max(limit-unitsOfOthers, 0), a.fairShare(limit, entryID, want.Concurrency))
	if now.Sub(a.ownedSince) < LeaseTime {
		// Leases of the previous owner may still run and are not known here: let each
		// entry keep what it holds, or give it an even share.
		evenShare := max(limit/int64(max(members, 1)), 1)
		units = min(max(want.Held, min(want.Concurrency, evenShare)), max(limit-unitsOfOthers, 0))
	}
	a.grants[entryID] = &grant{units: units, wanted: want.Concurrency, expiresAt: now.Add(LeaseTime)}
	return units
}

// fairShare returns the part of limit that an entry which wants wanted units gets when limit
// is divided among the wants of all entries by max-min fairness.
func (a *account) fairShare(limit int64, entryID string, wanted int64) int64 {
	wants := []int64{wanted}
	for otherID, other := range a.grants {
		if otherID != entryID {
			wants = append(wants, other.wanted)
		}
	}
	left, unmet := limit, int64(len(wants))
	for unmet > 0 {
		evenShare := max(left/unmet, 1)
		met := false
		for i, want := range wants {
			if want >= 0 && want <= evenShare {
				left -= want
				unmet--
				wants[i] = -1
				met = true
				if i == 0 {
					return wanted
				}
			}
		}
		if !met {
			return evenShare
		}
	}
	return wanted
}

// dropExpired removes expired grants.
func (a *account) dropExpired(now time.Time) {
	for otherID, other := range a.grants {
		if now.After(other.expiresAt) {
			delete(a.grants, otherID)
		}
	}
}

// Sweep removes accounts for which no entry has requested a lease within idleTimeout.
func (g *Grants) Sweep(now time.Time) {
	g.accounts.Range(func(k, v any) bool {
		a := v.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		if now.Sub(a.lastUsed) > idleTimeout {
			a.removed = true
			g.accounts.Delete(k)
		}
		return true
	})
}

// Len returns the number of accounts with a recorded state; leases of them may have expired.
func (g *Grants) Len() int {
	n := 0
	g.accounts.Range(func(_, _ any) bool { n++; return true })
	return n
}
