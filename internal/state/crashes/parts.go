// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

// Parts holds the crashes of targets by part of the requests that they ran, and decides which
// requests are refused for them. It is safe for concurrent use.
//
// Each crash counts for all parts of all requests that ran on the target, so that harmless parts collect
// crashes beside the one that causes them, until a target serves them. A part is only
// refused together with those that it can't be told from: the parts that were present at all of its
// crashes. A request with one of them alone is run, which shows whether that one is the cause.
// Crashes that a likelier cause explains don't count against a part. Otherwise a part that all requests
// of a route have, and that nothing could serve meanwhile, would be refused when another one crashes
// targets, and with it the whole route.
type Parts struct {
	ledger  *Ledger
	refused atomic.Pointer[[]RefusedParts]
}

// RefusedParts is a set of parts; a request with all of them is refused.
type RefusedParts struct {
	Parts  []Part // sorted by digest
	Status Status // of the part with the fewest crashes
	// Until is when the set is allowed again, zero for a part that no target has served.
	Until time.Time
	// accounts are those whose requests ran at the crashes of that part, sorted.
	accounts []string
}

// NewParts returns Parts without any crashes.
func NewParts(l Limits) *Parts {
	p := &Parts{ledger: NewLedger(l)}
	p.refused.Store(&[]RefusedParts{})
	return p
}

// Ledger returns the crashes by part. It must not be changed but through p.
func (p *Parts) Ledger() *Ledger { return p.ledger }

// Refused returns the sets of parts that are refused, as an immutable list.
func (p *Parts) Refused() []RefusedParts { return *p.refused.Load() }

// Status returns the crash status of the parts of a request that is refused for them at now, and the
// zero value for other requests. It takes no lock.
func (p *Parts) Status(i Identity, now time.Time) Status {
	var s Status
	for _, set := range p.Refused() {
		if set.appliesTo(i) && (set.Until.IsZero() || now.Before(set.Until)) {
			s = s.Union(set.Status)
		}
	}
	return s
}

// appliesTo reports whether a request has all parts of the set, and whether its account may be refused
// for them. The crashes of one account's requests alone don't show that the parts are the cause:
// the account could list those of others beside a cause of its own. So the first request of another
// account is run.
func (s RefusedParts) appliesTo(i Identity) bool {
	if len(s.accounts) == 1 && s.accounts[0] != i.Account {
		return false
	}
	return !slices.ContainsFunc(s.Parts, func(part Part) bool { return !i.has(part.Digest) })
}

// HasCrashes reports whether any part of a request has crashes that count.
func (p *Parts) HasCrashes(i Identity) bool {
	return !p.ledger.Empty() && slices.ContainsFunc(i.Parts, func(part Part) bool { return p.ledger.Status(part.Digest).Crashes > 0 })
}

// Merge merges reported crashes; see Ledger.Merge.
func (p *Parts) Merge(reported []Crash, now time.Time) (changed []Crash) {
	if len(reported) == 0 {
		return nil
	}
	changed = p.ledger.Merge(reported, now)
	p.update() // an earlier first report may have changed which crashes were simultaneous
	return changed
}

// Served clears the crashes of the parts of a request at targets with some software, after a complete
// response of such a target. It returns those that were not cleared before.
func (p *Parts) Served(parts []Part, software string) (cleared []Crash) {
	for _, part := range parts {
		if p.ledger.Status(part.Digest).Crashes > 0 {
			cleared = append(cleared, p.ledger.ClearWhere(part.Digest, func(c *Crash) bool { return c.Software == software })...)
		}
	}
	if len(cleared) > 0 {
		p.update()
	}
	return cleared
}

// Release clears all crashes of a part and of those that it can't be told from.
func (p *Parts) Release(d Digest) (cleared []Crash) {
	released := []Digest{d}
	for _, set := range p.Refused() {
		if slices.ContainsFunc(set.Parts, func(part Part) bool { return part.Digest == d }) {
			for _, part := range set.Parts {
				released = append(released, part.Digest)
			}
		}
	}
	for _, d := range released {
		cleared = append(cleared, p.ledger.Clear(d)...)
	}
	if len(cleared) > 0 {
		p.update()
	}
	return cleared
}

// Expire removes old crashes.
func (p *Parts) Expire(now time.Time) {
	if p.ledger.Empty() {
		p.ledger.Expire(now) // cleared crashes may be left
		return
	}
	p.ledger.Expire(now)
	p.update()
}

// maxRefusedSets is the maximum number of sets of parts that are refused at the same time. It bounds the
// time that a report of a crash takes.
const maxRefusedSets = 64

// update recomputes which parts are refused.
func (p *Parts) update() {
	l := p.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	refused := []RefusedParts{}
	groups := l.groups()
	explained := map[hookhall.Incarnation]bool{} // by the sets that are refused
	var suspected map[hookhall.Incarnation]bool  // nil before it is needed
	for _, g := range groups {
		needed := l.limits.MinCrashes
		if g.served {
			needed = max(needed, l.limits.MinServedCrashes)
		}
		unexplained := func(c *Crash) bool { return !explained[c.Incarnation] }
		if l.count(g.content, unexplained) < needed || len(refused) == maxRefusedSets {
			continue
		}
		if g.served && suspected == nil {
			suspected = l.suspected()
		}
		software := l.convictedAt(g, needed, func(chosen func(*Crash) bool) int {
			both := func(c *Crash) bool { return unexplained(c) && chosen(c) }
			all := l.count(g.content, both)
			if !g.served {
				return all
			}
			plain := l.count(g.content, func(c *Crash) bool { return both(c) && !suspected[c.Incarnation] })
			return plain + (all-plain)/suspectedCrashes
		})
		if len(software) == 0 {
			continue
		}
		maps.Copy(explained, g.incarnations)
		set := RefusedParts{Status: l.refused[g.parts[0].Digest], accounts: g.content.accounts()}
		set.Status.Software = software
		if g.served {
			set.Until = g.content.lastReported().Add(servedRefusalTime(set.Status.Crashes - needed))
		}
		for _, other := range groups {
			if containsAll(other.incarnations, g.incarnations) {
				set.Parts = append(set.Parts, other.parts...)
			}
		}
		slices.SortFunc(set.Parts, compareParts)
		refused = append(refused, set)
	}
	p.refused.Store(&refused)
}
