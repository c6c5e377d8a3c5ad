// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollouts

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/balance"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/rollout"
)

// Fleet finds the owners of orders.
type Fleet interface {
	Self() hookhall.Member
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
	Suspect(address string, now time.Time)
}

// Remote is another process.
type Remote interface {
	Tally(ctx context.Context, r Report) ([]Standing, error)
}

// Directory is what is read of the catalog.
type Directory interface {
	Targets(pool string) []hookhall.Target
}

// Standing is an order and how far it has come, for all that a process knows.
type Standing struct {
	hookhall.Rollout
	Phase rollout.Phase
	Age   time.Duration // since the process heard of the order
}

// Orders are all that operators have ordered, as of a revision of the store.
type Orders struct {
	Revision hookhall.Revision
	List     []Standing
}

// Tally is what one process has counted of an order.
type Tally struct {
	Standing
	Evidence rollout.Evidence
	AtOld    int // requests that run at old targets
}

// Report is a process's word to an owner.
type Report struct {
	Reporter string // its address
	Tallies  []Tally
}

// Rollouts are the orders that this process knows.
type Rollouts struct {
	Keys      hookhall.RolloutKeys
	Store     hookhall.Store
	Fleet     Fleet
	Remote    func(address string) Remote
	Directory Directory
	// Share is what a version that may be bad may get of a service's requests.
	Share float64
	Log   *log.Logger

	// any is set while there are orders: requests of other times take no lock.
	any atomic.Bool

	mu       sync.Mutex
	revision hookhall.Revision
	orders   map[string]*order // by service
}

// order is one with what is known of it.
type order struct {
	hookhall.Rollout
	phase  rollout.Phase
	heard  time.Time
	moved  time.Time // when all requests were given to the new version
	counts rollout.Evidence
	atOld  int

	// The rest is the owner's.
	told   map[string]word // the latest of each process, by address
	asked  bool            // the state in the store was read
	wrote  hookhall.RolloutState
	status hookhall.Revision // of the state in the store
}

// word is what a process told, and when.
type word struct {
	Tally
	at time.Time
}

// Read takes in the operators' keys that the store had at a revision; whole tells that it
// had no others. It tells whether an order changed.
func (r *Rollouts) Read(items []hookhall.Item, at hookhall.Revision, whole bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.revision {
		return false
	}
	list := map[string]hookhall.Rollout{}
	if !whole {
		for service, o := range r.orders {
			list[service] = o.Rollout
		}
	}
	for _, i := range items {
		service, ok := r.Keys.RolloutService(i.Key)
		if !ok {
			continue
		}
		if i.Gone {
			delete(list, service)
			continue
		}
		o, _, err := r.Keys.Rollout(i.Key, i.Value)
		if err != nil {
			r.Log.Warn("An order of a roll-out can't be read; the one before stays.", "key", i.Key, "bytes", len(i.Value), "error", err.Error())
			if was := r.orders[service]; was != nil {
				list[service] = was.Rollout
			}
			continue
		}
		o.Revision = i.Revision
		list[service] = o
	}
	var standings []Standing
	for _, o := range list {
		standings = append(standings, Standing{Rollout: o})
	}
	return r.replace(Orders{at, standings}, "store")
}

// Learn takes in what a peer knows of the orders.
func (r *Rollouts) Learn(o Orders, from string) {
	if o.Revision == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Revision < r.revision {
		return
	}
	r.replace(o, from)
}

// replace puts orders in force, and tells whether any changed. The caller holds r.mu.
func (r *Rollouts) replace(o Orders, from string) (changed bool) {
	r.revision = o.Revision
	if r.orders == nil {
		r.orders = map[string]*order{}
	}
	listed := map[string]bool{}
	for _, s := range o.List {
		listed[s.Service] = true
		changed = r.take(s, from) || changed
	}
	for service, known := range r.orders {
		if !listed[service] {
			r.Log.Info("The order of a roll-out is withdrawn.", "service", service, "version", known.Version, "from", from)
			delete(r.orders, service)
			changed = true
		}
	}
	r.any.Store(len(r.orders) > 0)
	return changed
}

// take takes one order in. The caller holds r.mu.
func (r *Rollouts) take(s Standing, from string) bool {
	now := clock.Now()
	known := r.orders[s.Service]
	if known == nil || known.Revision < s.Revision {
		known = &order{Rollout: s.Rollout, heard: now.Add(-s.Age), counts: rollout.Evidence{}, told: map[string]word{}}
		r.orders[s.Service] = known
		r.Log.Info("A roll-out is ordered.", "service", s.Service, "version", s.Version, "time", s.Time, "revision", s.Revision, "from", from)
		r.enter(known, s.Phase, from, now)
		return true
	}
	if known.Revision > s.Revision {
		return false
	}
	if heard := now.Add(-s.Age); heard.Before(known.heard) {
		known.heard = heard
	}
	r.enter(known, s.Phase, from, now)
	return false
}

