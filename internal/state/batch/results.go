// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// InputsRead records that a call which is still in progress has read its inputs. It does
// nothing while targets may hold results that this queue does not know: pieces may then
// fail for lack of memory and need their inputs again, so Job.InputsRead must not be called.
func (q *Queue) InputsRead(b *Batch, now time.Time) {
	if b.inputsRead || b.done || now.Before(q.unaccountedUntil) {
		return
	}
	b.inputsRead = true
	for i, j := range b.jobs {
		j.markInputsRead(b.Pieces[i].Index)
	}
}

// MarkOverdue makes the unfinished pieces of a call that takes too long wait for another
// call as well. The result that comes first is used; Done returns the handle of the other
// one. MarkOverdue returns false if it was called for b before.
func (q *Queue) MarkOverdue(b *Batch) bool {
	if b.overdue {
		return false
	}
	b.overdue = true
	for i, j := range b.jobs {
		if index := b.Pieces[i].Index; j.handles[index] == "" {
			q.requeue(j, index)
		}
	}
	return true
}

// TargetCrashed records that the target of b crashed during the call. Any of the jobs may
// have caused the crash, so each is isolated from other jobs from now on.
func (q *Queue) TargetCrashed(b *Batch) {
	for _, j := range b.jobs {
		j.isolated = true
	}
}

// Done records the results of a call, one per piece; a list of any other length, such as
// nil, means that the call failed. It returns handles that are not needed, for the caller
// to release.
func (q *Queue) Done(b *Batch, results []hookhall.PieceResult, now time.Time) []string {
	w := q.endCall(b)
	defer q.updateAfterCall(w)
	if len(results) != len(b.Pieces) {
		w.recordFailure(now)
		q.MarkOverdue(b)
		return nil
	}
	w.failures = 0
	w.recordCallTime(now.Sub(b.began), b.Expected)
	var unwanted []string
	for i, r := range results {
		index := b.Pieces[i].Index
		if r.Handle == "" && b.overdue {
			continue // it waits, or is in another call
		}
		if h := q.applyResult(w, b.jobs[i], index, r, now); h != "" {
			unwanted = append(unwanted, h)
		}
	}
	return unwanted
}

// Withdraw ends a call that was not made: its pieces wait again. It must be called instead
// of Done.
func (q *Queue) Withdraw(b *Batch) {
	w := q.endCall(b)
	defer q.updateAfterCall(w)
	q.MarkOverdue(b)
}

// endCall updates the counts for a call that is no longer in progress, and returns the
// worker that had it.
func (q *Queue) endCall(b *Batch) *worker {
	w := q.workers[b.Target.Incarnation()]
	if w == nil {
		w = newWorker(b.Target)
	}
	w.calls = slices.DeleteFunc(w.calls, func(o *Batch) bool { return o == b })
	b.done = true
	for i, j := range b.jobs {
		q.addBytes(w, -j.ResultBytes)
		j.activeCalls[b.Pieces[i].Index]--
	}
	return w
}

// updateAfterCall updates the health of w after a call, and removes w if it is no longer
// listed and this was its last call.
func (q *Queue) updateAfterCall(w *worker) {
	q.updateHealthy(w)
	if q.workers[w.Target.Incarnation()] == w {
		q.updateIdle(w)
	}
	if w.removed && len(w.calls) == 0 {
		q.removeWorker(w.Target.Incarnation(), w)
		q.workerList = slices.DeleteFunc(q.workerList, func(o *worker) bool { return o == w })
	}
}

// applyResult records the result of one piece. It returns the handle if it is not needed.
func (q *Queue) applyResult(w *worker, j *Job, index int, r hookhall.PieceResult, now time.Time) string {
	if r.Handle == "" {
		q.applyFailure(w, j, index, r.Failure, now)
		return ""
	}
	if j.finished || j.handles[index] != "" {
		return r.Handle
	}
	if j.removeWaiting(index) {
		q.countWaiting(j, -1)
	}
	j.markInputsRead(index)
	expiry := now.Add(q.spec.ResultRetention)
	if len(w.results) == 0 || expiry.Before(w.firstExpiry) {
		w.firstExpiry = expiry
	}
	w.results[r.Handle] = heldResult{j.ResultBytes, now, expiry}
	q.workersByHandle[r.Handle] = w
	q.addBytes(w, j.ResultBytes)
	j.handles[index] = r.Handle
	j.unfinishedCount--
	if j.unfinishedCount == 0 {
		q.removeJob(j)
		j.finish(Outcome{Handles: j.handles})
	}
	return ""
}

// applyFailure handles the failure of one piece: it makes the piece wait for another call
// or finishes the job.
func (q *Queue) applyFailure(w *worker, j *Job, index int, f hookhall.PieceFailure, now time.Time) {
	switch f {
	case hookhall.PieceInputGone, hookhall.PieceExpired:
		if j.activeCalls[index] > 0 {
			return // another call started earlier and has read the inputs
		}
		q.removeJob(j)
		j.finish(Outcome{Reason: f})
	case hookhall.PieceNoMemory:
		w.noMemoryUntil = now.Add(noMemoryPause)
		q.unaccountedUntil = now.Add(q.spec.ResultRetention)
		q.requeue(j, index)
	default:
		q.requeue(j, index)
		j.failures++
	}
	if j.failures >= maxPieceFailures {
		q.removeJob(j)
		j.finish(Outcome{Reason: hookhall.PieceError})
	}
}

// requeue makes a piece wait for another call.
func (q *Queue) requeue(j *Job, index int) {
	if !j.finished {
		if j.inCallsPosition > 0 {
			q.removeFromInCalls(j)
			q.jobs = append(q.jobs, j)
		}
		j.waiting = append(j.waiting, index)
		q.countWaiting(j, 1)
	}
}

// Free records that results were released, so that their memory is available at once.
func (q *Queue) Free(handles []string) {
	for _, h := range handles {
		if w := q.workersByHandle[h]; w != nil {
			q.recordHoldTime(q.dispatchedAt.Sub(w.results[h].made))
			q.releaseResult(h)
			w.noMemoryUntil = time.Time{}
		}
	}
}

// recordHoldTime includes the time for which a result was held in the average.
func (q *Queue) recordHoldTime(held time.Duration) {
	held = max(held, 0)
	if q.holdTime == 0 {
		q.holdTime = held
	}
	q.holdTime += (held - q.holdTime) / holdTimeSmoothing
}

// releaseResult removes one result and its bytes. It returns the worker that held the
// result, or nil if it is unknown.
func (q *Queue) releaseResult(handle string) *worker {
	w := q.workersByHandle[handle]
	if w == nil {
		return nil
	}
	q.addBytes(w, -w.results[handle].bytes)
	delete(w.results, handle)
	delete(q.workersByHandle, handle)
	return w
}

// Handles returns the handles of the job's results so far. After Drop the caller should
// release them.
func (j *Job) Handles() []string {
	var list []string
	for _, h := range j.handles {
		if h != "" {
			list = append(list, h)
		}
	}
	return list
}

// HeldResults returns how many bytes are counted at all targets, including those reserved
// for calls in progress, and the number of results held there.
func (q *Queue) HeldResults() (bytes float64, results int) { return q.bytes, len(q.workersByHandle) }
