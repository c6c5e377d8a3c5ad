// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// referenceChoice is the choice as it was before its cost was reduced and before engines had
// paces of their own: it looks at one target after the other and assumes the same pace of all
// engines. withRules adds two rules that apply while the paces are uneven; they are marked.
// draws yields the same random numbers as those of the choice that it is compared with.
func referenceChoice(b *Tracker, withRules bool, list []hookhall.Target, criteria Criteria, now time.Time, draws *rand.PCG) (id string) {
	list = criteria.selectTargets(list)
	scanned := list
	if len(list) > maxScannedTargets {
		scanned = nil
		for _, i := range b.sample(b.newView(list), &criteria, draws, nil) {
			scanned = append(scanned, list[i])
		}
	}
	type option struct {
		target hookhall.Target
		snapshot
	}
	var open, refusing, ejected []option
	for _, t := range scanned {
		if t.Leaving || criteria.ExcludedTargets[t.ID] || !criteria.Allow(t) || len(criteria.Halls) > 0 && !slices.Contains(criteria.Halls, t.Hall) {
			continue
		}
		r := b.record(t.Incarnation())
		if t.Cold(now) && (criteria.MaxColdRequests == nil || !r.hasColdCapacity(criteria.MaxColdRequests(t.ID), now)) {
			continue
		}
		o := option{t, r.snapshot(criteria.SharedPart, now)}
		switch {
		case o.ejectedUntil.After(now):
			ejected = append(ejected, o)
		case o.refusedUntil.After(now):
			refusing = append(refusing, o)
		default:
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		open = refusing
	}
	if len(open) == 0 {
		for _, o := range ejected {
			if id == "" || o.ejectedUntil.Before(b.record(hookhall.Incarnation{ID: id}).ejectedUntil) {
				id = o.target.ID
			}
		}
		return id
	}
	preferred, hasHolder := "", slices.ContainsFunc(open, func(o option) bool { return o.holdsPart })
	mayHold := list
	if len(list) > maxScannedTargets {
		mayHold = nil
		for _, i := range newRing(list).window(criteria.SharedPart, nil) {
			mayHold = append(mayHold, list[i])
		}
	}
	if criteria.IsEngineCall && criteria.SharedPart != "" {
		preferred = PreferredTarget(criteria.SharedPart, mayHold)
	}
	holdsPart := func(o option) bool { return o.holdsPart || !hasHolder && o.target.ID == preferred }
	// Slots are a hard limit while any engine has a free one, unlike in the first reference.
	isFull := func(o option) bool {
		return criteria.EngineSpec != nil && criteria.EngineSpec.Slots > 0 && o.inflight >= criteria.EngineSpec.Slots
	}
	hasFree := withRules && slices.ContainsFunc(open, func(o option) bool { return !isFull(o) })
	// If the holders of a part can't serve the request, the next one in the order of the hashing
	// becomes a further holder, unlike in the first reference.
	nextHolder := ""
	if withRules && criteria.IsEngineCall && criteria.SharedPart != "" && !slices.ContainsFunc(open, func(o option) bool {
		isLate := criteria.LatencyBudget > 0 && float64(o.unreadTokens+criteria.OwnTokens)/50 > criteria.LatencyBudget.Seconds()*1e3
		return holdsPart(o) && !isFull(o) && !isLate
	}) {
		var eligible []hookhall.Target
		for _, t := range mayHold {
			if slices.ContainsFunc(open, func(o option) bool { return o.target.ID == t.ID && !holdsPart(o) && !isFull(o) }) {
				eligible = append(eligible, t)
			}
		}
		nextHolder = PreferredTarget(criteria.SharedPart, eligible)
	}
	// A target that has not answered is as fast as the fastest, unlike in the first reference.
	lowestLatency := math.Inf(1)
	for _, o := range open {
		if o.nextLatency > 0 {
			lowestLatency = min(lowestLatency, o.nextLatency)
		}
	}
	if math.IsInf(lowestLatency, 1) {
		lowestLatency = 20e6
	}
	minCost := math.Inf(1)
	for _, o := range open {
		if o.nextLatency == 0 {
			o.nextLatency = lowestLatency
		}
		if jitter := drawUnit(draws); hasFree && isFull(o) {
			continue
		} else if cost := referenceCost(o.target, o.snapshot, criteria, holdsPart(o), o.target.ID == nextHolder) + jitter; cost < minCost {
			id, minCost = o.target.ID, cost
		}
	}
	return id
}

// referenceCost is the cost of a target in referenceChoice, without the random part.
func referenceCost(t hookhall.Target, s snapshot, criteria Criteria, holdsPart, becomesHolder bool) float64 {
	if !criteria.IsEngineCall {
		latency := s.nextLatency
		return latency / 1e6 * (1 + float64(s.inflight+1)/float64(max(t.Slots, 1))) * (1 + 6*s.failureRate)
	}
	waitTime, readTime, cost := float64(s.unreadTokens)/50, float64(criteria.OwnTokens)/50, float64(s.inflight)
	if criteria.SharedPart != "" && !holdsPart {
		readTime += float64(criteria.SharedTokens) / 50
		if !becomesHolder {
			cost += 3 * float64(criteria.SharedTokens) / 50
		}
	}
	cost += waitTime + readTime
	if spec := criteria.EngineSpec; spec != nil {
		if spec.Slots > 0 && s.inflight >= spec.Slots {
			cost += 2000
		}
		if excess := float64(s.heldTokens+criteria.OwnTokens+criteria.MaxOutputTokens) - 0.7*float64(spec.MemoryTokens); spec.MemoryTokens > 0 && excess > 0 {
			cost += 2000 + excess/50
		}
	}
	if criteria.LatencyBudget > 0 && waitTime+readTime > criteria.LatencyBudget.Seconds()*1e3 {
		cost += 2000
	}
	for hall, bytes := range criteria.BytesByHall {
		if hall != t.Hall {
			cost += 12 * bytes / 1e6
		}
	}
	return cost * (1 + 6*s.failureRate)
}

// randomCriteria returns the criteria of a random call.
func randomCriteria(r *rand.Rand, list []hookhall.Target) Criteria {
	criteria := Criteria{IsEngineCall: r.IntN(5) > 0, OwnTokens: r.IntN(20000), MaxOutputTokens: r.IntN(2000), ExcludedTargets: map[string]bool{}}
	if r.IntN(2) == 0 {
		criteria.SharedPart, criteria.SharedTokens = fmt.Sprint("part ", r.IntN(20)), 1000+r.IntN(15000)
		criteria.Parts = []string{criteria.SharedPart}
	}
	if r.IntN(2) == 0 {
		criteria.EngineSpec = &hookhall.EngineSpec{Slots: 2 + r.IntN(12), MemoryTokens: r.IntN(200000)}
	}
	if r.IntN(2) == 0 {
		criteria.LatencyBudget = time.Duration(r.IntN(2000)) * time.Millisecond
	}
	if r.IntN(3) == 0 {
		criteria.BytesByHall = map[string]float64{"h1": r.Float64() * 2e7}
	}
	if r.IntN(4) == 0 {
		criteria.Halls = []string{"h0", "h2"}
	}
	if r.IntN(4) == 0 {
		criteria.MaxColdRequests = func(string) int { return 2 }
	}
	if r.IntN(8) == 0 {
		criteria.Versions = Versions{Only: "v1", MaxTargets: r.IntN(len(list))}
	}
	for range r.IntN(4) {
		criteria.ExcludedTargets[list[r.IntN(len(list))].ID] = true
	}
	return criteria
}

// TestChoiceEqualsReference guards against choices that change although the engines are
// equally fast: over random loads, each choice is the one that the reference makes.
func TestChoiceEqualsReference(t *testing.T) {
	for _, c := range []struct {
		n         int
		isLearned bool // the paces are learned, and equal
	}{{1, false}, {5, false}, {40, false}, {40, true}, {256, false}, {600, false}, {600, true}} {
		n := c.n
		t.Run(fmt.Sprintf("%d targets, learned %v", n, c.isLearned), func(t *testing.T) {
			r := rand.New(rand.NewPCG(71, uint64(n)))
			b, list, now := NewTracker(), fleet(n), time.Unix(1000, 0)
			for i := range list {
				list[i].Leaving = r.IntN(20) == 0
				list[i].Version = fmt.Sprint("v", r.IntN(3))
				if r.IntN(10) == 0 {
					list[i].ColdUntil = now.Add(time.Hour)
				}
			}
			if c.isLearned {
				b.paces.Store(&map[string]PoolPace{"pool": {Median: 50, Learned: n}})
				for _, e := range list {
					b.record(e.Incarnation()).setPace(50, 50)
				}
			}
			var calls []*ActiveCall
			for step := range 2000 {
				now = now.Add(time.Duration(r.IntN(30)) * time.Millisecond)
				criteria := randomCriteria(r, list)
				var draws, referenceDraws rand.PCG
				draws.Seed(5, uint64(step))
				referenceDraws.Seed(5, uint64(step))
				want := referenceChoice(b, false, list, criteria, now, &referenceDraws)
				chosen := b.pick(list, &criteria, now, &draws)
				if chosen == nil && want != "" || chosen != nil && chosen.ID != want {
					t.Fatalf("step %d: chose %+v, want %q", step, chosen, want)
				}
				if chosen == nil {
					continue
				}
				call := b.Begin(*chosen, criteria, now)
				calls = append(calls, call)
				switch r.IntN(12) {
				case 0:
					call.Failed(r.IntN(2) == 0, now)
				case 1:
					call.Refused(now)
				default:
					call.Succeeded(time.Duration(r.IntN(400))*time.Millisecond, now)
				}
				if k := r.IntN(len(calls)); r.IntN(20) > 0 {
					calls[k].End()
					calls = slices.Delete(calls, k, k+1)
				}
				if step%500 == 499 && !c.isLearned {
					b.Prune(func(i hookhall.Incarnation) bool { return r.IntN(10) > 0 }, now)
				}
			}
		})
	}
}
