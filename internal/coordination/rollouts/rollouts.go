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
	"github.com/pkg/errors"
)

// Fleet finds the processes that own rollouts.
type Fleet interface {
	// Self returns this process.
	Self() hookhall.Member
	// Owner returns the process that owns a key at now. It is none of those in skip, which
	// has addresses as keys.
	Owner(key string, skip map[string]bool, now time.Time) hookhall.Member
	// Suspect records that the process at an address did not answer.
	Suspect(address string, now time.Time)
}

// ErrNoAnswer is wrapped by errors of a Remote whose process has not answered.
var ErrNoAnswer = errors.New("the process does not answer")

// Remote sends reports to another process.
type Remote interface {
	// Tally sends a report to an owner and returns the progress of the reported rollouts. Its error wraps
	// ErrNoAnswer unless the owner has answered with one.
	Tally(ctx context.Context, r Report) ([]Progress, error)
}

// Directory lists targets.
type Directory interface {
	// Targets returns the targets of a service, of all versions.
	Targets(service string) []hookhall.Target
}

// Progress is a rollout with its phase and age, as one process knows them.
type Progress struct {
	hookhall.Rollout
	Phase rollout.Phase
	// Age is the time since the rollout was first received, by this process or by a peer
	// that it learned the rollout from.
	Age time.Duration
}

// Snapshot holds the rollouts in force at a revision of the store.
type Snapshot struct {
	Revision hookhall.Revision
	List     []Progress
}

// Tally is the totals that one process has counted for a rollout.
type Tally struct {
	Progress
	Evidence      rollout.Evidence // answers of both versions
	InFlightAtOld int              // requests in progress at targets of the old version
}

// Report carries the totals of one process to an owner.
type Report struct {
	Reporter string // its address
	Tallies  []Tally
}

// Rollouts holds the rollouts that this process knows, and the totals that it has counted
// for them. It is safe for concurrent use; its exported fields are set before the first use.
type Rollouts struct {
	Keys      hookhall.RolloutSchema
	Store     hookhall.Store
	Fleet     Fleet
	Remote    func(address string) Remote // returns the client of a process
	Directory Directory
	// MaxCanaryShare bounds the share of a service's requests, from 0 to 1, that a version
	// may get before it is known to be good.
	MaxCanaryShare float64
	Log            *log.Logger

	// hasRollouts is set while there are rollouts; without any, requests take no lock.
	hasRollouts atomic.Bool

	mu                sync.Mutex
	revision          hookhall.Revision // of the store, as of which the rollouts are in force
	rolloutsByService map[string]*trackedRollout
}

// trackedRollout is a rollout with its progress and totals. Rollouts.mu guards all fields
// except the embedded Rollout, which does not change.
type trackedRollout struct {
	hookhall.Rollout
	phase       rollout.Phase
	learnedAt   time.Time        // when it was first received, here or by a peer
	movedAt     time.Time        // when all requests went to the new version; zero before
	ownEvidence rollout.Evidence // counted by this process
	ownAtOld    int              // requests of this process in progress at old targets

	// Only the owner uses the fields that follow.
	tallyByReporter map[string]receivedTally // the latest of each process, by address
	statusLoaded    bool                     // the status was read from the store
	publishedState  hookhall.RolloutState    // in the store
	statusRevision  hookhall.Revision        // of the status in the store; only Run uses it
}

// receivedTally is the tally of another process.
type receivedTally struct {
	Tally
	receivedAt time.Time
}

// ApplyItems applies items under the operators' keys, as of revision at of the store, and reports
// whether any rollout was added, replaced or withdrawn. If complete is set, the items are all
// that the store has, and rollouts not among them are withdrawn; otherwise they are changes.
// A revision before the known one is ignored. A rollout whose item can't be decoded stays in
// force as it was.
func (r *Rollouts) ApplyItems(items []hookhall.Item, at hookhall.Revision, complete bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at < r.revision {
		return false
	}
	listed := map[string]hookhall.Rollout{}
	if !complete {
		for service, tracked := range r.rolloutsByService {
			listed[service] = tracked.Rollout
		}
	}
	for _, item := range items {
		service, ok := r.Keys.RolloutService(item.Key)
		if !ok {
			continue
		}
		if item.Deleted {
			delete(listed, service)
			continue
		}
		listedRollout, _, err := r.Keys.Rollout(item.Key, item.Value)
		if err != nil {
			r.Log.Warn("could not decode rollout; keeping the previous one", "key", item.Key, "bytes", len(item.Value), "error", err.Error())
			if previous := r.rolloutsByService[service]; previous != nil {
				listed[service] = previous.Rollout
			}
			continue
		}
		listedRollout.Revision = item.Revision
		listed[service] = listedRollout
	}
	var list []Progress
	for _, listedRollout := range listed {
		list = append(list, Progress{Rollout: listedRollout})
	}
	return r.replaceAll(Snapshot{at, list}, "store")
}

