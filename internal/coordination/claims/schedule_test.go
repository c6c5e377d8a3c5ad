// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/view"
)

const (
	// ciSeeds is the number of schedules that CI runs; HOOKHALL_SEEDS sets another one.
	ciSeeds          = 10
	scheduleDuration = 20 * time.Second
	scheduleKeys     = 12
	// recoveryTime is the time after the last fault within which every key must be free or
	// have its answer.
	recoveryTime = 10 * time.Second
)

// schedule runs a group of entries under random faults and view changes, in virtual time.
type schedule struct {
	*group
	names        []string
	faultsEnded  bool
	finishedRuns map[string]int // runs that ended with an answer, by key
	activeRuns   map[string]int // runs in progress, by key
	violations   []string
	// random drives the schedule and is guarded by mu. The seed doesn't determine the order
	// of concurrent calls.
	random *rand.Rand
}

func newSchedule(seed uint64) *schedule {
	names := []string{"a", "b", "c", "d"}
	s := &schedule{group: newGroup(names...), names: names, finishedRuns: map[string]int{}, activeRuns: map[string]int{}, random: rand.New(rand.NewPCG(seed, 1))}
	s.faults = s.deliverWithFaults
	return s
}

// draw returns a random number from 0 to n-1.
func (s *schedule) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// deliverWithFaults delivers a call after a delay, or after its caller has given up on it,
// or loses the call or its reply. Once the faults have ended, it delivers at once.
func (s *schedule) deliverWithFaults(ctx context.Context, deliver func()) bool {
	s.mu.Lock()
	faultsEnded := s.faultsEnded
	s.mu.Unlock()
	if faultsEnded {
		deliver()
		return true
	}
	time.Sleep(time.Duration(s.draw(30)) * time.Millisecond)
	switch percent := s.draw(100); {
	case percent < 70:
		deliver()
		return ctx.Err() == nil
	case percent < 80:
		deliver()
		return false
	case percent < 90:
		delay := time.Duration(s.draw(500)) * time.Millisecond
		go func() {
			time.Sleep(delay)
			deliver()
		}()
		return false
	}
	return false
}

// toggleMember removes a random entry from the view, or adds the missing one back. The
// entries adopt the change one by one.
func (s *schedule) toggleMember() {
	name := s.names[s.draw(len(s.names))]
	s.mu.Lock()
	if m := (hookhall.Member{ID: name + "#1", Instance: name, Hall: name, Address: name}); len(s.view.Members) == len(s.names) {
		s.view = view.Leave(s.view, m.ID, false)
	} else {
		for _, n := range s.names {
			s.view = view.Join(s.view, hookhall.Member{ID: n + "#1", Instance: n, Hall: n, Address: n})
		}
	}
	v := s.view
	s.mu.Unlock()
	for _, c := range s.entries {
		go func() {
			time.Sleep(time.Duration(s.draw(200)) * time.Millisecond)
			c.fleet.Adopt(v)
		}()
	}
}

// submit runs a key like a caller that submits it once. It returns an error if the key can't
// be run and has no answer.
func (s *schedule) submit(key string) error {
	c := s.entries[s.names[s.draw(len(s.names))]]
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	ticket, _, err := c.Acquire(ctx, key, 1)
	if ticket == nil {
		return err
	}
	s.begin(key)
	time.Sleep(time.Duration(s.draw(100)) * time.Millisecond)
	if s.draw(3) == 0 {
		s.end(key, 0)
		c.Settle(ticket, hookhall.StateReleased, nil, time.Millisecond)
		return nil
	}
	s.end(key, 1)
	c.Settle(ticket, hookhall.StateFinished, []byte(key), time.Millisecond)
	return nil
}

// begin counts the start of a run, and records a violation if the key is running or has run.
func (s *schedule) begin(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activeRuns[key]++; s.activeRuns[key] > 1 || s.finishedRuns[key] > 0 {
		s.violations = append(s.violations, fmt.Sprintf("%s was started while %d of its runs were in progress and %d had finished", key, s.activeRuns[key]-1, s.finishedRuns[key]))
	}
}

// end counts the end of a run; finished is 1 if it has an answer, else 0.
func (s *schedule) end(key string, finished int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRuns[key]--
	s.finishedRuns[key] += finished
}

// run submits keys and changes the view under faults until ctx ends, and then ends the
// faults.
func (s *schedule) run(ctx context.Context) {
	var all sync.WaitGroup
	repeat := func(pause time.Duration, f func()) {
		all.Go(func() {
			for ctx.Err() == nil {
				f()
				retry.Sleep(ctx, pause)
			}
		})
	}
	for n := range scheduleKeys {
		repeat(300*time.Millisecond, func() { _ = s.submit(fmt.Sprintf("k%d", n)) })
	}
	repeat(700*time.Millisecond, s.toggleMember)
	all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultsEnded = true
}

// repair starts loops that fetch the records that each entry should hold and lacks. Stop
// ends them.
func (s *schedule) repair(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for _, c := range s.entries {
		all.Go(func() {
			for retry.Sleep(ctx, retry.Jitter(100*time.Millisecond)) {
				c.fleet.Repair(ctx)
			}
		})
	}
	return func() { cancel(); all.Wait() }
}

// seeds returns the number of schedules to run.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("HOOKHALL_SEEDS")); err == nil {
		return n
	}
	return ciSeeds
}

// TestKeysAreFreeAfterFaults guards against keys that run twice, and keys that stay held,
// when calls are lost or late while the view changes. A key must run once at a time and at
// most once to its end. After the faults it must be free or have its answer, since every
// grant was used or released.
func TestKeysAreFreeAfterFaults(t *testing.T) {
	for seed := range uint64(seeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSchedule(seed)
				stop := s.repair(t.Context())
				ctx, cancel := context.WithTimeout(t.Context(), scheduleDuration)
				defer cancel()
				s.run(ctx)
				time.Sleep(recoveryTime)
				for n := range scheduleKeys {
					key := fmt.Sprintf("k%d", n)
					if err := s.submit(key); err != nil {
						t.Errorf("%s can't be run: %v", key, err)
					}
				}
				stop()
				for _, c := range s.entries {
					if err := c.Drain(t.Context()); err != nil {
						t.Error(err)
					}
				}
				for _, violation := range s.violations {
					t.Error(violation)
				}
			})
		})
	}
}
