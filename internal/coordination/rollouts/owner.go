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
	// reportInterval is the mean time between two reports of a process: short enough that a
	// version is rolled back within a second of the answers that show it to be bad.
	reportInterval = 250 * time.Millisecond
	// reportTimeout bounds the call that sends a report to an owner.
	reportTimeout = 300 * time.Millisecond
	// storeTimeout bounds the store calls of one decision.
	storeTimeout = 900 * time.Millisecond
	// inFlightMaxAge is the age up to which a process's last report counts as requests in
	// progress at old targets. A process that sent none for this long is taken to
	// have ended, and does not hold up the completion of a rollout.
	inFlightMaxAge = 4 * reportInterval
	// ownerKeyPrefix begins the keys by which the owners of rollouts are chosen; the service
	// follows.
	ownerKeyPrefix = "rollout/"
)

// Run reports the totals of this process to the owners of rollouts, and decides the rollouts
// that this process owns, until ctx ends.
func (r *Rollouts) Run(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(reportInterval)) {
		if r.hasRollouts.Load() {
			r.step(ctx)
		}
	}
}

// step runs one round of Run.
func (r *Rollouts) step(ctx context.Context) {
	talliesByOwner := map[string][]Tally{}
	for _, tally := range r.tallies() {
		owner := r.Fleet.Owner(ownerKeyPrefix+tally.Service, nil, clock.Now()).Address
		switch {
		case owner == r.Fleet.Self().Address:
			r.decide(ctx, tally.Service)
		case !tally.Phase.Final():
			talliesByOwner[owner] = append(talliesByOwner[owner], tally)
		}
	}
	for owner, tallies := range talliesByOwner {
		r.sendReport(ctx, owner, Report{Reporter: r.Fleet.Self().Address, Tallies: tallies})
	}
}

// tallies returns the totals of this process for all rollouts.
func (r *Rollouts) tallies() []Tally {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var list []Tally
	for _, tracked := range r.rolloutsByService {
		list = append(list, Tally{tracked.progress(now), maps.Clone(tracked.ownEvidence), tracked.ownAtOld})
	}
	return list
}

// sendReport sends a report to an owner and applies the phases in its reply.
func (r *Rollouts) sendReport(ctx context.Context, owner string, report Report) {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := r.Remote(owner).Tally(callCtx, report)
	if err != nil {
		// A suspected process loses all its roles, so only silence that this process has not caused counts.
		isSilent := ctx.Err() == nil && errors.Is(err, ErrNoAnswer)
		if isSilent {
			r.Fleet.Suspect(owner, clock.Now())
		}
		r.Log.Warn("report of rollouts failed", "owner", owner, "suspected", isSilent, "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, progress := range reply {
		if known := r.rolloutsByService[progress.Service]; known != nil && known.Revision == progress.Revision {
			r.advance(known, progress.Phase, owner, clock.Now())
		}
	}
}

// MergeReport stores the totals that another process reports to this one as the owner, and
// returns the progress of the reported rollouts, except for those of which this process
// has a later revision and those that are withdrawn.
func (r *Rollouts) MergeReport(report Report) []Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	var list []Progress
	for _, tally := range report.Tallies {
		known := r.rolloutsByService[tally.Service]
		if known == nil && tally.Revision <= r.revision {
			continue // withdrawn; the reporter has not learned of that yet
		}
		if known == nil || known.Revision < tally.Revision {
			// The reporter learned of the rollout before this process did.
			r.merge(tally.Progress, report.Reporter)
			r.hasRollouts.Store(true)
			known = r.rolloutsByService[tally.Service]
		}
		if known.Revision != tally.Revision {
			continue
		}
		r.merge(tally.Progress, report.Reporter)
		known.tallyByReporter[report.Reporter] = receivedTally{tally, now}
		list = append(list, known.progress(now))
	}
	return list
}

// decide evaluates a rollout that this process owns, and writes its status to the store if
// that changed. Only Run calls it.
func (r *Rollouts) decide(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	r.mu.Lock()
	tracked := r.rolloutsByService[service]
	ended := tracked == nil || (tracked.phase.Final() && tracked.publishedState == tracked.phase.State())
	r.mu.Unlock()
	if ended || !r.loadStatus(ctx, tracked) {
		return
	}
	if state := r.evaluate(tracked, clock.Now()); state != "" {
		r.writeStatus(ctx, tracked, state)
	}
}

