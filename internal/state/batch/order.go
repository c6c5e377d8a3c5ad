// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// order is the order of the waiting jobs in one dispatch. Its slices are reused.
type order struct {
	jobs []waitingJob
	// isOverloaded is set if not all jobs can start in time. Only then are startedEnd and
	// inTimeEnd set: jobs[:startedEnd] have started, jobs[startedEnd:inTimeEnd] start in time,
	// and the others are deferred or late.
	isOverloaded          bool
	startedEnd, inTimeEnd int
	// hasShare is set if jobs must be deferred. Only then the minimum share is in force: while
	// all jobs that are not late can start in time, no route is without service. A share for
	// late jobs would make others late, on a pool at 88 %, for seconds after a burst.
	hasShare bool
	isSorted bool  // jobs[inTimeEnd:] are in their order
	now      int64 // nanoseconds since the queue's epoch
	first    int   // jobs before this index have no waiting pieces left
	sorted   []waitingJob
	deferred groups
	deferral deferral
	// credit is how many pieces the minimum share may start at once; negative if the deferred
	// and late jobs got more.
	credit float64
}

// creditWindow is how much of the minimum share is saved or owed at most: that of a second
// of calls, so that a pause or spare capacity in the past does not make the share block the
// others, or starve, for longer.
const creditWindow = time.Second

// maxShift limits the times in sort keys, so that sums of them don't overflow.
const maxShift = math.MaxInt64 / 4

// sortKeys are what the normal order compares, as of one dispatch.
type sortKeys struct {
	class  int8  // 0 and 1 for jobs that have started, 2 and 3 for others, the odd ones late
	first  int64 // the latest start shifted by urgency; for late jobs the urgency
	second int64 // for late jobs the deadline
}

// setTimes sets latestAt, deadlineAt and inputsExpireAt once, since calculations with numbers
// take a fifth of the time of those with time.Time.
func (j *Job) setTimes(epoch time.Time) {
	if !j.hasTimes {
		j.hasTimes = true
		j.latestAt = int64(min(max(j.LatestStart.Sub(epoch), -maxShift), maxShift))
		j.deadlineAt = int64(min(max(j.Deadline.Sub(epoch), -maxShift), maxShift))
		j.inputsExpireAt = math.MaxInt64
		if !j.InputsExpire.IsZero() {
			j.inputsExpireAt = int64(min(max(j.InputsExpire.Sub(epoch), -maxShift), maxShift))
		}
	}
}

// updateKeys sets the sort keys as of now: jobs that have started first, then those that
// can still meet their latency target, by latest start and urgency, then the others, by
// urgency and deadline.
func (j *Job) updateKeys(now int64) {
	j.latest = j.latestAt - now
	j.keys = sortKeys{}
	if !j.isStarted() {
		j.keys.class = 2
	}
	if j.latest < 0 {
		j.keys.class++
		j.keys.first = int64(j.Urgency)
		j.keys.second = j.deadlineAt
		return
	}
	const maxUrgency = maxShift / int64(urgencyStep)
	j.keys.first = j.latestAt + min(max(int64(j.Urgency), -maxUrgency), maxUrgency)*int64(urgencyStep)
}

// compareNormal compares jobs by their sort keys.
func compareNormal(a, b *Job) int {
	if c := cmp.Compare(a.keys.class, b.keys.class); c != 0 {
		return c
	}
	if c := cmp.Compare(a.keys.first, b.keys.first); c != 0 {
		return c
	}
	return cmp.Compare(a.keys.second, b.keys.second)
}

// sinceEpoch returns the nanoseconds from the queue's epoch to now.
func (q *Queue) sinceEpoch(now time.Time) int64 { return int64(now.Sub(q.epoch)) }

// sortJobs puts all jobs in the normal order.
func (q *Queue) sortJobs(now time.Time) {
	nanoseconds := q.sinceEpoch(now)
	for _, j := range q.jobs {
		j.updateKeys(nanoseconds)
	}
	slices.SortStableFunc(q.jobs, compareNormal)
}

