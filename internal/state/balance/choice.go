// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// Choose returns the target with the earliest expected answer and counts the request
// against the limits of a cold or rate-limited target. ok is false if no target
// qualifies. A list of more than 256 targets must be sorted by ID.
func (b *Tracker) Choose(targets []hookhall.Target, criteria Criteria, now time.Time) (t hookhall.Target, ok bool) {
	var draws rand.PCG
	draws.Seed(rand.Uint64(), 0)
	for {
		chosen := b.pick(targets, &criteria, now, &draws)
		if chosen == nil {
			return hookhall.Target{}, false
		}
		if b.reserve(chosen, &criteria, now) {
			return *chosen, true
		}
		// A concurrent request used up the target's limit, so that it is no longer a
		// candidate.
	}
}

// CanChoose reports whether Choose would find a target.
func (b *Tracker) CanChoose(targets []hookhall.Target, criteria Criteria, now time.Time) bool {
	var draws rand.PCG
	draws.Seed(rand.Uint64(), 0)
	return b.pick(targets, &criteria, now, &draws) != nil
}

// pick returns the target with the earliest expected answer without counting a
// request, nil if no target qualifies.
func (b *Tracker) pick(targets []hookhall.Target, criteria *Criteria, now time.Time, draws *rand.PCG) *hookhall.Target {
	var v *view
	if criteria.MaxTargets == 0 {
		v = b.viewOf(targets)
	} else {
		v = b.newView(criteria.selectTargets(targets))
	}
	found := b.spareCandidates.Swap(nil)
	if found == nil {
		found = &candidates{} // the first choice, or one that runs at the same time as another
	}
	defer b.spareCandidates.Store(found)
	found.clear()
	if len(v.targets) > maxScannedTargets {
		var sampled [2 * sampleSize]int32
		for _, i := range b.sample(v, criteria, draws, sampled[:0]) {
			found.add(v, int(i), criteria, now)
		}
		if len(found.open) > 0 && b.poolPace(v.targets[0].Pool).IsUneven && !hasFreeSlot(found.open, criteria) {
			from := drawBelow(draws, len(v.targets))
			for i := range min(secondSampleSize, len(v.targets)) {
				found.add(v, (from+i)%len(v.targets), criteria, now)
			}
		}
	}
	if len(found.open) == 0 {
		found.clear()
		for i := range v.targets {
			found.add(v, i, criteria, now)
		}
	}
	open := found.open
	if len(open) == 0 {
		open = found.refusing // all targets that are not ejected are in such a pause: ignore it
	}
	if len(open) == 0 {
		return earliestReadmitted(found.ejected, v)
	}
	return &v.targets[b.cheapest(open, v, criteria, draws)]
}

// cheapest returns the index of the candidate with the earliest expected answer. While the
// paces of a service's engines are uneven, it uses the pace of each, engines without a free
// slot are considered only if no candidate has one, and pauses of streams and further holders
// of shared parts count. Even engines are all assumed to have the same pace: there the
// differences between learned paces are noise, and choices by them read shared parts again,
// twice as many tokens in a fleet of 18 engines.
func (b *Tracker) cheapest(open []candidate, v *view, criteria *Criteria, draws *rand.PCG) (index int32) {
	pool := b.poolPace(v.targets[0].Pool)
	for i := range open {
		switch {
		case !pool.IsUneven:
			open[i].pace = tokensPerMillisecond
		case open[i].pace == 0:
			open[i].pace = pool.Median
		}
	}
	if !criteria.IsEngineCall {
		setUnknownLatencies(open)
	}
	nextHolder := int32(-1)
	if criteria.IsEngineCall && criteria.SharedPart != "" {
		nextHolder = markHolders(open, v, criteria)
	}
	if !pool.IsUneven {
		nextHolder = -1
	}
	skipFull := pool.IsUneven && hasFreeSlot(open, criteria)
	minCost, minCostWithPause, causesPause, wouldCausePause := math.Inf(1), math.Inf(1), false, false
	for i := range open {
		c := &open[i]
		t := &v.targets[c.index]
		cost, pauseCost := expectedCost(t, &c.snapshot, criteria, c.index == nextHolder, pool.IsUneven, drawUnit(draws))
		if skipFull && c.isFull(criteria) {
			continue
		}
		if cost < minCostWithPause {
			minCostWithPause, wouldCausePause = cost, pauseCost > 0
		}
		if cost+pauseCost < minCost {
			index, minCost, causesPause = c.index, cost+pauseCost, pauseCost > 0
		}
	}
	if wouldCausePause && !causesPause {
		b.avoidedPauses.Add(1)
	}
	return index
}

// setUnknownLatencies sets the latencies of targets that have not answered yet to the lowest known
// one, so that they get calls too.
func setUnknownLatencies(open []candidate) {
	lowest := math.Inf(1)
	for i := range open {
		if latency := open[i].nextLatency; latency > 0 {
			lowest = min(lowest, latency)
		}
	}
	if math.IsInf(lowest, 1) {
		lowest = defaultLatency
	}
	for i := range open {
		if open[i].nextLatency == 0 {
			open[i].nextLatency = lowest
		}
	}
}