// evaluate decides the next phase of a rollout, and returns the state to write to the store,
// "" if the store has it. The phase becomes Completed only after the store has accepted that
// state, since operators then stop the old targets.
func (r *Rollouts) evaluate(tracked *trackedRollout, now time.Time) hookhall.RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	progress := tracked.aggregate(now)
	next, why := progress.Next()
	if next != tracked.phase {
		r.Log.Info("rollout phase decided", "service", tracked.Service, "version", tracked.Version, "phase", next, "why", why, "age", progress.Age, "at_old", progress.ActiveAtOld, "evidence", progress.Evidence)
	}
	if next != rollout.Completed {
		r.advance(tracked, next, "this process", now)
	}
	if state := next.State(); state != tracked.publishedState {
		return state
	}
	return ""
}

// aggregate returns what the owner's decision is based on: the totals of this process and
// the latest report of each other one. Rollouts.mu must be held.
func (t *trackedRollout) aggregate(now time.Time) rollout.Progress {
	progress := rollout.Progress{Phase: t.phase, Age: now.Sub(t.learnedAt), TimeLimit: t.Time, ActiveAtOld: t.ownAtOld, Evidence: rollout.Evidence{}}
	if !t.movedAt.IsZero() {
		progress.DrainingTime = now.Sub(t.movedAt)
	}
	progress.Evidence.Add(t.ownEvidence)
	for _, received := range t.tallyByReporter {
		progress.Evidence.Add(received.Evidence)
		if now.Sub(received.receivedAt) < inFlightMaxAge {
			progress.ActiveAtOld += received.InFlightAtOld
		}
	}
	return progress
}

// loadStatus reads the status in the store, unless it was read before, and reports whether
// it is known. A previous owner may have written a status.
func (r *Rollouts) loadStatus(ctx context.Context, tracked *trackedRollout) bool {
	r.mu.Lock()
	loaded := tracked.statusLoaded
	r.mu.Unlock()
	if loaded {
		return true
	}
	item, _, err := r.Store.Get(ctx, r.Keys.StatusKey(tracked.Service))
	if err != nil {
		r.Log.Warn("could not read rollout status; decision postponed", "service", tracked.Service, "error", err.Error())
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked.statusLoaded, tracked.statusRevision = true, item.Revision
	if item.Revision > tracked.Revision {
		r.adoptStatus(tracked, item)
	}
	return true
}

// adoptStatus applies a status that another process has written. r.mu must be held.
func (r *Rollouts) adoptStatus(tracked *trackedRollout, item hookhall.Item) {
	status, err := r.Keys.ReadStatus(item.Value)
	if err != nil || status.Version != tracked.Version {
		return // the status of another rollout, or an undecodable one
	}
	tracked.publishedState = status.State
	if status.State.Final() && tracked.phase.Final() {
		tracked.phase = rollout.PhaseOf(status.State) // two owners decided; operators may have acted on the written one
		return
	}
	r.advance(tracked, rollout.PhaseOf(status.State), "store", clock.Now())
}

// writeStatus writes a state to the store for operators, unless another process has written
// the status since it was loaded. After a failure the status is loaded again.
func (r *Rollouts) writeStatus(ctx context.Context, tracked *trackedRollout, state hookhall.RolloutState) {
	value, err := r.Keys.WriteStatus(hookhall.RolloutStatus{Version: tracked.Version, State: state})
	if err != nil {
		r.Log.Error("could not encode rollout status", "service", tracked.Service, "error", err.Error())
		return
	}
	revision, err := r.Store.Swap(ctx, r.Keys.StatusKey(tracked.Service), value, tracked.statusRevision)
	if err != nil {
		r.mu.Lock()
		tracked.statusLoaded = false // this write may have succeeded, or another process has written
		r.mu.Unlock()
		if !errors.Is(err, hookhall.ErrConflict) {
			r.Log.Warn("could not write rollout status; will retry", "service", tracked.Service, "state", state, "error", err.Error())
		}
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked.publishedState, tracked.statusRevision = state, revision
	r.advance(tracked, rollout.PhaseOf(state), "store", clock.Now())
	r.Log.Info("rollout status written", "service", tracked.Service, "version", tracked.Version, "state", state)
}
