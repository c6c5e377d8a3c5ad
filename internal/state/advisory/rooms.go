// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package advisory

import (
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// minRejectionPause and maxRejectionPause bound how long a brittle target gets no requests
	// after it rejected one. Within them the pause allows rejectionShare of the rejections that
	// the target bears: several may be on their way when the first one is noticed.
	minRejectionPause = 200 * time.Millisecond
	maxRejectionPause = 2 * time.Second
	rejectionShare    = 0.5
	// slotReturnTime is how long after a rejection, or after the last return, a brittle target
	// gets one more request at a time, up to its slots.
	slotReturnTime = time.Second
)

// rejections holds what the rejections by a brittle target show about its capacity.
type rejections struct {
	withheld    int       // slots that are not used
	changedAt   time.Time // of withheld
	pausedUntil time.Time
}

// returnSlots returns withheld slots for the time since the last change.
func (r *rejections) returnSlots(now time.Time) {
	for r.withheld > 0 && now.Sub(r.changedAt) >= slotReturnTime {
		r.withheld--
		r.changedAt = r.changedAt.Add(slotReturnTime)
	}
}

// rejectionPause returns how long a target that bears maxRejections per second gets no requests
// after a rejection.
func rejectionPause(maxRejections float64) time.Duration {
	if maxRejections <= 0 {
		return maxRejectionPause
	}
	seconds := 1 / (rejectionShare * maxRejections)
	return max(minRejectionPause, time.Duration(min(seconds, maxRejectionPause.Seconds())*float64(time.Second)))
}

// RecordRejection records that an incarnation of a target rejected a request for lack of room. It
// has no effect unless the target is brittle.
func (r *Registry) RecordRejection(incarnation hookhall.Incarnation, now time.Time) {
	e := r.findRestricted(incarnation)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.status.Brittle.Named {
		return
	}
	e.rejections.returnSlots(now)
	e.rejections.withheld++
	e.rejections.changedAt = now
	e.rejections.pausedUntil = now.Add(rejectionPause(e.status.Brittle.MaxRejections))
}

// RejectionPause returns how long an incarnation of a brittle target gets no requests, because it
// rejected one lately; 0 or less for no pause.
func (r *Registry) RejectionPause(incarnation hookhall.Incarnation, now time.Time) time.Duration {
	e := r.findRestricted(incarnation)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejections.pausedUntil.Sub(now)
}

// Rooms bounds how many requests brittle targets hold at a time. It implements balance.Rooms.
type Rooms struct {
	Registry *Registry
	// Share returns the part of a number of slots of a target that this process may use; nil
	// stands for all of them.
	Share func(slots int, target string) int
}

// Room returns how many requests a target with the given number of slots may hold, and false if it
// is not brittle. Without rejections that is its slots; a target whose slots are unknown may
// hold one.
func (r Rooms) Room(t *hookhall.Target, slots int, now time.Time) (room int, isBrittle bool) {
	e := r.Registry.findRestricted(t.Incarnation())
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.status.Brittle.Named {
		return 0, false
	}
	if now.Before(e.rejections.pausedUntil) {
		return 0, true
	}
	e.rejections.returnSlots(now)
	room = max(slots-e.rejections.withheld, 1)
	if r.Share != nil {
		room = r.Share(room, t.ID)
	}
	return room, true
}
