// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// Batch is one call to make to a target.
type Batch struct {
	Target hookhall.Target
	Pieces []hookhall.Piece
	// Expected is the expected duration of the call.
	Expected time.Duration
	// OverdueAfter is how long after the start of the call the call is overdue, so that the
	// caller should call Queue.MarkOverdue.
	OverdueAfter time.Duration
	// InputsReadAfter is how long after the start of the call the target has read all inputs,
	// so that the caller should call Queue.InputsRead.
	InputsReadAfter time.Duration
	jobs            []*Job // the job of each piece, in the order of Pieces
	began           time.Time
	done            bool // the call has ended
	overdue         bool // its pieces wait for another call as well
	inputsRead      bool // Queue.InputsRead was applied
}

// Requests returns the requests that the pieces of the call belong to, without duplicates.
func (b *Batch) Requests() []Request {
	var list []Request
	for _, j := range b.jobs {
		if !slices.Contains(list, j.Request) {
			list = append(list, j.Request)
		}
	}
	return list
}

// Queue holds the jobs of one pool that are not finished. It is not safe for concurrent
// use; the caller serializes all calls.
type Queue struct {
	spec hookhall.PoolSpec
	// jobs holds those with waiting pieces. A job that has none any more stays until the next
	// dispatch that makes calls.
	jobs []*Job
	// inCalls holds the other jobs, in any order, none of which has waiting pieces. Most jobs
	// of a large pool are in it, and a dispatch does not go through them.
	inCalls []*Job
	// firstDeadline is before or at the deadline of all jobs in inCalls.
	firstDeadline int64
	workers       map[hookhall.Incarnation]*worker
	// workerList holds the values of workers in any order. Next iterates over all of them,
	// which takes several times as long with a map.
	workerList []*worker
	// idle lists the workers that have a free slot, in any order.
	idle []*worker
	// workersByHandle holds the worker of each result that is neither released nor expired.
	workersByHandle map[string]*worker
	// healthyByHall counts the healthy targets by hall.
	healthyByHall map[string]int
	bytes         float64 // sum over all workers
	canary        canary
	// admits reports whether a target accepts calls now; nil means that all do.
	admits        func(t hookhall.Target) bool
	memoryShortAt time.Time // when pieces last did not fit into the memory of a target
	// unaccountedUntil is the time until which targets may hold results that this queue
	// does not know, from an earlier queue of the pool that was lost: a target reported no
	// memory where the queue counted some as free.
	unaccountedUntil time.Time
	// waitingByLevel counts the pieces that are in no call by urgency level, waitingCount all
	// of them.
	waitingByLevel [hookhall.UrgencyLevels]int
	waitingCount   int
	waitingBytes   float64 // size of the results of these pieces
	arrivals       [hookhall.UrgencyLevels]average
	starts         average       // pieces that were put into calls
	holdTime       time.Duration // average time until a result is released; 0 before the first one
	accounts       accounts
	levels         levels
	epoch          time.Time // the first dispatch
	dispatch       uint64    // counts the calls of Next
	dispatchedAt   time.Time // the last dispatch
	// crashesUnrecorded is set while no crashes are recorded, so that no job is refused.
	crashesUnrecorded bool
	// The following are reused from one dispatch to the next.
	order     order
	overload  OverloadState
	available availableWorkers
	fill      batchFill
}

// NewQueue returns an empty Queue. Configure must be called before Next.
func NewQueue() *Queue {
	return &Queue{workers: map[hookhall.Incarnation]*worker{}, workersByHandle: map[string]*worker{}, healthyByHall: map[string]int{}, accounts: accounts{byName: map[string]*account{}}}
}