// ApplySnapshot applies the rollouts that a peer has in force, unless they are of an earlier
// revision than those here. Rollouts that the peer does not list are withdrawn.
// Revision 0, that of a peer that has not read the store, is ignored.
func (r *Rollouts) ApplySnapshot(latest Snapshot, from string) {
	if latest.Revision == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest.Revision < r.revision {
		return
	}
	r.replaceAll(latest, from)
}

// replaceAll puts the latest rollouts in force, and reports whether any was added, replaced or
// withdrawn. r.mu must be held.
func (r *Rollouts) replaceAll(latest Snapshot, from string) (changed bool) {
	r.revision = latest.Revision
	isListed := map[string]bool{}
	for _, s := range latest.List {
		isListed[s.Service] = true
		changed = r.merge(s, from) || changed
	}
	for service, known := range r.rolloutsByService {
		if !isListed[service] {
			r.Log.Info("rollout withdrawn", "service", service, "version", known.Version, "from", from)
			delete(r.rolloutsByService, service)
			changed = true
		}
	}
	r.hasRollouts.Store(len(r.rolloutsByService) > 0)
	return changed
}

// merge merges a rollout and its progress into those known, and reports whether the rollout
// is a new one. A later revision replaces the rollout together with its totals. r.mu must be
// held.
func (r *Rollouts) merge(s Progress, from string) bool {
	now := clock.Now()
	if r.rolloutsByService == nil {
		r.rolloutsByService = map[string]*trackedRollout{}
	}
	known := r.rolloutsByService[s.Service]
	if known == nil || known.Revision < s.Revision {
		known = &trackedRollout{Rollout: s.Rollout, learnedAt: now.Add(-s.Age), ownEvidence: rollout.Evidence{}, tallyByReporter: map[string]receivedTally{}}
		r.rolloutsByService[s.Service] = known
		r.Log.Info("rollout received", "service", s.Service, "version", s.Version, "time", s.Time, "revision", s.Revision, "from", from)
		r.advance(known, s.Phase, from, now)
		return true
	}
	if known.Revision > s.Revision {
		return false
	}
	if learnedAt := now.Add(-s.Age); learnedAt.Before(known.learnedAt) {
		known.learnedAt = learnedAt
	}
	r.advance(known, s.Phase, from, now)
	return false
}

// advance moves a rollout on to phase p; an earlier phase than the present one changes
// nothing. r.mu must be held.
func (r *Rollouts) advance(tracked *trackedRollout, p rollout.Phase, from string, now time.Time) {
	p = tracked.phase.Join(p)
	if p == tracked.phase {
		return
	}
	tracked.phase = p
	if tracked.movedAt.IsZero() && p >= rollout.Draining {
		tracked.movedAt = now
	}
	r.Log.Info("rollout phase changed", "service", tracked.Service, "version", tracked.Version, "phase", p, "age", now.Sub(tracked.learnedAt), "from", from)
}

