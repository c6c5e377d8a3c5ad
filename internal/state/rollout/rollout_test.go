// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// version is the behaviour of a simulated version.
type version struct {
	failureRate float64
	slowRate    float64 // share of its responses that take eight times as long
	faultAfter  int     // responses before the first that may fail or be slow
}

// respond returns the tally of response n, counted from 0.
func (v version) respond(r *rand.Rand, n int) Tally {
	t := Tally{Answers: 1, Took: time.Duration((20 + 200*r.ExpFloat64()) * float64(time.Millisecond))}
	if n < v.faultAfter {
		return t
	}
	if r.Float64() < v.slowRate {
		t.Took *= 8
	}
	if r.Float64() < v.failureRate {
		t.Bad = 1
	}
	return t
}

// simulate sends requests of two routes to both versions, the canary share of them to the
// candidate, and returns the number of the request after which a regression was found, -1 if
// none was.
func simulate(r *rand.Rand, old, candidate version, requests int) int {
	e := Evidence{}
	for n := range requests {
		route := "a"
		if r.Float64() < 0.2 {
			route = "b"
		}
		v := e[route]
		if r.Float64() < CanaryShare(0.1) {
			v.New.add(candidate.respond(r, v.New.Answers))
		} else {
			v.Old.add(old.respond(r, v.Old.Answers))
		}
		e[route] = v
		if e.regression() != "" {
			return n
		}
	}
	return -1
}

// TestGoodVersions guards against rejecting versions that fail as often as the old one, which
// repeated evaluation after each response makes likely with an ordinary test.
func TestGoodVersions(t *testing.T) {
	for name, v := range map[string]version{"never fails": {}, "fails rarely": {failureRate: 0.02}, "fails often": {failureRate: 0.14}} {
		t.Run(name, func(t *testing.T) {
			falseAlarms := 0
			for seed := range 400 {
				if simulate(rand.New(rand.NewPCG(uint64(seed), 1)), v, v, 3000) >= 0 {
					falseAlarms++
				}
			}
			if falseAlarms > 4 {
				t.Errorf("%d of 400 good versions were rejected", falseAlarms)
			}
		})
	}
}

// TestBadVersions guards against finding a version too late that fails or delays half of its
// responses: it must be found within 80 responses after its first fault, that is, some 40
// bad ones, and so long before 50.
func TestBadVersions(t *testing.T) {
	for name, c := range map[string]struct{ old, candidate version }{
		"fails": {version{}, version{failureRate: 0.5}},
		"fails more often than an unreliable one": {version{failureRate: 0.14}, version{failureRate: 0.57}},
		"is slow":     {version{}, version{slowRate: 0.5}},
		"fails later": {version{}, version{failureRate: 0.5, faultAfter: 30}},
	} {
		t.Run(name, func(t *testing.T) {
			foundLate := 0
			for seed := range 200 {
				n := simulate(rand.New(rand.NewPCG(uint64(seed), 2)), c.old, c.candidate, 4000)
				responses := float64(n)*CanaryShare(0.1) - float64(2*c.candidate.faultAfter)
				if n < 0 || responses > 80 {
					foundLate++
				}
			}
			if foundLate > 6 {
				t.Errorf("%d of 200 versions were found late or never", foundLate)
			}
		})
	}
}

// TestExposure guards against a canary that gets more requests than the bound, over any
// number of processes and restarts, although no process counts them.
func TestExposure(t *testing.T) {
	const bound, slack = 0.1, 50
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		requests := rapid.IntRange(1, 20000).Draw(t, "requests")
		canaryRequests := 0
		for range requests {
			if r.Float64() < CanaryShare(bound) {
				canaryRequests++
			}
		}
		if float64(canaryRequests) > bound*float64(requests)+slack {
			t.Fatalf("%d of %d requests went to the canary", canaryRequests, requests)
		}
	})
}

// TestPhases guards against each wrong transition between phases.
func TestPhases(t *testing.T) {
	const timeLimit = 16 * time.Second
	good := Evidence{"a": {Old: Tally{Answers: 500, Took: 50 * time.Second}, New: Tally{Answers: 30, Took: 3 * time.Second}}}
	failing := Evidence{"a": {Old: Tally{Answers: 500}, New: Tally{Answers: 20, Bad: 10}}}
	oneRoute := Evidence{"a": good["a"], "b": {Old: Tally{Answers: 50}, New: Tally{Answers: 12, Bad: 6}}}
	for _, c := range []struct {
		name string
		p    Progress
		want Phase
	}{
		{"new rollout", Progress{Phase: Unknown, TimeLimit: timeLimit}, Canary},
		{"canary, time not over", Progress{Phase: Canary, Age: 8 * time.Second, TimeLimit: timeLimit, Evidence: good}, Canary},
		{"no regression for long enough", Progress{Phase: Canary, Age: 9 * time.Second, TimeLimit: timeLimit, Evidence: good}, Draining},
		{"failures", Progress{Phase: Canary, Age: 2 * time.Second, TimeLimit: timeLimit, Evidence: failing}, RolledBack},
		{"failures on one route", Progress{Phase: Canary, Age: 2 * time.Second, TimeLimit: timeLimit, Evidence: oneRoute}, RolledBack},
		{"failures while it gets all requests", Progress{Phase: Draining, Age: 10 * time.Second, TimeLimit: timeLimit, Evidence: failing}, RolledBack},
		{"no response although there are requests", Progress{Phase: Canary, Age: 9 * time.Second, TimeLimit: timeLimit, Evidence: Evidence{"a": {Old: Tally{Answers: 300}}}}, RolledBack},
		{"no requests", Progress{Phase: Canary, Age: 9 * time.Second, TimeLimit: timeLimit}, Draining},
		{"requests run at old targets", Progress{Phase: Draining, DrainingTime: 3 * time.Second, ActiveAtOld: 2, Age: 12 * time.Second, TimeLimit: timeLimit, Evidence: good}, Draining},
		{"no requests run at old targets", Progress{Phase: Draining, DrainingTime: 3 * time.Second, Age: 12 * time.Second, TimeLimit: timeLimit, Evidence: good}, Completed},
		{"no requests run at old targets, too early", Progress{Phase: Draining, DrainingTime: time.Millisecond, Age: 12 * time.Second, TimeLimit: timeLimit, Evidence: good}, Draining},
		{"time limit reached", Progress{Phase: Draining, DrainingTime: time.Second, ActiveAtOld: 2, Age: timeLimit - time.Millisecond, TimeLimit: timeLimit, Evidence: good}, Completed},
		{"completed", Progress{Phase: Completed, Age: timeLimit, TimeLimit: timeLimit, Evidence: failing}, Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, reason := c.p.Next(); got != c.want {
				t.Errorf("phase is %d (%s), want %d", got, reason, c.want)
			}
		})
	}
}

// TestJoin guards against a phase that goes back, or a final one that changes, when phases
// are received in any order.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Unknown
		for range 10 {
			before := p
			p = p.Join(Phase(rapid.IntRange(int(Unknown), int(RolledBack)).Draw(t, "heard")))
			if p < before || (before.Final() && p != before) {
				t.Fatalf("phase %d follows %d", p, before)
			}
		}
	})
}
