// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"

	"github.com/hookhall/hookhall"
)

// Phase is the progress of a Rollout. Later phases are greater.
type Phase int

// The phases, in their order.
const (
	// Unknown means that this process has received the Rollout but not yet its phase. The new
	// version gets no requests.
	Unknown Phase = iota
	// Canary means that the new version gets a share of the requests.
	Canary
	// Draining means that the new version gets all new requests while those at old targets
	// finish.
	Draining
	// Completed means that the old version is no longer needed.
	Completed
	// RolledBack means that the old version gets all requests again.
	RolledBack
)

// Final reports whether the Rollout has ended.
func (p Phase) Final() bool { return p >= Completed }

// State returns the state that operators see.
func (p Phase) State() hookhall.RolloutState {
	switch p {
	case Completed:
		return hookhall.RolloutCompleted
	case RolledBack:
		return hookhall.RolloutRolledBack
	}
	return hookhall.RolloutRunning
}

// PhaseOf returns the phase for a stored state. A running Rollout is at least in Canary.
func PhaseOf(s hookhall.RolloutState) Phase {
	switch s {
	case hookhall.RolloutCompleted:
		return Completed
	case hookhall.RolloutRolledBack:
		return RolledBack
	}
	return Canary
}

// Join returns the phase of a process in phase p that receives the phase of another process:
// p if it is final, the later one otherwise.
func (p Phase) Join(other Phase) Phase {
	if p.Final() {
		return p
	}
	return max(p, other)
}

const (
	// boundShare is the part of the bound that a canary's share is expected to reach, so that
	// random variation may double the share without exceeding the bound.
	boundShare = 0.5
	// canaryTimeShare is the part of a Rollout's time for which the new version is a canary.
	// Some versions fail only after seconds, and the rest of the time has to suffice for the
	// requests that still run at old targets.
	canaryTimeShare = 0.55
	// minDrainingTime is how long all requests go to the new version before the Rollout may be
	// completed, even if none runs at old targets, since gateways learn of a phase at
	// slightly different times.
	minDrainingTime = time.Second
	// completionMargin is how long before its time limit a Rollout is completed even if
	// requests still run at old targets.
	completionMargin = 700 * time.Millisecond
	// minOldResponses is the number of responses of the old version from which a canary
	// without any response is rejected at its end; with fewer it is accepted.
	minOldResponses = 60
)

// CanaryShare returns the probability with which a request is sent to a canary. bound is the
// maximum share of all requests that the canary may get, from 0 to 1.
func CanaryShare(bound float64) float64 { return boundShare * bound }

// CanaryTargets returns the number of targets of the new version that are used as canaries,
// at least 1: as many as handle its share if each gets the same load as one of the
// oldTargets, so that the version is judged under load. bound is that of CanaryShare.
func CanaryTargets(bound float64, oldTargets int) int {
	return max(int(math.Ceil(CanaryShare(bound)*float64(oldTargets))), 1)
}

// Progress is the state of a Rollout as its owner knows it.
type Progress struct {
	Phase     Phase
	Age       time.Duration // since a process first received the Rollout
	TimeLimit time.Duration // limit that operators set for the Rollout
	// DrainingTime is how long all requests have gone to the new version.
	DrainingTime time.Duration
	// ActiveAtOld is the number of requests that run at old targets.
	ActiveAtOld int
	Evidence    Evidence
}

// Next returns the phase that follows, and why. It returns the current phase and "" if
// nothing changes.
func (p Progress) Next() (Phase, string) {
	if p.Phase.Final() {
		return p.Phase, ""
	}
	if reason := p.Evidence.regression(); reason != "" {
		return RolledBack, reason
	}
	switch p.Phase {
	case Unknown:
		return Canary, "rollout is new"
	case Canary:
		return p.endCanary()
	}
	oldIdle := p.ActiveAtOld == 0 && p.DrainingTime >= minDrainingTime
	if oldIdle || p.Age >= p.TimeLimit-completionMargin {
		return Completed, "new version serves all requests"
	}
	return p.Phase, ""
}

// endCanary returns the phase that follows the canary, and why, once canaryTimeShare of the
// time has passed.
func (p Progress) endCanary() (Phase, string) {
	if p.Age < time.Duration(canaryTimeShare*float64(p.TimeLimit)) {
		return p.Phase, ""
	}
	total := p.Evidence.total()
	if total.New.Answers == 0 && total.Old.Answers >= minOldResponses {
		return RolledBack, "new version has not responded"
	}
	return Draining, "no regression found"
}
