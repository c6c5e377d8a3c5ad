// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package budget limits retries: attempts that are sent to a service beyond the first
// attempt of each request.
//
// # Model
//
// A fleet may retry, in any window, a ratio of the requests of that window plus a constant,
// the slack. Each process has an equal part of the slack and, for each service, a token
// bucket of retries. Each request adds the ratio to the bucket, and time adds a part of the
// process's slack. The bucket holds at most the rest of that slack, and a retry takes one
// token. A process starts with empty buckets.
//
// Within a window a process spends at most what its bucket held before, what time added and
// what the requests of that window added: its slack plus the ratio of its requests. If it is
// killed within the window, its successor adds only what time and requests bring after that.
// So the sum over all processes keeps the fleet's bound over any number of restarts, without
// persistent state or communication between processes.
//
// A retry counts when it is sent. One that was granted earlier remains granted if its bucket
// has never been full since: not spending it would have left one more token in the bucket
// now. Otherwise it has to be granted again.
//
// # Invariants
//
//   - Over any window, the retries of one process are at most the ratio times the requests
//     that it counted in that window, plus its part of the slack.
//   - The same holds for all successive processes of one instance together, whenever they
//     are killed and started.
//   - Time adds no tokens while a process doesn't know the number of processes, or its part
//     of the slack is less than one retry. Its buckets then hold at most one token each.
package budget

import (
	"math"
	"sync"
	"time"

	"github.com/hookhall/hookhall/internal/state/quota"
)

const (
	// burstShare is the part of a process's slack that its bucket holds; time adds the rest
	// over a window. A larger part allows more retries at once, as when a target crashes, and
	// fewer over the rest of the window.
	burstShare = 0.8
	// positionRefreshInterval is the minimum time between two look-ups of the processes that
	// share the slack, which would otherwise happen on every request.
	positionRefreshInterval = 100 * time.Millisecond
)

// Limits are the bounds on retries that operators configure.
type Limits struct {
	Ratio  float64 // retries per request
	Window time.Duration
	Slack  float64 // retries per window beyond the ratio, of the whole fleet
}

// Budget counts the requests and retries of this process for each service. It is safe for
// concurrent use.
type Budget struct {
	limits      Limits
	getPosition func(now time.Time) quota.Position // of this process
	startedAt   time.Time                          // start of the process

	mu               sync.Mutex
	bucketsByService map[string]*bucket
	position         quota.Position
	positionAt       time.Time // when position was refreshed
}

// bucket holds the retries that a process may still send to one service.
type bucket struct {
	tokens    float64
	updatedAt time.Time // when tokens were last added for elapsed time
	fullCount uint64    // additions that left the bucket full
}

// New returns an empty Budget of a process that started at startedAt. getPosition returns the
// position of this process among those that share the slack. It is called with the Budget
// locked.
func New(l Limits, getPosition func(now time.Time) quota.Position, startedAt time.Time) *Budget {
	return &Budget{limits: l, getPosition: getPosition, startedAt: startedAt, bucketsByService: map[string]*bucket{}}
}

// bucket returns a service's bucket, with tokens added for the time until now. b.mu must be
// held.
func (b *Budget) bucket(service string, now time.Time) *bucket {
	found := b.bucketsByService[service]
	if found == nil {
		found = &bucket{updatedAt: b.startedAt}
		b.bucketsByService[service] = found
	}
	b.refreshPosition(now)
	capacity, rate := b.slackPart()
	if elapsed := now.Sub(found.updatedAt); elapsed > 0 {
		found.add(rate*elapsed.Seconds(), capacity)
		found.updatedAt = now
	}
	return found
}

// refreshPosition updates position if the last update is at least positionRefreshInterval
// old. b.mu must be held.
func (b *Budget) refreshPosition(now time.Time) {
	if age := now.Sub(b.positionAt); age >= positionRefreshInterval || age < 0 {
		b.position, b.positionAt = b.getPosition(now), now
	}
}

// add adds tokens to a bucket, up to its capacity.
func (b *bucket) add(tokens, capacity float64) {
	b.tokens += tokens
	if b.tokens >= capacity {
		b.tokens = capacity
		b.fullCount++
	}
}

// slackPart returns how many tokens of the slack a bucket of this process holds, and how
// many time adds per second. b.mu must be held.
func (b *Budget) slackPart() (capacity, rate float64) {
	if b.position.Count < 1 {
		return b.capacityWithoutPosition(), 0
	}
	share := b.limits.Slack / float64(b.position.Count)
	if share < 1 {
		// A fraction of a retry can't be spent, so the first processes get a whole one each.
		if float64(b.position.Index) < math.Floor(b.limits.Slack) {
			return 1, 0
		}
		return 0, 0
	}
	capacity = max(1, burstShare*share)
	return capacity, (share - capacity) / b.limits.Window.Seconds()
}

// capacityWithoutPosition returns the capacity of a bucket while the number of processes is
// not known: one retry, for which only requests add tokens. Each process has at least that
// much of the slack if there are no more processes than the slack has retries.
func (b *Budget) capacityWithoutPosition() float64 { return min(1, math.Floor(b.limits.Slack)) }

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(service, now)
	capacity, _ := b.slackPart()
	current.add(b.limits.Ratio, capacity)
}

// Decision is the result of Spend, with the state of the service's bucket.
type Decision struct {
	Granted    bool          // the retry may be sent
	Available  float64       // tokens before this retry
	Capacity   float64       // tokens that the bucket holds
	Processes  int           // processes that share the slack, 0 if unknown
	ProcessAge time.Duration // since the start of this process
	// fullCount is that of the bucket at the decision.
	fullCount uint64
}

// Spend takes the token of one retry out of a service's bucket if there is one.
func (b *Budget) Spend(service string, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.bucket(service, now)
	capacity, _ := b.slackPart()
	d := Decision{Available: current.tokens, Capacity: capacity, Processes: b.position.Count, ProcessAge: now.Sub(b.startedAt), fullCount: current.fullCount}
	if d.Granted = current.tokens >= 1; d.Granted {
		current.tokens--
	}
	return d
}

// Revalidate reports whether a retry that Spend granted may still be sent. If the bucket has
// been full since, that costs another token. Between the grant and the attempt a request may
// repeat its stages for seconds; without this check, retries that were granted over two
// windows could be sent within one.
func (b *Budget) Revalidate(service string, d Decision, now time.Time) bool {
	b.mu.Lock()
	stillGranted := b.bucket(service, now).fullCount == d.fullCount
	b.mu.Unlock()
	return stillGranted || b.Spend(service, now).Granted
}

// Status is the state of a Budget as operators read it.
type Status struct {
	Processes int                `json:"sharers"` // processes that share the slack, 0 if unknown
	Capacity  float64            `json:"most"`    // retries that the bucket of a service holds
	Available map[string]float64 `json:"held"`    // retries in the bucket, by service
}

// Status returns the state of the budget at now.
func (b *Budget) Status(now time.Time) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Status{Available: map[string]float64{}}
	for service := range b.bucketsByService {
		s.Available[service] = b.bucket(service, now).tokens
	}
	b.refreshPosition(now)
	s.Processes = b.position.Count
	s.Capacity, _ = b.slackPart()
	return s
}
