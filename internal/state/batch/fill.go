// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

// availableWorkers is a heap of the workers that may get a call, the preferred one first:
// canary targets, then targets that are not slow, those in the hall of the most urgent
// job, and those that hold fewer bytes. A heap is cheaper than sorting, since only a few
// of many workers get a call.
type availableWorkers struct {
	list       []*worker
	mostUrgent *Job // nil if no pieces wait
	canary     *canary
}

func (h *availableWorkers) Len() int      { return len(h.list) }
func (h *availableWorkers) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *availableWorkers) Push(w any)    { h.list = append(h.list, w.(*worker)) }

func (h *availableWorkers) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if aCanary, bCanary := h.canary.includes(a), h.canary.includes(b); aCanary != bCanary {
		return aCanary // canary targets are listed only while their share allows a call
	}
	return isPreferred(a, b, h.mostUrgent)
}

func (h *availableWorkers) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// findAvailable lists the workers that may get a call at now, and drops their expired
// results. The heap is not yet initialized.
func (q *Queue) findAvailable(now time.Time) {
	h := &q.available
	h.list, h.canary = h.list[:0], &q.canary
	for _, w := range q.idle {
		if !w.isPaused(now) && (q.canary.allows() || !q.canary.includes(w)) && (q.admits == nil || q.admits(w.Target)) {
			q.expireResults(w, now)
			if !q.awaitsMemory(w, now) {
				h.list = append(h.list, w)
			}
		}
	}
}

// awaitsMemory reports whether w gets no call yet because its free memory allows only a small one
// under overload, while enough pieces wait for full calls and results are about to be released. The
// fixed time of small calls would make them the limit of the pool, so that an overload outlasts its
// cause. The wait is at most the part of that time that the small call wastes.
func (q *Queue) awaitsMemory(w *worker, now time.Time) bool {
	missing := float64(q.maxPieces()) - q.freePieces(w)
	if missing <= 0 || !q.order.isOverloaded || q.waitingCount < q.maxPieces()*len(q.idle) {
		w.memoryShortSince = time.Time{}
		return false
	}
	if w.memoryShortSince.IsZero() {
		w.memoryShortSince = now
	}
	q.memoryShortAt = now
	end := w.memoryShortSince.Add(time.Duration(missing / float64(q.maxPieces()) * float64(q.spec.CallTime)))
	return now.Before(end) && q.expectedRelease(w, end) >= missing*q.waitingBytes/float64(q.waitingCount)
}

// expectedRelease returns the bytes of the results of w that are expected to be released until end.
func (q *Queue) expectedRelease(w *worker, end time.Time) float64 {
	bytes := 0.0
	for _, r := range w.results {
		if !r.made.Add(q.holdTime).After(end) {
			bytes += r.bytes
		}
	}
	return bytes
}

// expireResults removes the results of w that the pool itself has dropped by now.
func (q *Queue) expireResults(w *worker, now time.Time) {
	if len(w.results) == 0 || !now.After(w.firstExpiry) {
		return
	}
	var first time.Time
	for h, r := range w.results {
		if now.After(r.expiry) {
			q.releaseResult(h)
		} else if first.IsZero() || r.expiry.Before(first) {
			first = r.expiry
		}
	}
	w.firstExpiry = first
}

// isPreferred reports whether a should get pieces of j before b.
func isPreferred(a, b *worker, j *Job) bool {
	aSlow, bSlow := a.slowdown > slowThreshold, b.slowdown > slowThreshold
	if aSlow != bSlow {
		return bSlow
	}
	aLocal, bLocal := a.Target.Hall == j.Hall, b.Target.Hall == j.Hall
	if aLocal != bLocal {
		return aLocal
	}
	if a.bytes != b.bytes {
		return a.bytes < b.bytes
	}
	return a.Target.ID < b.Target.ID
}

// batchFill is the state of fillBatch.
type batchFill struct {
	b       *Batch
	w       *worker
	taken   int  // pieces that the last job got
	others  int  // pieces charged to the minimum share
	isShare bool // the job is taken for the minimum share
	// reservedFor is the urgency of a job in time or of the minimum share that waits for the
	// memory of w; jobs that are not more urgent are not started there.
	reservedFor int
	isReserved  bool
}

