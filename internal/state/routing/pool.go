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
	// maxAffinityLoadFactor is the load, as a multiple of the mean of the usable targets, up
	// to which a target gets the calls whose prefix hashes to it. One call more is allowed,
	// since the mean is 0 in an idle pool.
	maxAffinityLoadFactor = 1.25
	// retryShare is the number of retries that a call adds to the budget; retryBurst is the
	// largest budget, in retries, that a pool accumulates.
	retryShare = 0.05
	retryBurst = 4
)

// Choice is the method by which a pool chooses targets.
type Choice int

// ChoiceLoad chooses by load and expected latency. ChoiceRandom chooses at random, as the
// baseline for experiments.
const (
	ChoiceLoad Choice = iota
	ChoiceRandom
)

// Pool holds the targets of the pool Name. It is safe for concurrent use.
type Pool struct {
	Name           string
	choice         Choice
	prefixAffinity bool
	targets        atomic.Pointer[[]*Target]
	// retryBudget is in thousandths of a retry.
	retryBudget atomic.Int64
}

// NewPool returns a pool without targets and with a full retry budget. With prefixAffinity
// and ChoiceLoad, a call with a prefix hash goes to the target that the prefix hashes to
// unless that one is overloaded or slow.
func NewPool(name string, choice Choice, prefixAffinity bool) *Pool {
	p := &Pool{Name: name, choice: choice, prefixAffinity: prefixAffinity}
	p.targets.Store(&[]*Target{})
	p.retryBudget.Store(retryBurst * 1000)
	return p
}

// Update replaces the list of targets. Targets whose ID and address were in the previous
// list keep their counters. Calls of Update must not overlap.
func (p *Pool) Update(list []hookhall.Target) {
	previous := map[string]*Target{} // by ID@address
	for _, t := range *p.targets.Load() {
		previous[t.ID+"@"+t.Address] = t
	}
	next := make([]*Target, 0, len(list))
	for _, data := range list {
		t := previous[data.ID+"@"+data.Address]
		if t == nil {
			t = &Target{Target: data}
		} else if t.Target != data {
			t = t.withData(data)
		}
		next = append(next, t)
	}
	sort.Slice(next, func(i, j int) bool { return next[i].ID < next[j].ID })
	p.targets.Store(&next)
}

// withData returns a Target for changed data. It copies the report, the latency, the
// failures with the ejection, the refusal and the count of calls. It does not copy inflight
// and lastProgress, because the calls in progress end on the old Target, nor reportedAt, so
// that the copied report counts as old for ReportedWithin.
func (t *Target) withData(data hookhall.Target) *Target {
	next := &Target{Target: data}
	next.report.Store(t.report.Load())
	next.latency.Store(t.latency.Load())
	next.failures.Store(t.failures.Load())
	next.ejectedUntil.Store(t.ejectedUntil.Load())
	next.leavingUntil.Store(t.leavingUntil.Load())
	next.calls.Store(t.calls.Load())
	return next
}

// Targets returns the current list, ordered by ID. Callers must not modify it.
func (p *Pool) Targets() []*Target { return *p.targets.Load() }

// Capacity returns the number of calls that the pool's usable targets can run at once, the
// sum of Target.Capacity.
func (p *Pool) Capacity(now time.Time) int {
	total := 0
	for _, t := range p.Targets() {
		if t.usable(now) {
			total += t.Capacity()
		}
	}
	return total
}

// Pick chooses a target for a call whose input has the given prefix hash, 0 for none. It
// prefers targets whose IDs are not in tried. A target whose ejection is over is chosen
// for one call, its probe. Without a usable target it returns any target that is not
// leaving, and nil if there is none or other calls have just claimed all probes.
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

// pickEjected returns a random target that is not leaving, ejected or not, or nil if there
// is none. It is used when no target is usable: in a pool whose targets all fail often, some
// calls still succeed.
func (p *Pool) pickEjected(now time.Time) *Target {
	var candidates []*Target
	for _, t := range p.Targets() {
		if !t.IsLeaving(now) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// usable returns the usable targets whose IDs are not in tried.
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

// choose returns the index in ts, which must not be empty, of the target for a call.
func (p *Pool) choose(ts []*Target, prefix uint64, now time.Time) int {
	if len(ts) == 1 {
		return 0
	}
	if p.choice == ChoiceRandom {
		return rand.IntN(len(ts))
	}
	if p.prefixAffinity && prefix != 0 {
		if i := affinityIndex(ts, prefix, now); i >= 0 {
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

// affinityIndex returns the index in ts of the target that the prefix hashes to (rendezvous
// hashing). It returns -1 if that one's load exceeds the limit of maxAffinityLoadFactor, or
// its expected latency is more than twice the mean.
func affinityIndex(ts []*Target, prefix uint64, now time.Time) int {
	best, highestScore := 0, uint64(0)
	var totalLoad, totalLatency float64
	for i, t := range ts {
		totalLoad += t.load()
		totalLatency += t.expectedLatency(now)
		if s := xxhash.Sum64String(t.ID) ^ prefix*0x9e3779b97f4a7c15; s >= highestScore {
			best, highestScore = i, s
		}
	}
	count := float64(len(ts))
	t := ts[best]
	if t.load() > maxAffinityLoadFactor*(totalLoad/count)+1/float64(t.Capacity()) {
		return -1
	}
	if t.expectedLatency(now) > 2*totalLatency/count {
		return -1
	}
	return best
}

// EarnRetryShare adds the share of one call, retryShare, to the retry budget, up to
// retryBurst. It is called once per call.
func (p *Pool) EarnRetryShare() {
	for {
		budget := p.retryBudget.Load()
		earned := min(budget+int64(retryShare*1000), retryBurst*1000)
		if earned == budget || p.retryBudget.CompareAndSwap(budget, earned) {
			return
		}
	}
}

// SpendRetry takes one retry from the budget and reports true, or reports false if less than
// one is left.
func (p *Pool) SpendRetry() bool {
	for {
		budget := p.retryBudget.Load()
		if budget < 1000 {
			return false
		}
		if p.retryBudget.CompareAndSwap(budget, budget-1000) {
			return true
		}
	}
}

// contains reports whether list contains s.
func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
