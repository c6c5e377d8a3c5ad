// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/batch"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// dispatchInterval is how often a queue with waiting pieces is dispatched again: a
	// target may accept calls again without an event in this process.
	dispatchInterval = 15 * time.Millisecond
	// dispatchDelay is how long events of a queue are collected for one dispatch. A pool of
	// 19 targets had an event every 2.3 ms. 2 ms are less than a hundredth of a call.
	dispatchDelay = 2 * time.Millisecond
)

// add queues the job of w. It is dispatched at once if it finds a free target and no other
// waiting job; else its dispatch may share the one of other events.
func (q *serviceQueue) add(j *batch.Job, w *Work) {
	q.mu.Lock()
	defer q.mu.Unlock()
	isFirst := q.queue.Waiting() == 0
	q.queue.Add(j)
	q.beginJob(w)
	if isFirst && q.mayHaveFreeSlot() {
		q.dispatchLocked()
		return
	}
	q.dispatchSoon()
}

// dispatchSoon schedules a dispatch after an event. It comes with the next regular one if no
// target has a free slot, as it can't start a call. q.mu must be held.
func (q *serviceQueue) dispatchSoon() {
	switch {
	case q.jobCount == 0:
	case q.queue.Waiting() > 0 && q.mayHaveFreeSlot():
		q.schedule(dispatchDelay)
	default:
		q.schedule(dispatchInterval)
	}
}

// mayHaveFreeSlot reports whether fewer calls are in progress than the targets run at once.
// It is true for a queue that has no targets yet. q.mu must be held.
func (q *serviceQueue) mayHaveFreeSlot() bool {
	return len(q.targets) == 0 || q.activeCalls < len(q.targets)*max(q.spec.Slots, 1)
}

// schedule schedules a dispatch after delay, unless an earlier one is scheduled. q.mu must be
// held.
func (q *serviceQueue) schedule(delay time.Duration) {
	at := clock.Now().Add(delay)
	if !q.dispatchAt.IsZero() && !at.Before(q.dispatchAt) {
		return
	}
	q.dispatchAt = at
	if q.timer == nil {
		q.timer = time.AfterFunc(delay, q.dispatch)
		return
	}
	q.timer.Reset(delay)
}

// dispatch starts the calls that can be made now.
func (q *serviceQueue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatchLocked()
}

// dispatchLocked updates the configuration of the queue, starts the calls that can be made
// now, and schedules the next dispatch if pieces wait. q.mu must be held.
func (q *serviceQueue) dispatchLocked() {
	q.dispatchAt = time.Time{}
	now := clock.Now()
	if !q.refresh(now) {
		if q.jobCount > 0 {
			q.schedule(dispatchInterval)
		}
		return
	}
	q.broker.count(dispatchEvent, 1)
	if q.broker.directory.Evacuated(q.service) {
		q.queue.Abandon()
	}
	q.queue.EndHandedOver()
	for _, b := range q.queue.Next(now) {
		q.activeCalls++
		go q.call(b, q.targets)
	}
	q.observeOverload(now)
	if q.queue.Waiting() > 0 {
		q.schedule(dispatchInterval)
	}
}

// refresh updates the configuration of the queue, and returns false if there is none yet.
// q.mu must be held.
func (q *serviceQueue) refresh(now time.Time) bool {
	table := q.broker.directory.Table()
	if table == nil {
		return false
	}
	spec := hookhall.PoolSpec{MaxBatch: 1, Slots: 1}
	if s := table.Service(q.service); s != nil && s.Pool != nil {
		spec = *s.Pool
	}
	targets, canary, share := q.broker.rollouts.Usable(q.service, q.broker.directory.Targets(q.service))
	q.configure(spec, targets)
	q.queue.SetCanary(canary, share)
	q.updateAdmission(now)
	return true
}

// configure configures the queue if spec or targets changed. q.mu must be held.
func (q *serviceQueue) configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	isUnchanged := spec == q.spec && (isSameList(targets, q.targets) || slices.Equal(targets, q.targets))
	q.spec, q.targets = spec, targets
	if !isUnchanged {
		q.queue.Configure(spec, targets)
	}
}

// isSameList reports whether two lists of targets are the same slice. The directory's lists
// are immutable, so that comparing their first elements is enough; comparing thousands of
// targets for each call would take most of a broker's time.
func isSameList(a, b []hookhall.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
