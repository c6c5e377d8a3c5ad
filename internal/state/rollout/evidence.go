// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math"
	"time"
)

const (
	// falseAlarm bounds the probability that a good version is rejected for failures on a
	// route, if the old version's failure rate is known.
	falseAlarm = 1e-4
	// testedFailureRateIncrease is the difference to the old version's failure rate for
	// which the test is designed. A larger difference is found sooner, one well below half of
	// it may never be found.
	testedFailureRateIncrease = 0.2
	// minFailureRate is added to the old version's failure rate, so that the test is defined
	// for one that has not failed yet.
	minFailureRate = 0.01
	// slowFactor and minSlowdown define a slow version: its mean response time exceeds
	// slowFactor times that of the old version by more than minSlowdown.
	slowFactor  = 2.5
	minSlowdown = 20 * time.Millisecond
	// minResponsesForMean is the number of responses of each version from which their means
	// are compared: response times differ by prompt, so the mean of fewer varies too much.
	minResponsesForMean = 16
)

// Tally is a sum over responses.
type Tally struct {
	Answers int           // number of responses
	Bad     int           // failures among them
	Took    time.Duration // sum of the times to the head of each response
}

// add adds the responses of o.
func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Bad += o.Bad
	t.Took += o.Took
}

// mean returns the mean time to the head of a response, 0 if there are none.
func (t Tally) mean() time.Duration {
	if t.Answers == 0 {
		return 0
	}
	return t.Took / time.Duration(t.Answers)
}

// Comparison holds the tallies of the old and the new version for the same route and time.
type Comparison struct{ Old, New Tally }

// Evidence holds the tallies of both versions by route. Logs print it with the names of its
// fields.
type Evidence map[string]Comparison

// Add adds another process's evidence o; e must not be nil.
func (e Evidence) Add(o Evidence) {
	for route, v := range o {
		sum := e[route]
		sum.Old.add(v.Old)
		sum.New.add(v.New)
		e[route] = sum
	}
}

// total returns the sum over all routes.
func (e Evidence) total() (v Comparison) {
	for _, r := range e {
		v.Old.add(r.Old)
		v.New.add(r.New)
	}
	return v
}

// regression returns why the new version is worse than the old one, "" if there is no
// evidence that it is. A route without responses of the old version is compared with the
// failure rate of all routes.
func (e Evidence) regression() string {
	total := e.total()
	if total.failsMore(total.Old) {
		return "failure rate is higher"
	}
	for route, v := range e {
		old := v.Old
		if old.Answers == 0 {
			old = total.Old
		}
		switch {
		case v.failsMore(old):
			return "failure rate is higher on route " + route
		case v.Old.Answers >= minResponsesForMean && v.isSlow():
			return "response time is higher on route " + route
		}
	}
	return ""
}

// failsMore reports whether the new version fails more often than old, by a sequential
// probability ratio test of a failure rate that is testedFailureRateIncrease higher against
// an equal one. The old rate is estimated as if 10 more responses had failed at
// minFailureRate, so that few responses don't give an extreme rate.
func (v Comparison) failsMore(old Tally) bool {
	equalRate := (float64(old.Bad)+minFailureRate*10)/(float64(old.Answers)+10) + minFailureRate
	higherRate := math.Min(equalRate+testedFailureRateIncrease, 0.99)
	if equalRate >= higherRate {
		return false
	}
	successes := float64(v.New.Answers - v.New.Bad)
	logRatio := float64(v.New.Bad)*math.Log(higherRate/equalRate) + successes*math.Log((1-higherRate)/(1-equalRate))
	return logRatio >= math.Log(1/falseAlarm)
}

// isSlow reports whether the new version's mean response time shows that it is slow.
func (v Comparison) isSlow() bool {
	if v.New.Answers < minResponsesForMean {
		return false
	}
	oldMean := v.Old.mean()
	return v.New.mean() > time.Duration(slowFactor*float64(oldMean))+minSlowdown
}
