// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollouts

import (
	"context"
	"maps"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/rollout"
	"github.com/pkg/errors"
)

const (
	// reportEvery is how often a process tells what it has counted: often enough for a
	// version to be rolled back within a second of the answers that show that it is bad.
	reportEvery = 250 * time.Millisecond
	// reportTime bounds telling it.
	reportTime = 300 * time.Millisecond
	// storeTime bounds a call of the store.
	storeTime = 900 * time.Millisecond
	// wordKeeps is for how long a process that tells nothing any more is believed to have
	// requests in progress.
	wordKeeps = 4 * reportEvery
	// keyPrefix names the work of owning a service's Rollout.
	keyPrefix = "rollout/"
)

// Run tells owners what this process has counted, and decides what it owns, until ctx
// ends.
func (r *Rollouts) Run(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(reportEvery)) {
		if r.any.Load() {
			r.step(ctx)
		}
	}
}

// step is one round of Run.
func (r *Rollouts) step(ctx context.Context) {
	byOwner := map[string][]Tally{}
	for _, t := range r.counted() {
		owner := r.Fleet.Owner(keyPrefix+t.Service, nil, clock.Now()).Address
		switch {
		case owner == r.Fleet.Self().Address:
			r.decide(ctx, t.Service)
		case !t.Phase.Final():
			byOwner[owner] = append(byOwner[owner], t)
		}
	}
	for owner, tallies := range byOwner {
		r.tell(ctx, owner, Report{Reporter: r.Fleet.Self().Address, Tallies: tallies})
	}
}

// counted is all that this process has counted.
func (r *Rollouts) counted() []Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var list []Tally
	for _, o := range r.orders {
		list = append(list, Tally{o.standing(now), maps.Clone(o.counts), o.atOld})
	}
	return list
}

// tell tells one owner.
func (r *Rollouts) tell(ctx context.Context, owner string, report Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	standings, err := r.Remote(owner).Tally(ctx, report)
	if err != nil {
		r.Fleet.Suspect(owner, clock.Now())
		r.Log.Warn("The owner of a roll-out does not answer.", "owner", owner, "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range standings {
		if known := r.orders[s.Service]; known != nil && known.Revision == s.Revision {
			r.enter(known, s.Phase, owner, clock.Now())
		}
	}
}

// Take takes in another process's word, and returns how far the orders have come.
func (r *Rollouts) Take(report Report) []Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var list []Standing
	for _, t := range report.Tallies {
		known := r.orders[t.Service]
		if known == nil || known.Revision < t.Revision {
			// The reporter has heard of it first.
			r.take(t.Standing, report.Reporter)
			r.any.Store(true)
			known = r.orders[t.Service]
		}
		if known.Revision != t.Revision {
			continue
		}
		r.take(t.Standing, report.Reporter)
		known.told[report.Reporter] = word{t, now}
		list = append(list, known.standing(now))
	}
	return list
}

// decide has an order that this process owns come further.
func (r *Rollouts) decide(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	r.mu.Lock()
	o := r.orders[service]
	ended := o == nil || (o.phase.Final() && o.wrote == o.phase.State())
	r.mu.Unlock()
	if ended || !r.asked(ctx, o) {
		return
	}
	if state := r.judge(o, clock.Now()); state != "" {
		r.write(ctx, o, state)
	}
}

// judge takes in what is known of an order, and returns the state that operators are to
// be told, "" when they know. It is completed only once the store says so: then the old
// targets end.
func (r *Rollouts) judge(o *order, now time.Time) hookhall.RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := o.situation(now)
	next, why := s.Next()
	if next != o.phase {
		r.Log.Info("A roll-out is decided.", "service", o.Service, "version", o.Version, "phase", next, "why", why, "age", s.Age, "at_old", s.AtOld, "evidence", s.Evidence)
	}
	if next != rollout.Completed {
		r.enter(o, next, "this process", now)
	}
	if state := next.State(); state != o.wrote {
		return state
	}
	return ""
}

// situation is what the owner knows. The caller holds the lock.
func (o *order) situation(now time.Time) rollout.Situation {
	s := rollout.Situation{Phase: o.phase, Age: now.Sub(o.heard), Time: o.Time, AtOld: o.atOld, Evidence: rollout.Evidence{}}
	if !o.moved.IsZero() {
		s.Moved = now.Sub(o.moved)
	}
	s.Evidence.Add(o.counts)
	for _, w := range o.told {
		s.Evidence.Add(w.Evidence)
		if now.Sub(w.at) < wordKeeps {
			s.AtOld += w.AtOld
		}
	}
	return s
}

// asked reads the state in the store once: another owner may have been before.
func (r *Rollouts) asked(ctx context.Context, o *order) bool {
	r.mu.Lock()
	known := o.asked
	r.mu.Unlock()
	if known {
		return true
	}
	item, _, err := r.Store.Get(ctx, r.Keys.StatusKey(o.Service))
	if err != nil {
		r.Log.Warn("The state of a roll-out can't be read; nothing is decided before.", "service", o.Service, "error", err.Error())
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.asked, o.status = true, item.Revision
	if item.Revision > o.Revision {
		r.adopt(o, item)
	}
	return true
}

// adopt takes over the state that another process has written. The caller holds r.mu.
func (r *Rollouts) adopt(o *order, item hookhall.Item) {
	status, err := r.Keys.ReadStatus(item.Value)
	if err != nil || status.Version != o.Version {
		return // the state of another order, or of nobody's
	}
	o.wrote = status.State
	if status.State.Final() && o.phase.Final() {
		o.phase = rollout.PhaseOf(status.State) // two owners decided; operators were told this
		return
	}
	r.enter(o, rollout.PhaseOf(status.State), "store", clock.Now())
}

// write tells operators a state, unless another process has told one meanwhile.
func (r *Rollouts) write(ctx context.Context, o *order, state hookhall.RolloutState) {
	value, err := r.Keys.WriteStatus(hookhall.RolloutStatus{Version: o.Version, State: state})
	if err != nil {
		r.Log.Error("The state of a roll-out can't be encoded.", "service", o.Service, "error", err.Error())
		return
	}
	at, err := r.Store.Swap(ctx, r.Keys.StatusKey(o.Service), value, o.status)
	if err != nil {
		r.mu.Lock()
		o.asked = false // it may have been written all the same, or by another process
		r.mu.Unlock()
		if !errors.Is(err, hookhall.ErrConflict) {
			r.Log.Warn("The state of a roll-out can't be written; it is tried again.", "service", o.Service, "state", state, "error", err.Error())
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.wrote, o.status = state, at
	r.enter(o, rollout.PhaseOf(state), "store", clock.Now())
	r.Log.Info("Operators are told the state of a roll-out.", "service", o.Service, "version", o.Version, "state", state)
}
