// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

const (
	// affinityBound is how far above the pool's mean load the target of a
	// prefix may be and still get its calls.
	affinityBound = 1.25
	// retryShare is the part of calls that may be retries; retryBurst the
	// most that a quiet pool saves up.
	retryShare = 0.05
	retryBurst = 4
)

// Choice is how targets are chosen.
type Choice int

// The choices. Random is the baseline that experiments compare with.
const (
	ChoiceLoad Choice = iota
	ChoiceRandom
)

// Pool is one pool's targets.
type Pool struct {
	Name    string
	choice  Choice
	prefix  bool
	targets atomic.Pointer[[]*Target]
	// budget is retries saved up, in thousandths.
	budget atomic.Int64
}

// NewPool makes an empty pool. With prefix set, engines' calls go to the
// target of their prompt's prefix first.
func NewPool(name string, choice Choice, prefix bool) *Pool {
	p := &Pool{Name: name, choice: choice, prefix: prefix}
	p.targets.Store(&[]*Target{})
	p.budget.Store(retryBurst * 1000)
	return p
}

// Update replaces the list of targets; those that stay keep their counters.
func (p *Pool) Update(list []hookhall.Target) {
	old := map[string]*Target{}
	for _, t := range *p.targets.Load() {
		old[t.ID+"@"+t.Address] = t
	}
	next := make([]*Target, 0, len(list))
	for _, d := range list {
		t := old[d.ID+"@"+d.Address]
		if t == nil {
			t = &Target{Target: d}
		} else if t.Target != d {
			t = t.with(d)
		}
		next = append(next, t)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	p.targets.Store(&next)
}

// with returns a Target for changed data. Counters are carried over; calls
// that are in progress end on the old one, so its in-flight count is not.
func (t *Target) with(d hookhall.Target) *Target {
	n := &Target{Target: d}
	n.report.Store(t.report.Load())
	n.latency.Store(t.latency.Load())
	n.failures.Store(t.failures.Load())
	n.ejected.Store(t.ejected.Load())
	n.refused.Store(t.refused.Load())
	n.calls.Store(t.calls.Load())
	return n
}

// Targets returns the current list; it must not be changed.
func (p *Pool) Targets() []*Target { return *p.targets.Load() }

// Capacity sums what the pool's usable targets run at once.
func (p *Pool) Capacity(now time.Time) int {
	sum := 0
	for _, t := range p.Targets() {
		if t.usable(now) {
			sum += t.Capacity()
		}
	}
	return sum
}

// Pick chooses a target for a call whose input has the prefix hash, leaving
// out those already tried unless there is no other. It returns nil when no
// target is usable, and an ejected one only as its probe.
func (p *Pool) Pick(prefix uint64, tried []string, now time.Time) *Target {
	usable := p.usable(tried, now)
	if len(usable) == 0 && len(tried) > 0 {
		usable = p.usable(nil, now)
	}
	if len(usable) == 0 {
		return p.pickEjected(now)
	}
	for len(usable) > 0 {
		i := p.choose(usable, prefix, now)
		if usable[i].claimProbe(now) {
			return usable[i]
		}
		usable = append(usable[:i], usable[i+1:]...)
	}
	return nil
}

// pickEjected chooses among targets that are left out for failing, when there are
// no others: when a whole pool fails often, some of its calls still succeed.
func (p *Pool) pickEjected(now time.Time) *Target {
	var staying []*Target
	for _, t := range p.Targets() {
		if !t.IsLeaving(now) {
			staying = append(staying, t)
		}
	}
	if len(staying) == 0 {
		return nil
	}
	return staying[rand.IntN(len(staying))]
}

func (p *Pool) usable(tried []string, now time.Time) []*Target {
	all := p.Targets()
	usable := make([]*Target, 0, len(all))
	for _, t := range all {
		if t.usable(now) && !contains(tried, t.ID) {
			usable = append(usable, t)
		}
	}
	return usable
}

func (p *Pool) choose(ts []*Target, prefix uint64, now time.Time) int {
	if len(ts) == 1 {
		return 0
	}
	if p.choice == ChoiceRandom {
		return rand.IntN(len(ts))
	}
	if p.prefix && prefix != 0 {
		if i := preferred(ts, prefix, now); i >= 0 {
			return i
		}
	}
	a, b := rand.IntN(len(ts)), rand.IntN(len(ts)-1)
	if b >= a {
		b++
	}
	if ts[b].score(now) < ts[a].score(now) {
		return b
	}
	return a
}

// preferred is the target that the prefix hashes to, -1 when it is too loaded
// or far slower than the others.
func preferred(ts []*Target, prefix uint64, now time.Time) int {
	best, top := 0, uint64(0)
	var load, pace float64
	for i, t := range ts {
		load += t.load()
		pace += t.pace(now)
		if s := xxhash.Sum64String(t.ID) ^ prefix*0x9e3779b97f4a7c15; s >= top {
			best, top = i, s
		}
	}
	n := float64(len(ts))
	t := ts[best]
	if t.load() > affinityBound*(load/n)+1/float64(t.Capacity()) {
		return -1
	}
	if t.pace(now) > 2*pace/n {
		return -1
	}
	return best
}

// Earn adds a call's share to the retry budget.
func (p *Pool) Earn() {
	if p.budget.Load() < retryBurst*1000 {
		p.budget.Add(int64(retryShare * 1000))
	}
}

// SpendRetry takes one retry from the budget; false when it is spent.
func (p *Pool) SpendRetry() bool {
	for {
		b := p.budget.Load()
		if b < 1000 {
			return false
		}
		if p.budget.CompareAndSwap(b, b-1000) {
			return true
		}
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
