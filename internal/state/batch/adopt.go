// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
)

// HandedOver is the reason of jobs that HandOver ends: another queue, that of the pool's new
// owner, has to run them. No target reports it.
const HandedOver hookhall.PieceFailure = "handed over"

// Adopt counts results of an earlier queue of the pool that the targets still hold, and returns
// how many it added. makerOf returns the address of the target that made a result. Results are
// ignored that are known already, have expired, or were made by a target that is not one of
// the last Configure.
func (q *Queue) Adopt(results []hookhall.HeldResult, makerOf func(handle string) string, now time.Time) int {
	workersByAddress := map[string]*worker{}
	for _, w := range q.workers {
		if !w.removed {
			workersByAddress[w.Target.Address] = w
		}
	}
	adopted := 0
	for _, r := range results {
		w := workersByAddress[makerOf(r.Handle)]
		isKnown := q.workersByHandle[r.Handle] != nil
		// The comparison also excludes sizes that are not a number.
		if w == nil || isKnown || r.Remaining <= 0 || !(r.Bytes >= 0) {
			continue
		}
		bytes := min(r.Bytes, q.spec.ResultMemory)
		expiry := now.Add(min(r.Remaining, q.spec.ResultRetention))
		w.results[r.Handle] = heldResult{bytes, expiry.Add(-q.spec.ResultRetention), expiry}
		q.workersByHandle[r.Handle] = w
		q.addBytes(w, bytes)
		adopted++
	}
	return adopted
}

// HandOver finishes, with reason HandedOver, the jobs that have waiting pieces, and returns how
// many it finished. The other present jobs continue with the calls in progress; EndHandedOver
// finishes those of them that need another call. Jobs that are added later are not affected.
func (q *Queue) HandOver() int {
	for _, list := range [2][]*Job{q.jobs, q.inCalls} {
		for _, j := range list {
			j.handedOver = true
		}
	}
	before := len(q.jobs)
	q.EndHandedOver()
	return before - len(q.jobs)
}

// EndHandedOver finishes the jobs of the last HandOver that need another call. It must be called
// before Next.
func (q *Queue) EndHandedOver() {
	q.finishWaiting(HandedOver, func(j *Job) bool { return j.handedOver })
}
