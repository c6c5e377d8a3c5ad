// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
)

// Batch is one call to make.
type Batch struct {
	Target hookhall.Target
	Pieces []hookhall.Piece
	// Expected is how long the call should take.
	Expected time.Duration
	// Patience is how long the call may take before Overdue should be called.
	Patience time.Duration
	// ReadBy is how long after its start the target has read all inputs.
	ReadBy  time.Duration
	jobs    []*Job
	began   time.Time
	done    bool
	overdue bool
	read    bool // InputsRead was called
}

// Requests are those whose pieces the call has, each once.
func (b *Batch) Requests() []Request {
	var list []Request
	for _, j := range b.jobs {
		if !slices.Contains(list, j.Request) {
			list = append(list, j.Request)
		}
	}
	return list
}

// Queue is the work that waits for one pool. It is not safe for concurrent use.
type Queue struct {
	spec    hookhall.PoolSpec
	jobs    []*Job
	workers map[hookhall.Life]*worker
	// list has the workers in any order: all of them are looked at for each call, and a
	// map takes several times as long.
	list []*worker
	// holders has the worker of each result that nobody has released.
	holders map[string]*worker
	// working counts the targets that work, by hall.
	working map[string]int
	bytes   float64 // those of all workers
	trial   trial
	// admits reports whether a target accepts calls now; nil if all do.
	admits func(t hookhall.Target) bool
	short  time.Time // when work last found no room at a target with a free place
	// unsure is until when targets may hold results of another, lost queue: one
	// reported no room where this queue's account has some.
	unsure time.Time
}

// NewQueue makes an empty queue.
func NewQueue() *Queue {
	return &Queue{workers: map[hookhall.Life]*worker{}, holders: map[string]*worker{}, working: map[string]int{}}
}

// Configure takes in what the operators say of the pool, and which targets may
// get work. Targets that are not named get none, and their results are
// forgotten.
func (q *Queue) Configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	q.spec = spec
	current := map[hookhall.Life]bool{}
	for _, t := range targets {
		current[t.Life()] = true
		s := q.workers[t.Life()]
		if s == nil {
			s = newWorker(t)
			q.workers[t.Life()] = s
		}
		s.Target = t
	}
	q.list = q.list[:0]
	clear(q.working)
	for l, s := range q.workers {
		if !current[l] && s.busy == 0 {
			q.forget(l, s)
			continue
		}
		if s.gone = !current[l]; s.gone {
			s.Target.Leaving = true
		}
		q.list = append(q.list, s)
		s.counted = false
		q.count(s)
	}
}

// Admit sets which targets accept calls now. The others keep their results.
func (q *Queue) Admit(admits func(t hookhall.Target) bool) { q.admits = admits }

// forget drops what is known of a target that is gone, its results included.
func (q *Queue) forget(l hookhall.Life, s *worker) {
	for h := range s.held {
		delete(q.holders, h)
	}
	q.bytes -= s.bytes
	delete(q.workers, l)
}

// count keeps the account of the targets that work, by hall.
func (q *Queue) count(s *worker) {
	works := s.works()
	if works == s.counted {
		return
	}
	s.counted = works
	if works {
		q.working[s.Target.Hall]++
	} else {
		q.working[s.Target.Hall]--
	}
}

// charge counts bytes at a worker.
func (q *Queue) charge(s *worker, bytes float64) {
	s.bytes += bytes
	q.bytes += bytes
}

// Add queues a job.
func (q *Queue) Add(j *Job) {
	j.prepare()
	q.jobs = append(q.jobs, j)
}

// Drop cancels a job; pieces that are in a call already are released as they come.
func (q *Queue) Drop(j *Job) {
	j.ended = true
	q.remove(j)
}

func (q *Queue) remove(j *Job) {
	for i, o := range q.jobs {
		if o == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return
		}
	}
}

// Waiting is the number of pieces that are in no call.
func (q *Queue) Waiting() int {
	n := 0
	for _, j := range q.jobs {
		n += len(j.waiting)
	}
	return n
}

// expireJobs ends jobs that can't be made in time any more: a piece that waits
// takes a call at least.
func (q *Queue) expireJobs(now time.Time) {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		soonest := now
		if len(j.waiting) > 0 {
			soonest = now.Add(q.spec.CallTime)
		}
		if !j.ended && soonest.After(j.End) {
			j.end(Outcome{Reason: hookhall.PieceLate})
		}
		if !j.ended {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
}

// Abandon ends all jobs that need another call: no target may get one, and none is
// expected soon. Those whose pieces are all at work go on.
func (q *Queue) Abandon() {
	q.endWaiting(hookhall.PieceNoTarget, func(*Job) bool { return true })
}

// AbandonBefore does so for the jobs that end before t, the time of the next possible call.
func (q *Queue) AbandonBefore(t time.Time) {
	q.endWaiting(hookhall.PieceNoTarget, func(j *Job) bool { return j.End.Before(t) })
}

// refuse ends the jobs that no target may make.
func (q *Queue) refuse() {
	q.endWaiting(hookhall.PieceCrashes, q.refusedByAll)
}

// endWaiting ends those of the jobs that need another call which f picks.
func (q *Queue) endWaiting(reason hookhall.PieceFailure, f func(j *Job) bool) {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if len(j.waiting) > 0 && f(j) {
			j.end(Outcome{Reason: reason})
		}
		if !j.ended {
			kept = append(kept, j)
		}
	}
	q.jobs = kept
}

// refusedByAll tells whether a job may be made at none of the targets that there are.
func (q *Queue) refusedByAll(j *Job) bool {
	if j.Refused == nil || len(q.workers) == 0 {
		return false
	}
	for _, s := range q.workers {
		if !j.Refused(s.Target) {
			return false
		}
	}
	return true
}

// Next returns the calls to make now, most urgent pieces first.
func (q *Queue) Next(now time.Time) []*Batch {
	q.expireJobs(now)
	q.refuse()
	if q.first() == nil {
		return nil
	}
	sort.SliceStable(q.jobs, func(i, j int) bool { return q.jobs[i].before(q.jobs[j], now) })
	open := q.open(now)
	heap.Init(open)
	var batches []*Batch
	for open.Len() > 0 && q.first() != nil {
		s := heap.Pop(open).(*worker)
		if q.trial.has(s) && !q.trial.may() {
			continue
		}
		if b := q.fill(s, now); b != nil {
			q.trial.count(s)
			batches = append(batches, b)
		}
	}
	return batches
}
