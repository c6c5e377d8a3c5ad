// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// roomPause is how long a target that had no room is left alone, unless
	// something is given up there.
	roomPause = 40 * time.Millisecond
	// failPause is the first pause after a failed call; it doubles.
	failPause = 100 * time.Millisecond
	// failPauseMost bounds it.
	failPauseMost = 2 * time.Second
	// slowCall is how many times the expected time a call may take before the
	// target is held to be stuck, and others are preferred.
	slowCall = 3
)

// Seat is what the queue knows of one target.
type Seat struct {
	Target hookhall.Target
	busy   int
	held   map[string]held // results by handle
	bytes  float64         // of held, and of calls at work
	until  time.Time       // left alone until then
	fails  int
	pace   float64 // its calls' time against what was expected, 1 being as expected
}

type held struct {
	bytes  float64
	expiry time.Time
}

func newSeat(t hookhall.Target) *Seat {
	return &Seat{Target: t, held: map[string]held{}, pace: 1}
}

// expire drops what the pool has dropped itself.
func (s *Seat) expire(now time.Time) {
	for h, r := range s.held {
		if now.After(r.expiry) {
			s.free(h)
		}
	}
}

func (s *Seat) free(handle string) bool {
	r, ok := s.held[handle]
	if ok {
		s.bytes -= r.bytes
		delete(s.held, handle)
	}
	return ok
}

func (s *Seat) failed(now time.Time) {
	pause := min(failPause<<min(s.fails, 8), failPauseMost)
	s.fails++
	s.until = now.Add(pause)
}

// learn takes in how long a call took against what was expected.
func (s *Seat) learn(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), 10)
	s.pace += (ratio - s.pace) / 3
}