// Snapshot returns the rollouts that this process knows, sorted by service.
func (r *Rollouts) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clock.Now()
	out := Snapshot{Revision: r.revision}
	for _, tracked := range r.rolloutsByService {
		out.List = append(out.List, tracked.progress(now))
	}
	slices.SortFunc(out.List, func(a, b Progress) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// progress returns the rollout and its progress. Rollouts.mu must be held.
func (t *trackedRollout) progress(now time.Time) Progress {
	return Progress{t.Rollout, t.phase, now.Sub(t.learnedAt)}
}

// Versions returns which versions of a service may run a request now; first is set for the
// request's first attempt. Only that may go to the canary, at random; a retry goes to the old
// version, since the new one may be bad. While all targets run one version, any may be used.
func (r *Rollouts) Versions(service string, first bool) balance.Versions {
	version, phase, ok := r.current(service)
	if !ok {
		return balance.Versions{}
	}
	oldCount, newCount := r.countTargets(service, version)
	switch {
	case oldCount == 0 || newCount == 0:
		return balance.Versions{} // all targets run one version
	case phase == rollout.Canary && first && rand.Float64() < rollout.CanaryShare(r.MaxCanaryShare):
		return balance.Versions{Only: version, MaxTargets: rollout.CanaryTargets(r.MaxCanaryShare, oldCount)}
	case phase == rollout.Draining || phase == rollout.Completed:
		return balance.Versions{Only: version}
	}
	return balance.Versions{Not: version}
}

// current returns the new version and the phase of a service's rollout, and false if it has none.
func (r *Rollouts) current(service string) (version string, phase rollout.Phase, ok bool) {
	if !r.hasRollouts.Load() {
		return "", rollout.Unknown, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked := r.rolloutsByService[service]
	if tracked == nil {
		return "", rollout.Unknown, false
	}
	return tracked.Version, tracked.phase, true
}

// countTargets returns how many targets of a service run another version than the given one, and how
// many run that one.
func (r *Rollouts) countTargets(service, version string) (oldCount, newCount int) {
	targets := r.Directory.Targets(service)
	for _, t := range targets {
		if t.Version != version {
			oldCount++
		}
	}
	return oldCount, len(targets) - oldCount
}

// MayGoOn reports whether a stream that a version began may go on there. While a rollout replaces
// targets, streams go on at either version. A version that was rolled back, or is no longer needed,
// gets none, unless all targets run it.
func (r *Rollouts) MayGoOn(service, version string) bool {
	newVersion, phase, ok := r.current(service)
	if !ok {
		return true
	}
	oldCount, newCount := r.countTargets(service, newVersion)
	switch {
	case oldCount == 0 || newCount == 0, phase == rollout.Canary, phase == rollout.Draining:
		return true
	case phase == rollout.Completed:
		return version == newVersion
	}
	return version != newVersion
}

// Usable returns those of a service's targets that may get calls now. During the canary
// phase these are all targets; then canary is the new version, and share the share of calls,
// from 0 to 1, that it gets. Otherwise canary is "". The targets passed in are not changed.
func (r *Rollouts) Usable(service string, targets []hookhall.Target) (list []hookhall.Target, canary string, share float64) {
	if !r.hasRollouts.Load() {
		return targets, "", 0
	}
	r.mu.Lock()
	tracked := r.rolloutsByService[service]
	if tracked == nil {
		r.mu.Unlock()
		return targets, "", 0
	}
	version, phase := tracked.Version, tracked.phase
	r.mu.Unlock()
	if phase == rollout.Canary {
		return targets, version, rollout.CanaryShare(r.MaxCanaryShare)
	}
	wantsNew := phase == rollout.Draining || phase == rollout.Completed
	isUnwanted := func(t hookhall.Target) bool { return (t.Version == version) != wantsNew }
	if !slices.ContainsFunc(targets, isUnwanted) {
		return targets, "", 0
	}
	if list = slices.DeleteFunc(slices.Clone(targets), isUnwanted); len(list) == 0 {
		return targets, "", 0 // no target runs the wanted version
	}
	return list, "", 0
}

// Attempt counts one request at a target for a rollout. On nil its methods do nothing.
type Attempt struct {
	rollouts     *Rollouts
	rollout      *trackedRollout
	route        string
	isNewVersion bool // the target runs the new version
	startedAt    time.Time
	endOnce      sync.Once
}

// Begin counts the start of an attempt at a target. It returns nil if the target's service
// has no rollout in progress; otherwise End must be called.
func (r *Rollouts) Begin(route string, t hookhall.Target) *Attempt {
	if !r.hasRollouts.Load() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	tracked := r.rolloutsByService[t.Pool]
	if tracked == nil || tracked.phase.Final() {
		return nil
	}
	a := &Attempt{rollouts: r, rollout: tracked, route: route, isNewVersion: t.Version == tracked.Version, startedAt: clock.Now()}
	if !a.isNewVersion {
		tracked.ownAtOld++
	}
	return a
}

// Answered counts an answer. took is the time to the head of the answer, and failed is set
// for a failure.
func (a *Attempt) Answered(took time.Duration, failed bool) {
	if a == nil {
		return
	}
	tally := rollout.Tally{Answers: 1, Took: took}
	if failed {
		tally.Bad = 1
	}
	comparison := rollout.Comparison{Old: tally}
	if a.isNewVersion {
		comparison = rollout.Comparison{New: tally}
	}
	a.rollouts.mu.Lock()
	defer a.rollouts.mu.Unlock()
	a.rollout.ownEvidence.Add(rollout.Evidence{a.route: comparison})
}

// Unanswered counts an attempt that was abandoned before the target answered. It counts as
// an answer that took the time so far, not as a failure.
func (a *Attempt) Unanswered() {
	if a != nil {
		a.Answered(clock.Since(a.startedAt), false)
	}
}

// End counts the end of the attempt. Further calls have no effect.
func (a *Attempt) End() {
	if a == nil || a.isNewVersion {
		return
	}
	a.endOnce.Do(func() {
		a.rollouts.mu.Lock()
		defer a.rollouts.mu.Unlock()
		a.rollout.ownAtOld--
	})
}
