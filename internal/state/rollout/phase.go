// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"

	"github.com/hookhall/hookhall"
)

// Phase is how far a Rollout has come. Later ones are greater.
type Phase int

// The phases.
const (
	// Unknown: this process has just heard of the order. The new version gets nothing.
	Unknown Phase = iota
	// Trial: the new version gets a share.
	Trial
	// Moving: it gets all, while what runs at old targets ends.
	Moving
	Completed
	RolledBack
)

// Final tells whether the Rollout has ended.
func (p Phase) Final() bool { return p >= Completed }

// State is what operators are told.
func (p Phase) State() hookhall.RolloutState {
	switch p {
	case Completed:
		return hookhall.RolloutCompleted
	case RolledBack:
		return hookhall.RolloutRolledBack
	}
	return hookhall.RolloutRunning
}

// PhaseOf is the phase that a told state stands for.
func PhaseOf(s hookhall.RolloutState) Phase {
	switch s {
	case hookhall.RolloutCompleted:
		return Completed
	case hookhall.RolloutRolledBack:
		return RolledBack
	}
	return Trial
}

// Join is the phase of a process that is in one and hears of another.
func (p Phase) Join(other Phase) Phase {
	if p.Final() {
		return p
	}
	return max(p, other)
}

const (
	// boundShare is the part of what a version on trial may get that it does: chance may
	// double the rest.
	boundShare = 0.5
	// trialTime is the part of a Rollout's time for which a version is on trial: some go
	// bad only after seconds, and the rest has to do for what still runs at old targets.
	trialTime = 0.55
	// moveLeast is how long all requests go to the new version before the old one may
	// end, though nothing runs there: gateways learn of a phase a moment apart.
	moveLeast = time.Second
	// lastMoment is how long before its time is over a Rollout ends, whatever still runs.
	lastMoment = 700 * time.Millisecond
	// enoughOld is how many answers of the old version show that the new one should have
	// had some, too.
	enoughOld = 60
)

// Share is the chance of a request to go to a version on trial, by the share that it may
// get of all.
func Share(bound float64) float64 { return boundShare * bound }

// TrialTargets is how many targets of the new version are used on trial: as many as bear
// its share when each gets as much as an old one, so that it is judged under load.
func TrialTargets(bound float64, old int) int {
	return max(int(math.Ceil(Share(bound)*float64(old))), 1)
}

// Situation is what a Rollout's owner knows of it.
type Situation struct {
	Phase Phase
	Age   time.Duration // since the order
	Time  time.Duration // that operators gave it
	// Moved is for how long all requests have gone to the new version.
	Moved time.Duration
	// AtOld is how many requests run at old targets.
	AtOld    int
	Evidence Evidence
}

// Next is the phase that follows, and why. The present one means that nothing changes.
func (s Situation) Next() (Phase, string) {
	if s.Phase.Final() {
		return s.Phase, ""
	}
	if why := s.Evidence.bad(); why != "" {
		return RolledBack, why
	}
	switch s.Phase {
	case Unknown:
		return Trial, "the order is new"
	case Trial:
		return s.endTrial()
	}
	quiet := s.AtOld == 0 && s.Moved >= moveLeast
	if quiet || s.Age >= s.Time-lastMoment {
		return Completed, "the new version serves all requests"
	}
	return s.Phase, ""
}

func (s Situation) endTrial() (Phase, string) {
	if s.Age < time.Duration(trialTime*float64(s.Time)) {
		return s.Phase, ""
	}
	all := s.Evidence.all()
	if all.New.Answers == 0 && all.Old.Answers >= enoughOld {
		return RolledBack, "the new version has answered nothing"
	}
	return Moving, "nothing bad has been seen"
}