// Configure sets the operators' description of the pool and the targets that may get
// calls. Targets that are not listed get none; their results are removed once their calls
// have ended.
func (q *Queue) Configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	q.spec = spec
	current := map[hookhall.Incarnation]bool{}
	for _, t := range targets {
		current[t.Incarnation()] = true
		w := q.workers[t.Incarnation()]
		if w == nil {
			w = newWorker(t)
			q.workers[t.Incarnation()] = w
		}
		w.Target = t
	}
	q.workerList = q.workerList[:0]
	clear(q.healthyByHall)
	for incarnation, w := range q.workers {
		if !current[incarnation] && len(w.calls) == 0 {
			q.removeWorker(incarnation, w)
			continue
		}
		if w.removed = !current[incarnation]; w.removed {
			w.Target.Leaving = true
		}
		q.workerList = append(q.workerList, w)
		w.countedHealthy = false
		q.updateHealthy(w)
	}
	q.idle = q.idle[:0]
	for _, w := range q.workerList {
		w.idleIndex = -1
		q.updateIdle(w)
	}
}

// SetAdmission sets the function that reports whether a target accepts calls now; nil means
// that all do. The other targets keep their results.
func (q *Queue) SetAdmission(admits func(t hookhall.Target) bool) { q.admits = admits }

// removeWorker removes a worker together with its results, except from workerList.
func (q *Queue) removeWorker(incarnation hookhall.Incarnation, w *worker) {
	for h := range w.results {
		delete(q.workersByHandle, h)
	}
	q.bytes -= w.bytes
	delete(q.workers, incarnation)
}

// updateHealthy adjusts the number of healthy targets in the hall of w.
func (q *Queue) updateHealthy(w *worker) {
	healthy := w.healthy()
	if healthy == w.countedHealthy {
		return
	}
	w.countedHealthy = healthy
	if healthy {
		q.healthyByHall[w.Target.Hall]++
	} else {
		q.healthyByHall[w.Target.Hall]--
	}
}

// updateIdle adds w to the idle workers or removes it, after its calls have changed.
func (q *Queue) updateIdle(w *worker) {
	isIdle := len(w.calls) < max(q.spec.Slots, 1) && !w.Target.Leaving
	switch {
	case isIdle && w.idleIndex < 0:
		w.idleIndex = len(q.idle)
		q.idle = append(q.idle, w)
	case !isIdle && w.idleIndex >= 0:
		last := q.idle[len(q.idle)-1]
		last.idleIndex = w.idleIndex
		q.idle[last.idleIndex] = last
		q.idle = q.idle[:len(q.idle)-1]
		w.idleIndex = -1
	}
}

// addBytes adds bytes, which may be negative, to those counted for w.
func (q *Queue) addBytes(w *worker, bytes float64) {
	w.bytes += bytes
	q.bytes += bytes
}

// Add queues a job.
func (q *Queue) Add(j *Job) {
	j.prepare()
	q.jobs = append(q.jobs, j)
	q.countWaiting(j, len(j.waiting))
	q.arrivals[hookhall.UrgencyLevel(j.Urgency)].add(j.PieceCount)
	j.account = q.accounts.get(j.Account)
	j.account.jobs++
	j.level = q.levels.get(j.Urgency)
	j.level.jobs++
}

// Drop cancels a job without calling its Finish. Done returns the handles of its pieces
// that are in a call, for the caller to release.
func (q *Queue) Drop(j *Job) {
	j.finished = true
	q.removeJob(j)
}

// removeJob removes a job from the queue.
func (q *Queue) removeJob(j *Job) {
	if j.inCallsPosition > 0 {
		q.removeFromInCalls(j)
		q.leave(j)
		return
	}
	for i, o := range q.jobs {
		if o == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			q.leave(j)
			return
		}
	}
}

// moveToInCalls moves the jobs without waiting pieces to inCalls.
func (q *Queue) moveToInCalls() {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			kept = append(kept, j)
			continue
		}
		if len(q.inCalls) == 0 || j.deadlineAt < q.firstDeadline {
			q.firstDeadline = j.deadlineAt
		}
		q.inCalls = append(q.inCalls, j)
		j.inCallsPosition = len(q.inCalls)
	}
	clear(q.jobs[len(kept):])
	q.jobs = kept
}

