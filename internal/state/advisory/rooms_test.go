// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory_test

import (
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

// brittle is the advisory of a target that bears a number of rejections a second.
func brittle(maxRejections float64) hookhall.Advisory {
	return hookhall.Advisory{Brittle: true, MaxRejections: maxRejections}
}

// brittleRegistry returns a registry with one brittle target.
func brittleRegistry(maxRejections float64) *advisory.Registry {
	r := &advisory.Registry{}
	r.Record(currentIncarnation, brittle(maxRejections), at(0), at(0))
	return r
}

// checkRoom fails unless a target with four slots may hold want requests, or any number if want is
// negative.
func checkRoom(t *testing.T, rooms advisory.Rooms, incarnation hookhall.Incarnation, now time.Time, want int) {
	t.Helper()
	target := &hookhall.Target{ID: incarnation.ID, Start: incarnation.Start}
	if got, isBrittle := rooms.Room(target, 4, now); isBrittle != (want >= 0) || (isBrittle && got != want) {
		t.Errorf("room for %d, brittle %v, want %d", got, isBrittle, want)
	}
}

// TestBrittleEnds guards against brittle targets that are taken for sturdy ones because of the
// response to an earlier call, and against bounds that outlive their announcement.
func TestBrittleEnds(t *testing.T) {
	for name, c := range map[string]struct {
		sent time.Duration // of the call whose response announces nothing
		want int
	}{"response to a later call ends it": {time.Second, -1}, "response to an earlier call does not": {-time.Millisecond, 4}} {
		t.Run(name, func(t *testing.T) {
			r := brittleRegistry(5)
			r.Record(currentIncarnation, hookhall.Advisory{}, at(c.sent), at(2*time.Second))
			checkRoom(t, advisory.Rooms{Registry: r}, currentIncarnation, at(2*time.Second), c.want)
		})
	}
	t.Run("a new incarnation starts without", func(t *testing.T) {
		checkRoom(t, advisory.Rooms{Registry: brittleRegistry(5)}, hookhall.Incarnation{ID: "target", Start: 2}, at(0), -1)
	})
	t.Run("the end is reported to peers", func(t *testing.T) {
		r := brittleRegistry(5)
		c := r.Record(currentIncarnation, hookhall.Advisory{}, at(time.Second), at(2*time.Second))
		if !c.Notify {
			t.Error("peers are not notified")
		}
		other := brittleRegistry(5)
		other.Merge(advisory.Report{Target: hookhall.Target{ID: "target", Start: 1}, Brittle: c.After.Brittle}, at(2*time.Second))
		checkRoom(t, advisory.Rooms{Registry: other}, currentIncarnation, at(2*time.Second), -1)
	})
	t.Run("an older report changes nothing", func(t *testing.T) {
		r := brittleRegistry(5)
		r.Merge(advisory.Report{Target: hookhall.Target{ID: "target", Start: 1}, Brittle: advisory.Brittle{Heard: at(-time.Second)}}, at(time.Second))
		checkRoom(t, advisory.Rooms{Registry: r}, currentIncarnation, at(time.Second), 4)
	})
}

// TestRejectionsWithholdRoom guards against requests that go on being sent to a brittle target
// that rejects them, and against room that is never used again.
func TestRejectionsWithholdRoom(t *testing.T) {
	r := brittleRegistry(5)
	rooms := advisory.Rooms{Registry: r}
	checkRoom(t, rooms, currentIncarnation, at(0), 4)
	r.RecordRejection(currentIncarnation, at(0))
	checkRoom(t, rooms, currentIncarnation, at(390*time.Millisecond), 0)
	checkRoom(t, rooms, currentIncarnation, at(400*time.Millisecond), 3)
	for range 10 {
		r.RecordRejection(currentIncarnation, at(500*time.Millisecond))
	}
	checkRoom(t, rooms, currentIncarnation, at(950*time.Millisecond), 1)
	checkRoom(t, rooms, currentIncarnation, at(time.Minute), 4)
	t.Run("of a sturdy target they don't", func(t *testing.T) {
		r := &advisory.Registry{}
		r.Record(currentIncarnation, limited(1), at(0), at(0))
		r.RecordRejection(currentIncarnation, at(0))
		if r.RejectionPause(currentIncarnation, at(0)) > 0 {
			t.Error("it is paused")
		}
	})
}

// TestRejectionRate guards against more rejections than a brittle target bears, if each pause is
// followed by another rejection, and against pauses without an end.
func TestRejectionRate(t *testing.T) {
	for _, maxRejections := range []float64{0, 0.1, 1, 2, 5, 20, 1e300} {
		r := brittleRegistry(maxRejections)
		r.RecordRejection(currentIncarnation, at(0))
		pause := r.RejectionPause(currentIncarnation, at(0))
		if rate := 1 / pause.Seconds(); rate > maxRejections && pause < 2*time.Second {
			t.Errorf("%g rejections a second, %g are borne", rate, maxRejections)
		}
		if pause < 200*time.Millisecond || pause > 2*time.Second {
			t.Errorf("pause of %v", pause)
		}
	}
}

// TestRoomShares checks the room of a process that does not own the placement.
func TestRoomShares(t *testing.T) {
	rooms := advisory.Rooms{Registry: brittleRegistry(5), Share: func(slots int, target string) int { return slots / 2 }}
	checkRoom(t, rooms, currentIncarnation, at(0), 2)
	t.Run("unknown slots", func(t *testing.T) {
		target := &hookhall.Target{ID: currentIncarnation.ID, Start: currentIncarnation.Start}
		if got, _ := (advisory.Rooms{Registry: brittleRegistry(5)}).Room(target, 0, at(0)); got != 1 {
			t.Errorf("room for %d", got)
		}
	})
}