// fillBatch selects the pieces of one call to w. It returns nil if nothing fits. Jobs
// whose waiting pieces all fit into the call go first, since the results of an incomplete
// job occupy memory until the others are made as well. For the same reason no job is
// started in memory that is too small for it.
//
// Under overload this holds for the jobs that have started, those in time and the others
// one after the other. While jobs are deferred, the minimum share goes before the jobs in
// time.
func (q *Queue) fillBatch(w *worker, now time.Time) *Batch {
	f := &q.fill
	*f = batchFill{w: w}
	o := &q.order
	if o.isOverloaded {
		q.fillFrom(f, o.first, o.startedEnd, false, now)
		q.fillMinimumShare(f, now)
		q.fillFrom(f, max(o.first, o.startedEnd), o.inTimeEnd, false, now)
		if q.freePlaces(f) > 0 {
			o.sortDeferred()
			q.fillFrom(f, max(o.first, o.inTimeEnd), len(o.jobs), true, now)
		}
	} else {
		q.fillFrom(f, o.first, len(o.jobs), false, now)
	}
	b := f.b
	if b == nil {
		return nil
	}
	if o.isOverloaded && o.hasShare {
		q.addCredit(len(b.Pieces), f.others)
	}
	b.Expected = q.spec.CallTime + time.Duration(len(b.Pieces))*q.spec.PieceTime
	b.OverdueAfter = w.overdueAfter(b.Expected)
	b.InputsReadAfter = max(time.Duration(inputsReadShare*float64(q.spec.CallTime)), minInputsReadDelay)
	w.calls = append(w.calls, b)
	w.memoryShortSince = time.Time{}
	q.updateIdle(w)
	return b
}

// fillFrom adds pieces of the jobs from first until end, those that fit completely first.
// If areOthers is set, they are deferred and late ones. Spare capacity that they get counts
// for the minimum share, unless they go before others only because they fit: large jobs
// would never start if small ones used up the share.
func (q *Queue) fillFrom(f *batchFill, first, end int, areOthers bool, now time.Time) {
	for _, onlyComplete := range [2]bool{true, false} {
		isPassedOver := false
		for i := first; i < end; i++ {
			freePieces := q.freePlaces(f)
			if freePieces == 0 {
				return
			}
			j := &q.order.jobs[i]
			if j.pieces == 0 {
				continue
			}
			if !onlyComplete || int(j.pieces) <= freePieces {
				q.fillJob(f, j, freePieces, now)
				if areOthers && !isPassedOver {
					q.charge(f, j)
				}
			}
			isPassedOver = isPassedOver || j.pieces > 0
		}
	}
}

// fillMinimumShare adds the most urgent of the deferred and late jobs while the minimum
// share has the pieces for them. A job is charged completely when it starts, since its
// other pieces then go first.
func (q *Queue) fillMinimumShare(f *batchFill, now time.Time) {
	o := &q.order
	if !o.hasShare || o.credit < 1 {
		return
	}
	o.sortDeferred()
	for i := o.inTimeEnd; i < len(o.jobs); i++ {
		j := &o.jobs[i]
		freePieces := q.freePlaces(f)
		if j.pieces == 0 {
			continue
		}
		credit := o.credit - float64(f.others)
		if freePieces == 0 || !j.job.isCharged && credit < q.neededCredit(j) {
			return
		}
		// A job that does not fit into the rest of the call waits for another one, unless it is
		// too large for any call.
		if int(j.pieces) <= freePieces || int(j.pieces) > q.maxPieces() && f.b == nil {
			f.isShare = true
			q.fillJob(f, j, freePieces, now)
			f.isShare = false
			if f.taken > 0 && !j.job.isCharged {
				q.overload.ShareStarted++
			}
			q.charge(f, j)
		}
	}
}

// charge charges a job to the minimum share once it has pieces in the call.
func (q *Queue) charge(f *batchFill, j *waitingJob) {
	if before := int(j.pieces) + f.taken; f.taken > 0 && !j.job.isCharged {
		f.others += before
		j.job.isCharged = true
	}
}

// maxPieces returns the largest number of pieces of a call.
func (q *Queue) maxPieces() int { return max(q.spec.MaxBatch, 1) }

