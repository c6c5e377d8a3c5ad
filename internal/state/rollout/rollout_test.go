// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// version is how a simulated version answers.
type version struct {
	fails float64 // share of its answers
	slow  float64 // share of its answers that take eight times as long
	late  int     // answers before it fails or is slow
}

func (v version) answer(r *rand.Rand, n int) Tally {
	t := Tally{Answers: 1, Took: time.Duration((20 + 200*r.ExpFloat64()) * float64(time.Millisecond))}
	if n < v.late {
		return t
	}
	if r.Float64() < v.slow {
		t.Took *= 8
	}
	if r.Float64() < v.fails {
		t.Bad = 1
	}
	return t
}

// simulate has both versions answer requests of two routes, a share of them the new one,
// and returns the number of the request after which the new one was found bad, -1 when
// it never was.
func simulate(r *rand.Rand, old, fresh version, requests int) int {
	e := Evidence{}
	for n := range requests {
		route := "a"
		if r.Float64() < 0.2 {
			route = "b"
		}
		v := e[route]
		if r.Float64() < Share(0.1) {
			v.New.add(fresh.answer(r, v.New.Answers))
		} else {
			v.Old.add(old.answer(r, v.Old.Answers))
		}
		e[route] = v
		if e.bad() != "" {
			return n
		}
	}
	return -1
}

// TestGoodVersions: one that fails as the old one does is seldom taken for a bad one,
// though it is judged after each answer.
func TestGoodVersions(t *testing.T) {
	for name, v := range map[string]version{"never fails": {}, "fails a little": {fails: 0.02}, "fails often": {fails: 0.14}} {
		t.Run(name, func(t *testing.T) {
			alarms := 0
			for seed := range 400 {
				if simulate(rand.New(rand.NewPCG(uint64(seed), 1)), v, v, 3000) >= 0 {
					alarms++
				}
			}
			if alarms > 4 {
				t.Errorf("%d of 400 good versions were found bad", alarms)
			}
		})
	}
}

// TestBadVersions: one that fails half of its answers, or is slow with them, is found
// bad long before it has given 50 bad answers.
func TestBadVersions(t *testing.T) {
	for name, c := range map[string]struct{ old, fresh version }{
		"fails":                          {version{}, version{fails: 0.5}},
		"fails beside one that does too": {version{fails: 0.14}, version{fails: 0.57}},
		"is slow":                        {version{}, version{slow: 0.5}},
		"fails later":                    {version{}, version{fails: 0.5, late: 30}},
	} {
		t.Run(name, func(t *testing.T) {
			late := 0
			for seed := range 200 {
				n := simulate(rand.New(rand.NewPCG(uint64(seed), 2)), c.old, c.fresh, 4000)
				got := float64(n)*Share(0.1) - float64(2*c.fresh.late)
				if n < 0 || got > 80 {
					late++
				}
			}
			if late > 6 {
				t.Errorf("%d of 200 were found late or never", late)
			}
		})
	}
}

// TestExposure: over any number of processes and restarts, a version on trial gets no
// more than the bound, without anybody's account.
func TestExposure(t *testing.T) {
	const bound, slack = 0.1, 50
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		requests := rapid.IntRange(1, 20000).Draw(t, "requests")
		got := 0
		for range requests {
			if r.Float64() < Share(bound) {
				got++
			}
		}
		if float64(got) > bound*float64(requests)+slack {
			t.Fatalf("%d of %d", got, requests)
		}
	})
}

func TestPhases(t *testing.T) {
	const whole = 16 * time.Second
	good := Evidence{"a": {Old: Tally{Answers: 500, Took: 50 * time.Second}, New: Tally{Answers: 30, Took: 3 * time.Second}}}
	failing := Evidence{"a": {Old: Tally{Answers: 500}, New: Tally{Answers: 20, Bad: 10}}}
	oneRoute := Evidence{"a": good["a"], "b": {Old: Tally{Answers: 50}, New: Tally{Answers: 12, Bad: 6}}}
	for _, c := range []struct {
		name string
		s    Situation
		want Phase
	}{
		{"an order that is new", Situation{Phase: Unknown, Time: whole}, Trial},
		{"on trial", Situation{Phase: Trial, Age: 8 * time.Second, Time: whole, Evidence: good}, Trial},
		{"nothing bad for long enough", Situation{Phase: Trial, Age: 9 * time.Second, Time: whole, Evidence: good}, Moving},
		{"failures", Situation{Phase: Trial, Age: 2 * time.Second, Time: whole, Evidence: failing}, RolledBack},
		{"failures on one route", Situation{Phase: Trial, Age: 2 * time.Second, Time: whole, Evidence: oneRoute}, RolledBack},
		{"failures once it gets all", Situation{Phase: Moving, Age: 10 * time.Second, Time: whole, Evidence: failing}, RolledBack},
		{"no answer though there are requests", Situation{Phase: Trial, Age: 9 * time.Second, Time: whole, Evidence: Evidence{"a": {Old: Tally{Answers: 300}}}}, RolledBack},
		{"no requests", Situation{Phase: Trial, Age: 9 * time.Second, Time: whole}, Moving},
		{"requests run at old targets", Situation{Phase: Moving, Moved: 3 * time.Second, AtOld: 2, Age: 12 * time.Second, Time: whole, Evidence: good}, Moving},
		{"none run there any more", Situation{Phase: Moving, Moved: 3 * time.Second, Age: 12 * time.Second, Time: whole, Evidence: good}, Completed},
		{"none run there yet", Situation{Phase: Moving, Moved: time.Millisecond, Age: 12 * time.Second, Time: whole, Evidence: good}, Moving},
		{"the time is over", Situation{Phase: Moving, Moved: time.Second, AtOld: 2, Age: whole - time.Millisecond, Time: whole, Evidence: good}, Completed},
		{"completed", Situation{Phase: Completed, Age: whole, Time: whole, Evidence: failing}, Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, why := c.s.Next(); got != c.want {
				t.Errorf("phase %d (%s), not %d", got, why, c.want)
			}
		})
	}
}

// TestJoin: whatever order phases are heard in, they never go back, and the first final
// one stays.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Unknown
		for range 10 {
			before := p
			p = p.Join(Phase(rapid.IntRange(int(Unknown), int(RolledBack)).Draw(t, "heard")))
			if p < before || (before.Final() && p != before) {
				t.Fatalf("%d after %d", p, before)
			}
		}
	})
}
