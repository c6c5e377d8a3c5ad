// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"time"

	"github.com/hookhall/hookhall/internal/state/batch"
)

// overloadLogInterval is the time between two log lines about the overload of one queue. Jobs
// may be deferred in one dispatch and not in the next one, several times a second.
const overloadLogInterval = time.Second

// overloadObserver reports the overload of a queue. Its methods are called with the lock of
// the queue held.
type overloadObserver struct {
	state    batch.OverloadState
	loggedAt time.Time
	isLogged bool // the last log line reported an overload
}

// observeOverload counts and logs what the last dispatch did about jobs that can't start in
// time. q.mu must be held.
func (q *serviceQueue) observeOverload(now time.Time) {
	previous, state := q.overload.state, q.queue.Overload()
	q.overload.state = state
	if n := state.ShareStarted - previous.ShareStarted; n > 0 {
		q.broker.count(shareStartedEvent, int(n))
	}
	if n := state.InputsExpired - previous.InputsExpired; n > 0 {
		q.broker.count(inputsExpiredEvent, int(n))
	}
	isOverloaded := state.DeferredJobs > 0
	if isOverloaded == q.overload.isLogged || now.Sub(q.overload.loggedAt) < overloadLogInterval {
		return
	}
	q.overload.isLogged, q.overload.loggedAt = isOverloaded, now
	message := "stage pool serves all jobs in time again"
	if isOverloaded {
		message = "stage pool overloaded; less urgent jobs are deferred"
	}
	q.broker.log.Info(message, "service", q.service, "deferred", state.DeferredJobs, "late", state.LateJobs, "waiting", q.queue.Waiting())
}

// Overloads returns the state under overload of the queues of this process, by service.
func (b *Broker) Overloads() map[string]batch.OverloadState {
	b.mu.Lock()
	queues := make([]*serviceQueue, 0, len(b.queues))
	for _, q := range b.queues {
		queues = append(queues, q)
	}
	b.mu.Unlock()
	states := map[string]batch.OverloadState{}
	for _, q := range queues {
		q.mu.Lock()
		states[q.service] = q.queue.Overload()
		q.mu.Unlock()
	}
	return states
}