// arrange lists the jobs with waiting pieces in the order in which they are served: the
// normal order, or if not all of them can start in time, that of the deferral. available
// are the workers that may get a call now.
func (q *Queue) arrange(available []*worker, now time.Time) {
	o := &q.order
	o.jobs, o.first, o.isOverloaded = slices.Grow(o.jobs[:0], len(q.jobs))[:len(q.jobs)], 0, false
	n := 0
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			o.jobs[n] = waitingJob{
				job: j, latest: j.latest, pieces: int32(len(j.waiting)), urgency: j.Urgency, isStarted: j.isStarted(), isLocal: q.isLocal(j, now),
			}
			n++
		}
	}
	o.jobs = o.jobs[:n]
	if !q.mayStartTooLate(available) {
		o.credit = 0
		return
	}
	started, inTime := 0, 0
	ahead, late := 0, 0
	for i := range o.jobs {
		w := &o.jobs[i]
		w.level = w.job.level.index
		w.served = int32(min(w.job.account.served(q.accounts.slot), math.MaxInt32))
		switch {
		case w.isStarted:
			started = i + 1
			ahead += int(w.pieces)
		case w.latest >= 0:
			inTime = i + 1
		default:
			late += int(w.pieces)
		}
	}
	inTime = max(inTime, started)
	q.measureCapacity(available, now)
	d := &o.deferral
	d.levels = len(q.levels.list)
	d.ahead, d.others, d.credit, d.next = ahead, 0, o.credit, 1
	d.fullCall = float64(q.maxPieces())
	if inTime < len(o.jobs) {
		d.next = q.neededCredit(&o.jobs[inTime])
	}
	candidates := o.jobs[started:min(inTime, started+maxJobs)]
	isFeasible := d.allInTime(candidates)
	if isFeasible && late == 0 {
		o.credit = 0
		return
	}
	o.isOverloaded, o.hasShare = true, false
	o.startedEnd, o.inTimeEnd = started, inTime
	if !isFeasible {
		o.hasShare = d.choose(candidates, late)
		o.inTimeEnd = started + o.partition(candidates)
	}
	o.isSorted = false
	o.now = q.sinceEpoch(now)
	if o.inTimeEnd == 0 {
		o.sortDeferred() // the first job decides which target is preferred
	}
}

// recordOverload updates the state that Overload returns.
func (q *Queue) recordOverload() {
	o, s := &q.order, &q.overload
	s.DeferredJobs, s.LateJobs, s.ShareInForce = 0, 0, false
	if o.isOverloaded {
		s.ShareInForce = o.hasShare
		if o.hasShare {
			s.DeferredJobs = o.deferral.deferredCount
		}
		s.LateJobs = len(o.jobs) - o.inTimeEnd - s.DeferredJobs
	}
}

// partition puts the jobs that are not deferred first and returns their number. They are in
// the normal order if they start in time in it as well, else in that of their latest start.
func (o *order) partition(jobs []waitingJob) int {
	d := &o.deferral
	keepsOrder := d.allInTime(jobs)
	o.sorted = o.sorted[:0]
	for _, wantDeferred := range [2]bool{false, true} {
		for i := range jobs {
			w := &jobs[i]
			if !keepsOrder {
				w = &jobs[d.byLatest[i]]
			}
			if w.isDeferred == wantDeferred {
				o.sorted = append(o.sorted, *w)
			}
		}
	}
	copy(jobs, o.sorted)
	return len(jobs) - d.deferredCount
}

// sortDeferred sorts the deferred and late jobs, unless that was done in this dispatch.
func (o *order) sortDeferred() {
	if o.isSorted {
		return
	}
	o.isSorted = true
	jobs := o.jobs[o.inTimeEnd:min(len(o.jobs), o.inTimeEnd+maxJobs)]
	o.sorted = o.sorted[:0]
	for _, i := range o.deferred.sortDeferred(jobs, o.deferral.levels, o.now) {
		o.sorted = append(o.sorted, jobs[i])
	}
	copy(jobs, o.sorted)
}

// mayStartTooLate returns false if all waiting pieces can start at once.
func (q *Queue) mayStartTooLate(available []*worker) bool {
	if q.fullCall() <= 0 {
		return false
	}
	free := 0.0
	for _, w := range available {
		free += q.freePieces(w)
		if free >= float64(q.waitingCount) {
			return false
		}
	}
	return true
}