// removeFromInCalls removes a job from inCalls.
func (q *Queue) removeFromInCalls(j *Job) {
	n := len(q.inCalls) - 1
	last := q.inCalls[n]
	last.inCallsPosition = j.inCallsPosition
	q.inCalls[j.inCallsPosition-1] = last
	q.inCalls[n] = nil
	q.inCalls = q.inCalls[:n]
	j.inCallsPosition = 0
}

// expireInCalls finishes the jobs in inCalls whose deadline has passed.
func (q *Queue) expireInCalls(now int64) {
	if len(q.inCalls) == 0 || now <= q.firstDeadline {
		return
	}
	q.firstDeadline = math.MaxInt64
	for i := 0; i < len(q.inCalls); i++ {
		j := q.inCalls[i]
		if now <= j.deadlineAt {
			q.firstDeadline = min(q.firstDeadline, j.deadlineAt)
			continue
		}
		q.removeFromInCalls(j)
		q.leave(j)
		j.finish(Outcome{Reason: hookhall.PieceExpired})
		i--
	}
}

// leave updates the counts for a job that was removed from the list.
func (q *Queue) leave(j *Job) {
	q.countWaiting(j, -len(j.waiting))
	j.account.jobs--
	j.level.jobs--
}

// Waiting returns the number of pieces that are in no call.
func (q *Queue) Waiting() int { return q.waitingCount }

// expireJobs finishes, with reason PieceExpired, the jobs that can't meet their deadline: a
// waiting piece takes at least the fixed time of a call. It finishes, with reason
// PieceInputGone, those whose inputs expire before a call could start.
func (q *Queue) expireJobs(now time.Time) {
	kept := q.jobs[:0]
	nanoseconds := q.sinceEpoch(now)
	q.expireInCalls(nanoseconds)
	firstStart := int64(-1) // of the next call, -1 while it is not needed
	for _, j := range q.jobs {
		j.setTimes(q.epoch)
		earliestEnd := nanoseconds
		if len(j.waiting) > 0 {
			earliestEnd += int64(q.spec.CallTime)
		}
		if !j.finished && earliestEnd > j.deadlineAt {
			j.finish(Outcome{Reason: hookhall.PieceExpired})
		}
		if !j.finished && j.inputsExpireAt < nanoseconds+int64(q.fullCall()) {
			if firstStart < 0 {
				firstStart = nanoseconds + int64(q.untilFirstStart(now))
			}
			if j.inputsExpireAt < firstStart && j.needsInputs() {
				j.finish(Outcome{Reason: hookhall.PieceInputGone})
				q.overload.InputsExpired++
			}
		}
		if j.finished {
			q.leave(j)
		} else {
			kept = append(kept, j)
		}
	}
	clear(q.jobs[len(kept):])
	q.jobs = kept
}

// untilFirstStart returns a time within which no target can get a call, from the shortest
// remaining time of the calls in progress and of the pauses, and at most that of a full call.
// It returns 0 while all targets are leaving or none is listed, since another one may be
// listed at any time.
func (q *Queue) untilFirstStart(now time.Time) time.Duration {
	first, hasTarget := q.fullCall(), false
	for _, w := range q.workerList {
		if w.Target.Leaving {
			continue
		}
		hasTarget = true
		wait := max(w.pausedUntil.Sub(now), 0)
		if len(w.calls) >= max(q.spec.Slots, 1) {
			left := q.fullCall()
			for _, b := range w.calls {
				left = min(left, time.Duration(float64(b.Expected)*min(w.slowdown, 1))-now.Sub(b.began))
			}
			wait = max(wait, left)
		}
		if first = min(first, wait); first == 0 {
			break
		}
	}
	if !hasTarget {
		return 0
	}
	return first
}

// Abandon finishes, with reason PieceNoTarget, all jobs that have waiting pieces. It is
// for a pool of which no target may get a call soon. Jobs whose pieces are all in calls
// continue.
func (q *Queue) Abandon() {
	q.finishWaiting(hookhall.PieceNoTarget, func(*Job) bool { return true })
}

