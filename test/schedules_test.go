// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// defaultSeedCount is the number of schedules in CI; HOOKHALL_SEEDS overrides it.
	defaultSeedCount = 3
	// scheduleEvents is the number of events of a schedule, scheduleEntries the number of
	// entries that it runs against.
	scheduleEvents  = 14
	scheduleEntries = 5
)

// schedule injects a sequence of faults, edits and planned stops, drawn from a seed, while
// requests are sent.
type schedule struct {
	cluster  *cluster
	random   *rand.Rand
	undos    []func()
	eventLog []string
}

// logEvent adds a line to the log that is printed with the result.
func (s *schedule) logEvent(format string, args ...any) {
	s.eventLog = append(s.eventLog, fmt.Sprintf(format, args...))
}

// undoLater registers a function that undoes a fault. injectEvent runs the oldest ones
// until two are left, so that at most three faults are active at a time.
func (s *schedule) undoLater(f func()) { s.undos = append(s.undos, f) }

// injectEvent undoes the oldest faults and injects event n, from 0.
func (s *schedule) injectEvent(n int) {
	for len(s.undos) > 2 {
		s.undos[0]()
		s.undos = s.undos[1:]
	}
	p := s.cluster.entries[s.random.IntN(len(s.cluster.entries))]
	switch s.random.IntN(11) {
	case 0, 1:
		s.logEvent("kill %s", p.name)
		p.kill()
		s.undoLater(p.start)
	case 2, 3:
		s.logEvent("freeze %s", p.name)
		p.freeze()
		s.undoLater(p.thaw)
	case 4:
		s.logEvent("disconnect %s from its peers", p.name)
		disconnect(p.peersProxy)
		s.undoLater(func() { reconnect(p.peersProxy) })
	case 5:
		s.logEvent("disconnect %s from the key-value service", p.name)
		disconnect(p.kvProxy)
		s.undoLater(func() { reconnect(p.kvProxy) })
	case 6:
		s.logEvent("outage of the key-value service")
		s.cluster.kv.SetFaults(standin.KeyValueFaults{Down: true})
		s.undoLater(func() { s.cluster.kv.SetFaults(standin.KeyValueFaults{}) })
	case 7:
		s.logEvent("lost and stale replies of the key-value service")
		s.cluster.kv.SetFaults(standin.KeyValueFaults{LoseWriteAnswers: 2, StaleReads: 3, SlowMS: 30})
		s.undoLater(func() { s.cluster.kv.SetFaults(standin.KeyValueFaults{}) })
	case 8:
		s.logEvent("faults on all targets")
		s.setTargetFaults(standin.TargetFaults{LoseAnswer: 0.1, Truncate: 0.1, Misdirect: 0.1, FailBefore: 0.1, FailAfter: 0.1})
		s.undoLater(func() { s.setTargetFaults(standin.TargetFaults{}) })
	case 9:
		s.logEvent("edit")
		// During an outage the edit fails or its outcome is unknown, which is correct.
		_, _ = s.cluster.apply(fmt.Sprintf("event-%d", n), forcedEdit("accounts", "venues", "rate", fmt.Sprint(1000+n)))
	case 10:
		if p.running() {
			s.logEvent("planned stop of %s", p.name)
			p.thaw() // a frozen process doesn't handle SIGTERM
			p.stop()
			s.undoLater(p.start)
		}
	}
}

// setTargetFaults sets the faults of every target.
func (s *schedule) setTargetFaults(faults standin.TargetFaults) {
	for _, t := range s.cluster.targetsByID {
		t.SetFaults(faults)
	}
}

// finish undoes all faults, starts the entries that are down and waits until the fleet
// agrees. Claims may be incomplete, as a slot may have lost both owner and standby.
func (s *schedule) finish() {
	for _, undo := range s.undos {
		undo()
	}
	for _, p := range s.cluster.entries {
		p.thaw()
		if !p.running() {
			p.start()
		}
	}
	s.cluster.awaitEntries(len(s.cluster.entries), false)
}

// sendRequests sends a request every 8 ms until stop is closed and returns all outcomes.
// Kinds that must run once are sent with a key, up to four times, to another entry each
// time, until answered.
func (s *schedule) sendRequests(seed uint64, stop <-chan struct{}) []*load.Outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var outcomes []*load.Outcome
	kinds := s.cluster.options.profile.Kinds
	for n := 0; ; n++ {
		select {
		case <-stop:
			wg.Wait()
			return outcomes
		case <-time.After(8 * time.Millisecond):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			k := kinds[n%len(kinds)]
			k.DeadlineMS = min(k.DeadlineMS, 500)
			tag := fmt.Sprintf("s%d-%d", seed, n)
			for attempt := 0; attempt < 4; attempt++ {
				key := ""
				if !k.Repeatable {
					key = tag
				}
				o := s.cluster.send((n+attempt)%len(s.cluster.entries), k, tag, key)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				if o.Answered || k.Repeatable {
					return
				}
			}
		}()
	}
}

// seedCount returns the number of schedules to run.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("HOOKHALL_SEEDS")); err == nil {
		return n
	}
	return defaultSeedCount
}

// TestSchedules guards against double runs, false "not-run" verdicts, swapped answers and
// answers without a finished run under combined faults: a seeded random schedule of kills,
// freezes, disconnections, outages, target faults, edits and planned stops during load.
func TestSchedules(t *testing.T) {
	for seed := uint64(1); seed <= uint64(seedCount()); seed++ {
		Convey(fmt.Sprintf("Under a random schedule of faults, seed %d", seed), t, func() {
			c := newCluster(t, options{entries: scheduleEntries, retentionSeconds: 300})
			s := &schedule{cluster: c, random: rand.New(rand.NewPCG(seed, 1))}
			stop := make(chan struct{})
			done := make(chan []*load.Outcome)
			go func() { done <- s.sendRequests(seed, stop) }()
			for n := 0; n < scheduleEvents; n++ {
				s.injectEvent(n)
				time.Sleep(time.Duration(100+s.random.IntN(400)) * time.Millisecond)
			}
			s.finish()
			close(stop)
			outcomes := <-done
			a := c.audit(outcomes)
			all, _ := load.Summarize(outcomes)
			t.Logf("seed %d: %v\n%d submissions, %d answered in time, %d refused, %d lost; doubled %d, false not-run %d, swapped %d, unfounded %d",
				seed, s.eventLog, all.Requests, all.InTime, all.Refused, all.Lost, a.Doubled, a.FalseNotRun, a.Swapped, a.Unfounded)
			if a.Doubled+a.FalseNotRun+a.Swapped+a.Unfounded > 0 {
				t.Logf("examples: %v", a.Examples)
			}
			// Requests at a killed or frozen entry count as lost, which is no failure.
			So(a.Doubled, ShouldEqual, 0)
			So(a.FalseNotRun, ShouldEqual, 0)
			So(a.Swapped, ShouldEqual, 0)
			So(a.Unfounded, ShouldEqual, 0)
			So(all.InTime, ShouldBeGreaterThan, 0)
		})
	}
}
