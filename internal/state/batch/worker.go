// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// roomPause is how long a target that reported no room gets no calls, unless a
	// result there is released before: a tenth of a short call.
	roomPause = 40 * time.Millisecond
	// failPause is the first pause after a failed call; it doubles with each. A
	// crashed target is noticed within a call, and one that restarts is back soon.
	failPause = 100 * time.Millisecond
	// failPauseMost bounds it.
	failPauseMost = 2 * time.Second
	// slowPace is the pace from which a target counts as slow: it takes half as long
	// again as its calls should.
	slowPace = 1.5
	// overdueAfter is how many times the expected time, at the target's pace, a
	// call may take before its pieces are offered to others as well.
	overdueAfter = 1.8
	// readShare is the part of a call's fixed time after which its inputs have been
	// read. A target reads them when the call's turn comes, which takes some
	// milliseconds, and then spends the fixed time: half of it is well past that.
	// readLeast is for pools whose fixed time is short: some twenty round trips
	// between halls.
	readShare = 0.5
	readLeast = 80 * time.Millisecond
	// paceMost bounds the pace that is believed of a call in progress.
	paceMost = 2.0
)

// worker is what the queue knows of one life of a target.
type worker struct {
	Target hookhall.Target
	busy   int
	held   map[string]held // results by handle
	bytes  float64         // of held, and of calls at work
	noRoom time.Time       // gets no calls until then, or until a result is released
	until  time.Time       // left alone until then: calls failed
	fails  int
	pace   float64 // its calls' time against what was expected, 1 being as expected
	// gone is set while calls are at work at a target that is not named any more.
	gone bool
	// counted is set while the queue counts it among those that work.
	counted bool
}

type held struct {
	bytes  float64
	expiry time.Time
}

func newWorker(t hookhall.Target) *worker {
	return &worker{Target: t, held: map[string]held{}, pace: 1}
}

// works tells whether calls may be expected to go well there.
func (s *worker) works() bool { return !s.Target.Leaving && s.fails == 0 && s.pace < slowPace }

// open tells whether the target may get a call.
func (s *worker) open(slots int, now time.Time) bool {
	return s.busy < max(slots, 1) && !s.Target.Leaving && !now.Before(s.until) && !now.Before(s.noRoom)
}

func (s *worker) failed(now time.Time) {
	pause := min(failPause<<min(s.fails, 8), failPauseMost)
	s.fails++
	s.until = now.Add(pause)
}

// patience is how long a call may take before others are asked as well.
func (s *worker) patience(expected time.Duration) time.Duration {
	return time.Duration(overdueAfter * min(max(s.pace, 1), paceMost) * float64(expected))
}

// learn takes in how long a call took against what was expected.
func (s *worker) learn(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), 10)
	s.pace += (ratio - s.pace) / 3
}