// AbandonBefore does what Abandon does, but only for the jobs with a deadline before t, the
// time of the next possible call.
func (q *Queue) AbandonBefore(t time.Time) {
	q.finishWaiting(hookhall.PieceNoTarget, func(j *Job) bool { return j.Deadline.Before(t) })
}

// SetCrashesRecorded sets whether any crashes are recorded. While none are, Job.Refused is
// not called. By default it is, once per job, software and dispatch if the targets have at
// most two kinds of software, as during an update.
func (q *Queue) SetCrashesRecorded(recorded bool) { q.crashesUnrecorded = !recorded }

// refuseJobs finishes, with reason PieceCrashes, the jobs with waiting pieces that may run
// on no target.
func (q *Queue) refuseJobs() {
	if !q.crashesUnrecorded {
		q.finishWaiting(hookhall.PieceCrashes, q.refusedByAll)
	}
}

// refusal is whether a job must not run on targets with a software, which is identified by
// pool and version, as of one dispatch.
type refusal struct {
	dispatch      uint64
	pool, version string
	isRefused     bool
}

// refuses reports whether j must not run on t.
func (q *Queue) refuses(j *Job, t *hookhall.Target) bool {
	if j.Refused == nil || q.crashesUnrecorded {
		return false
	}
	for i := range j.refusals {
		if r := &j.refusals[i]; r.dispatch == q.dispatch && r.version == t.Version && r.pool == t.Pool {
			return r.isRefused
		}
	}
	j.refusals[1] = j.refusals[0]
	j.refusals[0] = refusal{q.dispatch, t.Pool, t.Version, j.Refused(*t)}
	return j.refusals[0].isRefused
}

// finishWaiting finishes the jobs that have waiting pieces and for which match returns
// true.
func (q *Queue) finishWaiting(reason hookhall.PieceFailure, match func(j *Job) bool) {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if len(j.waiting) > 0 && match(j) {
			j.finish(Outcome{Reason: reason})
		}
		if j.finished {
			q.leave(j)
		} else {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
}

// refusedByAll reports whether there are targets and j may run on none of them.
func (q *Queue) refusedByAll(j *Job) bool {
	if j.Refused == nil || len(q.workerList) == 0 {
		return false
	}
	for _, w := range q.workerList {
		if !q.refuses(j, &w.Target) {
			return false
		}
	}
	return true
}

// Next returns the calls to make at now, with the most urgent pieces first, and finishes
// the jobs that can't meet their deadline or may run on no target. The caller must call
// Done or Withdraw at the end of each call.
func (q *Queue) Next(now time.Time) []*Batch {
	q.dispatch++
	q.dispatchedAt = now
	if q.epoch.IsZero() {
		q.epoch = now
	}
	q.updateAverages(now)
	if q.accounts.advance(q.sinceEpoch(now)) {
		q.levels.removeUnused()
	}
	q.expireJobs(now)
	q.refuseJobs()
	if q.waitingCount == 0 {
		q.overload.DeferredJobs, q.overload.LateJobs, q.overload.ShareInForce = 0, 0, false
		return nil
	}
	available := &q.available
	if q.findAvailable(now); len(available.list) == 0 {
		return nil
	}
	q.sortJobs(now)
	q.arrange(available.list, now)
	q.recordOverload()
	available.mostUrgent = q.order.mostUrgentJob()
	heap.Init(available)
	var batches []*Batch
	for available.Len() > 0 && q.order.mostUrgentJob() != nil {
		w := heap.Pop(available).(*worker)
		if q.canary.includes(w) && !q.canary.allows() {
			continue
		}
		if b := q.fillBatch(w, now); b != nil {
			q.canary.countCall(w)
			batches = append(batches, b)
		}
	}
	if len(batches) > 0 {
		q.moveToInCalls()
	}
	return batches
}