// enter takes in that an order has come as far as a phase. The caller holds r.mu.
func (r *Rollouts) enter(o *order, p rollout.Phase, from string, now time.Time) {
	p = o.phase.Join(p)
	if p == o.phase {
		return
	}
	o.phase = p
	if o.moved.IsZero() && p >= rollout.Moving {
		o.moved = now
	}
	r.Log.Info("A roll-out has come further.", "service", o.Service, "version", o.Version, "phase", p, "age", now.Sub(o.heard), "from", from)
}

// Orders are what this process knows, sorted by service.
func (r *Rollouts) Orders() Orders {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	out := Orders{Revision: r.revision}
	for _, o := range r.orders {
		out.List = append(out.List, o.standing(now))
	}
	slices.SortFunc(out.List, func(a, b Standing) int { return strings.Compare(a.Service, b.Service) })
	return out
}

func (o *order) standing(now time.Time) Standing {
	return Standing{o.Rollout, o.phase, now.Sub(o.heard)}
}

// Versions are those that may run a request of a service now. A version on trial is drawn
// only for a request's first target: what may be sent on is better served by the old one.
func (r *Rollouts) Versions(service string, first bool) balance.Versions {
	if !r.any.Load() {
		return balance.Versions{}
	}
	r.mu.Lock()
	o := r.orders[service]
	if o == nil {
		r.mu.Unlock()
		return balance.Versions{}
	}
	version, phase := o.Version, o.phase
	r.mu.Unlock()
	old := 0
	targets := r.Directory.Targets(service)
	for _, t := range targets {
		if t.Version != version {
			old++
		}
	}
	fresh := len(targets) - old
	switch {
	case old == 0 || fresh == 0:
		return balance.Versions{} // there is nothing to choose
	case phase == rollout.Trial && first && rand.Float64() < rollout.Share(r.Share):
		return balance.Versions{Only: version, Among: rollout.TrialTargets(r.Share, old)}
	case phase == rollout.Moving || phase == rollout.Completed:
		return balance.Versions{Only: version}
	}
	return balance.Versions{Not: version}
}

// Usable are those of a service's targets that may be used now, whoever chooses among
// them, and the version among them that is on trial with its share, "" for none.
func (r *Rollouts) Usable(service string, targets []hookhall.Target) (list []hookhall.Target, trial string, share float64) {
	if !r.any.Load() {
		return targets, "", 0
	}
	r.mu.Lock()
	o := r.orders[service]
	if o == nil {
		r.mu.Unlock()
		return targets, "", 0
	}
	version, phase := o.Version, o.phase
	r.mu.Unlock()
	if phase == rollout.Trial {
		return targets, version, rollout.Share(r.Share)
	}
	wantsNew := phase == rollout.Moving || phase == rollout.Completed
	other := func(t hookhall.Target) bool { return (t.Version == version) != wantsNew }
	if !slices.ContainsFunc(targets, other) {
		return targets, "", 0
	}
	if list = slices.DeleteFunc(slices.Clone(targets), other); len(list) == 0 {
		return targets, "", 0 // there is nothing to choose
	}
	return list, "", 0
}

// Use is one request at a target, as far as an order is concerned; nil for none.
type Use struct {
	rollouts *Rollouts
	order    *order
	route    string
	fresh    bool // of the new version
	began    time.Time
	once     sync.Once
}

// Begin counts a request that is sent to a target.
func (r *Rollouts) Begin(route string, t hookhall.Target) *Use {
	if !r.any.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.orders[t.Pool]
	if o == nil || o.phase.Final() {
		return nil
	}
	u := &Use{rollouts: r, order: o, route: route, fresh: t.Version == o.Version, began: clock.Now()}
	if !u.fresh {
		o.atOld++
	}
	return u
}

// Answered counts an answer whose head came after a time, or that failed.
func (u *Use) Answered(took time.Duration, failed bool) {
	if u == nil {
		return
	}
	t := rollout.Tally{Answers: 1, Took: took}
	if failed {
		t.Bad = 1
	}
	v := rollout.Versions{Old: t}
	if u.fresh {
		v = rollout.Versions{New: t}
	}
	u.rollouts.mu.Lock()
	defer u.rollouts.mu.Unlock()
	u.order.counts.Add(rollout.Evidence{u.route: v})
}

// Unanswered counts a target that has not answered by now, when nobody waits for it any
// longer.
func (u *Use) Unanswered() {
	if u != nil {
		u.Answered(clock.Since(u.began), false)
	}
}

// End counts the request's end at the target. It may be called again without effect.
func (u *Use) End() {
	if u == nil || u.fresh {
		return
	}
	u.once.Do(func() {
		u.rollouts.mu.Lock()
		defer u.rollouts.mu.Unlock()
		u.order.atOld--
	})
}
