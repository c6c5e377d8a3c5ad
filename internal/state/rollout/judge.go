// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"
)

const (
	// falseAlarm bounds the chance that a route of a good version looks bad, if the old
	// version's rate of failures is known.
	falseAlarm = 1e-4
	// failsMore is by how much more often than the old version a bad one is supposed to
	// fail. A larger true difference is found sooner, one below half of it never.
	failsMore = 0.2
	// failsLeast stands for the failures of an old version that has shown none yet.
	failsLeast = 0.01
	// slowFactor is how many times as long as the old version's the answers of a slow one
	// take in the mean, and slowLeast by how much more.
	slowFactor = 2.5
	slowLeast  = 20 * time.Millisecond
	// slowAnswers is how many answers the mean needs: times differ by prompt.
	slowAnswers = 16
)

// Tally sums up answers.
type Tally struct {
	Answers int
	Bad     int           // failures among them
	Took    time.Duration // in all, to the head of each answer
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Bad += o.Bad
	t.Took += o.Took
}

// mean is the time of one answer.
func (t Tally) mean() time.Duration {
	if t.Answers == 0 {
		return 0
	}
	return t.Took / time.Duration(t.Answers)
}

// Versions are the answers of the old and the new version to the same requests.
type Versions struct{ Old, New Tally }

// Evidence has them by route.
type Evidence map[string]Versions

// Add takes another process's evidence in.
func (e Evidence) Add(o Evidence) {
	for route, v := range o {
		sum := e[route]
		sum.Old.add(v.Old)
		sum.New.add(v.New)
		e[route] = sum
	}
}

// all sums up the routes.
func (e Evidence) all() (v Versions) {
	for _, r := range e {
		v.Old.add(r.Old)
		v.New.add(r.New)
	}
	return v
}

// bad says what is wrong with the new version, "" while nothing is known to be.
func (e Evidence) bad() string {
	all := e.all()
	if all.fails(all.Old) {
		return "it fails more often"
	}
	for route, v := range e {
		old := v.Old
		if old.Answers == 0 {
			old = all.Old
		}
		switch {
		case v.fails(old):
			return "it fails more often on route " + route
		case v.Old.Answers >= slowAnswers && v.slow():
			return "it is slower on route " + route
		}
	}
	return ""
}

// fails is the sequential probability ratio test of failsMore against nothing.
func (v Versions) fails(old Tally) bool {
	same := (float64(old.Bad)+failsLeast*10)/(float64(old.Answers)+10) + failsLeast
	more := math.Min(same+failsMore, 0.99)
	if same >= more {
		return false
	}
	good := float64(v.New.Answers - v.New.Bad)
	ratio := float64(v.New.Bad)*math.Log(more/same) + good*math.Log((1-more)/(1-same))
	return ratio >= math.Log(1/falseAlarm)
}

// slow compares the times of answers.
func (v Versions) slow() bool {
	if v.New.Answers < slowAnswers {
		return false
	}
	old := v.Old.mean()
	return v.New.mean() > time.Duration(slowFactor*float64(old))+slowLeast
}