// freePlaces returns how many pieces can be added to the call.
func (q *Queue) freePlaces(f *batchFill) int {
	if f.b == nil {
		return q.maxPieces()
	}
	return q.maxPieces() - len(f.b.Pieces)
}

// fillJob adds pieces of j if it may go to the target and there is memory for it.
func (q *Queue) fillJob(f *batchFill, j *waitingJob, freePieces int, now time.Time) {
	f.taken = 0
	if f.isReserved && j.urgency >= f.reservedFor && !j.isStarted || f.b != nil && !f.b.accepts(j.job) || !q.isSuitable(f.w, j) {
		return
	}
	if !q.hasMemoryFor(f.w, j, freePieces) {
		q.memoryShortAt = now
		if q.order.isOverloaded && (f.isShare || j.latest >= 0 && !j.isDeferred) && !j.hasReserved && !f.isReserved {
			j.hasReserved, f.isReserved, f.reservedFor = true, true, j.urgency
		}
		return
	}
	q.takePieces(f, j, now)
}

// accepts reports whether pieces of j may share the call with those that are in it.
func (b *Batch) accepts(j *Job) bool {
	if b.jobs[0] == j {
		return true
	}
	return !j.isolated && !b.jobs[0].isolated
}

// hasMemoryFor reports whether w has memory for all waiting pieces of j that go into a call
// to which freePieces more can be added. It returns true for jobs that have started, and
// for those too large for any target: they use whatever memory there is.
func (q *Queue) hasMemoryFor(w *worker, j *waitingJob, freePieces int) bool {
	allBytes := float64(j.pieces) * j.job.ResultBytes
	if q.spec.ResultMemory <= 0 || j.isStarted || allBytes > q.spec.ResultMemory {
		return true
	}
	return w.bytes+float64(min(int(j.pieces), freePieces))*j.job.ResultBytes <= q.spec.ResultMemory
}

// isSuitable reports whether j may go to w. A job that can still meet its latency target
// does not go to a target too slow for that. A job whose data is in another hall waits for
// a healthy target there while it has the time.
func (q *Queue) isSuitable(w *worker, j *waitingJob) bool {
	if j.isLocal && j.job.Hall != w.Target.Hall {
		return false
	}
	if w.slowdown >= slowThreshold && j.latest >= 0 && int64((w.slowdown-1)*float64(q.fullCall())) > j.latest {
		return false
	}
	return !q.refuses(j.job, &w.Target)
}

// takePieces moves pieces of j into the call until it is full or the target has no memory
// left.
func (q *Queue) takePieces(f *batchFill, j *waitingJob, now time.Time) {
	job, w := j.job, f.w
	for len(job.waiting) > 0 && q.freePlaces(f) > 0 {
		if q.spec.ResultMemory > 0 && w.bytes+job.ResultBytes > q.spec.ResultMemory {
			q.memoryShortAt = now
			break
		}
		if f.b == nil {
			f.b = q.newBatch(w, now)
		}
		i := job.waiting[0]
		job.waiting = job.waiting[1:]
		if job.Hall == "" {
			job.Hall = w.Target.Hall
			j.isLocal = q.isLocal(job, now)
		}
		q.addBytes(w, job.ResultBytes)
		f.b.Pieces = append(f.b.Pieces, job.piece(i, now))
		f.b.jobs = append(f.b.jobs, job)
		job.activeCalls[i]++
		f.taken++
	}
	j.pieces -= int32(f.taken)
	q.countWaiting(job, -f.taken)
	q.starts.add(f.taken)
	job.account.add(q.accounts.slot, f.taken)
}

// newBatch returns an empty call with room for the pieces that it is likely to get.
func (q *Queue) newBatch(w *worker, now time.Time) *Batch {
	size := min(q.maxPieces(), q.waitingCount)
	return &Batch{Target: w.Target, began: now, Pieces: make([]hookhall.Piece, 0, size), jobs: make([]*Job, 0, size)}
}

// MemoryConstrained reports whether targets are short of memory for results: less than a
// call's fixed time ago, pieces did not fit into the memory of a target with a free call
// slot, and enough pieces wait to fill a call.
func (q *Queue) MemoryConstrained(now time.Time) bool {
	return !q.memoryShortAt.IsZero() && now.Sub(q.memoryShortAt) < q.spec.CallTime && q.Waiting() >= q.spec.MaxBatch
}