// markHolders sets holdsPart of the candidates that presumably cache the shared part. If any
// candidate was sent the part recently, those that were do, otherwise the preferred target, so
// that all processes send the part to the same one. A new target that becomes the preferred one
// thus causes no part to be read again. It returns the index of the candidate that becomes a
// further holder because the part takes more than its holders can serve, -1 if there is none: the
// next one in the order of the hashing that has a free slot.
func markHolders(open []candidate, v *view, criteria *Criteria) (nextHolder int32) {
	hasHolder := slices.ContainsFunc(open, func(c candidate) bool { return c.holdsPart })
	if !hasHolder {
		preferred := v.preferred(criteria.SharedPart)
		for i := range open {
			open[i].holdsPart = open[i].index == preferred
		}
	}
	for i := range open {
		if c := &open[i]; c.holdsPart && !c.isFull(criteria) && !c.missesObjective(criteria.OwnTokens, criteria) {
			return -1
		}
	}
	var window [ringWindow]int32
	inWindow := window[:0]
	isLarge := len(v.targets) > maxScannedTargets
	if isLarge {
		inWindow = v.ring().window(criteria.SharedPart, inWindow)
	}
	s := v.newSelection(criteria.SharedPart)
	for i := range open {
		if c := &open[i]; !c.holdsPart && !c.isFull(criteria) && (!isLarge || slices.Contains(inWindow, c.index)) {
			s.add(c.index)
		}
	}
	return s.best
}

// missesObjective reports whether the answer to a call with a prompt of the given unread tokens
// would begin too late.
func (s *snapshot) missesObjective(tokens int, criteria *Criteria) bool {
	return criteria.LatencyBudget > 0 && float64(s.unreadTokens)/s.pace+float64(tokens)/s.pace > criteria.LatencyBudget.Seconds()*1e3
}

// isFull reports whether an engine has no free slot for another call.
func (s *snapshot) isFull(criteria *Criteria) bool {
	return criteria.EngineSpec != nil && criteria.EngineSpec.Slots > 0 && s.inflight >= criteria.EngineSpec.Slots
}

// hasFreeSlot reports whether a candidate has a free slot.
func hasFreeSlot(open []candidate, criteria *Criteria) bool {
	for i := range open {
		if !open[i].isFull(criteria) {
			return true
		}
	}
	return false
}

// candidate is a target that may be chosen, with a snapshot of its record.
type candidate struct {
	index int32 // in the view
	snapshot
}

// candidates holds the targets that may be chosen, in three groups: those without a
// pause, those in a pause after a refusal, and those ejected after a failure.
type candidates struct{ open, refusing, ejected []candidate }

// clear removes all candidates.
func (c *candidates) clear() {
	c.open, c.refusing, c.ejected = c.open[:0], c.refusing[:0], c.ejected[:0]
}

// add adds the target with an index of v to its group if it may be chosen.
func (c *candidates) add(v *view, index int, criteria *Criteria, now time.Time) {
	t := &v.targets[index]
	if t.Leaving || criteria.ExcludedTargets[t.ID] || !criteria.allows(t) {
		return
	}
	r := v.record(index)
	if !r.hasCapacity(t, criteria, now) {
		return
	}
	s := r.snapshot(criteria.SharedPart, now)
	if !criteria.hasRoom(t, s.inflight, now) {
		return
	}
	switch {
	case s.ejectedUntil.After(now):
		c.ejected = append(c.ejected, candidate{int32(index), s})
	case s.refusedUntil.After(now):
		c.refusing = append(c.refusing, candidate{int32(index), s})
	default:
		c.open = append(c.open, candidate{int32(index), s})
	}
}

// allows reports whether the hall and the version of a target may run the request.
func (c *Criteria) allows(t *hookhall.Target) bool {
	return (len(c.Halls) == 0 || slices.Contains(c.Halls, t.Hall)) && c.allowsVersion(t.Version)
}

// hasCapacity reports whether a target may get another request now: a cold target
// fails under more than a few requests a second, and a target may have announced a rate
// limit.
func (r *record) hasCapacity(t *hookhall.Target, criteria *Criteria, now time.Time) bool {
	if criteria.Limiter != nil && criteria.Limiter.Due(r.incarnation, now) > 0 {
		return false
	}
	if !t.Cold(now) {
		return true
	}
	return criteria.MaxColdRequests != nil && r.hasColdCapacity(criteria.MaxColdRequests(t.ID), now)
}

// earliestReadmitted returns the ejected candidate whose pause ends first, nil if there is
// none.
func earliestReadmitted(ejected []candidate, v *view) *hookhall.Target {
	if len(ejected) == 0 {
		return nil
	}
	first := slices.MinFunc(ejected, func(a, b candidate) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	return &v.targets[first.index]
}