// freePieces returns how many pieces of the usual size a call to w may have.
func (q *Queue) freePieces(w *worker) float64 {
	pieces := float64(q.maxPieces())
	if q.spec.ResultMemory <= 0 || q.waitingBytes <= 0 || q.waitingCount == 0 {
		return pieces
	}
	return min(pieces, max(q.spec.ResultMemory-w.bytes, 0)/(q.waitingBytes/float64(q.waitingCount)))
}

// measureCapacity sets the capacity for the deferral from the calls in progress and the
// pace of the targets. Memory that is short is included as the rate at which pieces were
// started in the last second, since it is not known when results will be released.
func (q *Queue) measureCapacity(available []*worker, now time.Time) {
	c := &q.order.deferral.capacity
	*c = capacity{fullCall: int64(q.fullCall())}
	pieces := float64(q.maxPieces())
	for _, w := range available {
		c.now += q.freePieces(w)
	}
	stride := max(len(q.workerList)/sampledWorkers, 1)
	pieces *= float64(stride)
	for i := 0; i < len(q.workerList); i += stride {
		w := q.workerList[i]
		if !q.isUsable(w, now) || q.canary.includes(w) && !q.canary.allows() {
			continue
		}
		pieces := pieces / w.slowdown
		blocked := int64(w.noMemoryUntil.Sub(now))
		for _, b := range w.calls {
			left := int64(float64(b.Expected)*max(w.slowdown, 1)) - int64(now.Sub(b.began))
			if b.overdue {
				left = c.fullCall
			}
			c.add(max(left, blocked), pieces)
		}
		for range max(q.spec.Slots, 1) - len(w.calls) {
			c.add(c.fullCall, pieces)
		}
	}
	c.accumulate(1)
	// Calls don't begin evenly, and a job that does not fit into one goes into the next. With
	// half of this margin, 1 in 150 of the most urgent jobs started up to 39 ms late in a burst.
	c.margin = c.fullCall / 8
	if q.memoryShortAt.IsZero() || now.Sub(q.memoryShortAt) > q.fullCall() {
		return
	}
	perSecond := c.byStep[capacitySteps] / q.fullCall().Seconds()
	factor := q.starts.perSecond() / max(perSecond, 1e-9)
	factor = min(max(factor, minimumMemoryFactor), 1)
	for i := range c.byStep {
		c.byStep[i] *= factor
	}
}

// sampledWorkers is from how many workers the capacity of a large pool is estimated, so that
// its cost does not grow with the pool. The list of workers has a random order, and the
// phases and paces of 256 calls differ from those of all by some 6 %.
const sampledWorkers = 256

// minimumMemoryFactor limits how much of the rate a lack of memory takes: after a second
// without any call, the started pieces would give a rate of 0 and all jobs would be
// deferred.
const minimumMemoryFactor = 1.0 / 8

// fullCall returns the expected duration of a full call to a target of the usual pace.
func (q *Queue) fullCall() time.Duration {
	return q.spec.CallTime + time.Duration(q.maxPieces())*q.spec.PieceTime
}

// isLocal reports whether j waits for a healthy target in the hall of its data, which it
// does while it has the time.
func (q *Queue) isLocal(j *Job, now time.Time) bool {
	return j.CrossHallBytes >= minCrossHallBytes && q.healthyByHall[j.Hall] > 0 && !j.hasNoSlack(q.fullCall(), now)
}

// mostUrgentJob returns the first job with waiting pieces, or nil if there is none.
func (o *order) mostUrgentJob() *Job {
	for ; o.first < len(o.jobs); o.first++ {
		if w := &o.jobs[o.first]; w.pieces > 0 {
			return w.job
		}
	}
	return nil
}

// creditLimit is how many pieces the minimum share saves or owes at most.
func (q *Queue) creditLimit() float64 {
	return max(minimumShare*q.ratePerTarget()*float64(len(q.workerList))*creditWindow.Seconds(), 1)
}

// neededCredit returns the credit with which the minimum share starts a job.
func (q *Queue) neededCredit(j *waitingJob) float64 { return min(float64(j.pieces), q.creditLimit()) }

// addCredit adds the minimum share of a call with a number of pieces, of which others were
// of deferred and late jobs, to the credit.
func (q *Queue) addCredit(pieces int, others int) {
	limit := q.creditLimit()
	q.order.credit = min(max(q.order.credit+minimumShare*float64(pieces)-float64(others), -limit), limit)
}
