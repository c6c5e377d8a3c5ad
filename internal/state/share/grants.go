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
	// LeaseTime is how long units of concurrency are leased.
	LeaseTime = 2 * time.Second
	// burstTime is how much of its rate an account may use at once.
	burstTime = 500 * time.Millisecond
	// idleTime after the last want an account is forgotten.
	idleTime = time.Minute
)

// Grants is an owner's record of what it has leased.
type Grants struct {
	accounts sync.Map // name to *account
}

type account struct {
	mu      sync.Mutex
	bucket  *rate.Limiter
	perSec  float64
	entries map[string]*grant
	// since is when this owner took the account over.
	since time.Time
	used  time.Time
}

type grant struct {
	units   int64
	wanted  int64
	expires time.Time
}

// Lease grants what a wants of account's limits. members is the size of the
// fleet.
func (l *Grants) Lease(a *hookhall.Account, from string, w hookhall.Want, members int, now time.Time) hookhall.ShareLease {
	lease := hookhall.ShareLease{Account: w.Account}
	if a == nil || a.Rate == 0 && a.Concurrency == 0 {
		return lease
	}
	lease.Limited = true
	v, ok := l.accounts.Load(a.Name)
	if !ok {
		v, _ = l.accounts.LoadOrStore(a.Name, &account{entries: map[string]*grant{}, since: now})
	}
	x := v.(*account)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.used = now
	if a.Rate > 0 && w.Rate > 0 {
		lease.Rate, lease.RetryAfter = x.leaseRate(a.Rate, w.Rate, now)
	}
	if a.Concurrency > 0 {
		lease.Concurrency = x.leaseUnits(int64(a.Concurrency), from, w, members, now)
		if lease.Concurrency < w.Concurrency && lease.RetryAfter == 0 {
			lease.RetryAfter = LeaseTime / 4
		}
	}
	return lease
}

// leaseRate takes up to n tokens, and says when the next one comes.
func (x *account) leaseRate(perSec float64, n int64, now time.Time) (int64, time.Duration) {
	burst := int(max(1, math.Ceil(perSec*burstTime.Seconds())))
	if x.bucket == nil {
		x.bucket = rate.NewLimiter(rate.Limit(perSec), burst)
		x.bucket.AllowN(now, burst-1) // a new owner doesn't know what was spent
	} else if x.perSec != perSec {
		x.bucket.SetLimitAt(now, rate.Limit(perSec))
		x.bucket.SetBurstAt(now, burst)
	}
	x.perSec = perSec
	granted := min(n, int64(x.bucket.TokensAt(now)))
	if granted > 0 && x.bucket.AllowN(now, int(granted)) {
		return granted, 0
	}
	missing := 1 - x.bucket.TokensAt(now)
	return 0, time.Duration(max(missing, 0) / perSec * float64(time.Second))
}

// leaseUnits grants an entry its max-min fair part of the free units.
func (x *account) leaseUnits(limit int64, from string, w hookhall.Want, members int, now time.Time) int64 {
	x.drop(now)
	if w.Concurrency <= 0 {
		delete(x.entries, from)
		return 0
	}
	var others int64
	for name, o := range x.entries {
		if name != from {
			others += o.units
		}
	}
	units := min(w.Concurrency, max(limit-others, 0), x.fair(limit, from, w.Concurrency))
	if now.Sub(x.since) < LeaseTime {
		// Leases of the owner before are not known here yet.
		even := max(limit/int64(max(members, 1)), 1)
		units = min(max(w.Held, min(w.Concurrency, even)), max(limit-others, 0))
	}
	x.entries[from] = &grant{units: units, wanted: w.Concurrency, expires: now.Add(LeaseTime)}
	return units
}

// fair is the part of limit that from gets when all wants are met max-min.
func (x *account) fair(limit int64, from string, wanted int64) int64 {
	wants := []int64{wanted}
	for name, o := range x.entries {
		if name != from {
			wants = append(wants, o.wanted)
		}
	}
	left, open := limit, int64(len(wants))
	for open > 0 {
		part := max(left/open, 1)
		met := false
		for i, want := range wants {
			if want >= 0 && want <= part {
				left -= want
				open--
				wants[i] = -1
				met = true
				if i == 0 {
					return wanted
				}
			}
		}
		if !met {
			return part
		}
	}
	return wanted
}

func (x *account) drop(now time.Time) {
	for name, o := range x.entries {
		if now.After(o.expires) {
			delete(x.entries, name)
		}
	}
}

// Sweep forgets accounts that nobody has asked for.
func (l *Grants) Sweep(now time.Time) {
	l.accounts.Range(func(k, v any) bool {
		x := v.(*account)
		x.mu.Lock()
		idle := now.Sub(x.used) > idleTime
		x.mu.Unlock()
		if idle {
			l.accounts.Delete(k)
		}
		return true
	})
}

// Len is the number of accounts this owner knows.
func (l *Grants) Len() int {
	n := 0
	l.accounts.Range(func(_, _ any) bool { n++; return true })
	return n
}
