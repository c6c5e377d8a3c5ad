// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
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

// Queue is the work that waits for one pool. It is not safe for concurrent use.
type Queue struct {
	spec    hookhall.PoolSpec
	jobs    []*Job
	workers map[string]*worker // by target's id
	short   time.Time          // when work last found no room at a target with a free place
}

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{workers: map[string]*worker{}} }

// Configure takes in what the operators say of the pool, and which targets may
// get work. Targets that are not named get none, and their results are
// forgotten.
func (q *Queue) Configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	q.spec = spec
	current := map[string]bool{}
	for _, t := range targets {
		current[t.ID] = true
		if s := q.workers[t.ID]; s != nil {
			s.Target = t
			continue
		}
		q.workers[t.ID] = newWorker(t)
	}
	for id, s := range q.workers {
		if !current[id] && s.busy == 0 {
			delete(q.workers, id)
		} else if !current[id] {
			s.Target.Leaving = true
		}
	}
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

// Next returns the calls to make now, most urgent pieces first.
func (q *Queue) Next(now time.Time) []*Batch {
	q.expireJobs(now)
	if len(q.jobs) == 0 {
		return nil
	}
	sort.SliceStable(q.jobs, func(i, j int) bool { return q.jobs[i].before(q.jobs[j], now) })
	halls := q.halls()
	var batches []*Batch
	for _, s := range q.open(now) {
		if b := q.fill(s, halls, now); b != nil {
			batches = append(batches, b)
		}
	}
	return batches
}

// open lists the workers that may get a call, the best first: quick ones, those in
// the hall of the most urgent job, those with more room.
func (q *Queue) open(now time.Time) []*worker {
	first := q.first()
	if first == nil {
		return nil
	}
	var list []*worker
	for _, s := range q.workers {
		if s.open(q.spec.Slots, now) {
			s.expire(now)
			list = append(list, s)
		}
	}
	sort.Slice(list, func(i, j int) bool { return better(list[i], list[j], first) })
	return list
}

// first is the most urgent job with pieces that wait.
func (q *Queue) first() *Job {
	for _, j := range q.jobs {
		if len(j.waiting) > 0 {
			return j
		}
	}
	return nil
}

func better(a, b *worker, j *Job) bool {
	as, bs := a.pace > slowPace, b.pace > slowPace
	if as != bs {
		return bs
	}
	an, bn := a.Target.Hall == j.Hall, b.Target.Hall == j.Hall
	if an != bn {
		return an
	}
	if a.bytes != b.bytes {
		return a.bytes < b.bytes
	}
	return a.Target.ID < b.Target.ID
}

// halls are those with a target that works.
func (q *Queue) halls() map[string]bool {
	halls := map[string]bool{}
	for _, s := range q.workers {
		if !s.Target.Leaving && s.fails == 0 && s.pace < slowPace {
			halls[s.Target.Hall] = true
		}
	}
	return halls
}

// fill takes pieces for one call to s, nil when nothing fits. Jobs that fit
// whole go first: the results of a part of a job take up room until the rest is
// made, too. For the same reason no job is begun with what little room is left.
func (q *Queue) fill(s *worker, halls map[string]bool, now time.Time) *Batch {
	b := &Batch{Target: s.Target, began: now}
	most := max(q.spec.Batch, 1)
	for _, whole := range []bool{true, false} {
		for _, j := range q.jobs {
			places := most - len(b.Pieces)
			if whole && len(j.waiting) > places || !q.suits(s, j, halls, now) {
				continue
			}
			if !q.roomy(s, j, places) {
				q.short = now
				continue
			}
			q.takePieces(s, j, b, most, now)
		}
	}
	if len(b.Pieces) == 0 {
		return nil
	}
	b.Expected = q.spec.CallTime + time.Duration(len(b.Pieces))*q.spec.ItemTime
	b.Patience = s.patience(b.Expected)
	b.ReadBy = time.Duration(readShare * float64(q.spec.CallTime))
	s.busy++
	return b
}

// roomy tells whether the target has room for all pieces of a job that go into a
// call with so many free places. Jobs that have begun, or that no target's room
// holds whole, take what there is.
func (q *Queue) roomy(s *worker, j *Job, places int) bool {
	whole := float64(len(j.waiting)) * j.Bytes
	if q.spec.Room <= 0 || j.started() || whole > q.spec.Room {
		return true
	}
	return s.bytes+float64(min(len(j.waiting), places))*j.Bytes <= q.spec.Room
}

// suits tells whether a job may go to a target: one that can still make its aim
// does not go where the target's pace would cost it, and one whose data lies in
// another hall waits for a target there while it has the time.
func (q *Queue) suits(s *worker, j *Job, halls map[string]bool, now time.Time) bool {
	call := q.spec.CallTime + time.Duration(q.spec.Batch)*q.spec.ItemTime
	if j.Cross >= crossLeast && j.Hall != s.Target.Hall && halls[j.Hall] && !j.pressed(call, now) {
		return false
	}
	if s.pace < slowPace || j.late(now) {
		return true
	}
	return !now.Add(time.Duration((s.pace - 1) * float64(call))).After(j.Due)
}

// takePieces moves pieces of j into b while there is room.
func (q *Queue) takePieces(s *worker, j *Job, b *Batch, most int, now time.Time) {
	for len(j.waiting) > 0 && len(b.Pieces) < most {
		if q.spec.Room > 0 && s.bytes+j.Bytes > q.spec.Room {
			q.short = now
			return
		}
		i := j.waiting[0]
		j.waiting = j.waiting[1:]
		if j.Hall == "" {
			j.Hall = s.Target.Hall
		}
		s.bytes += j.Bytes
		b.Pieces = append(b.Pieces, j.piece(i, now))
		b.jobs = append(b.jobs, j)
		j.calls[i]++
	}
}

// Crowded tells whether room holds work back: some found none a moment ago, at a
// target with a free place, and what waits would fill a call.
func (q *Queue) Crowded(now time.Time) bool {
	return !q.short.IsZero() && now.Sub(q.short) < q.spec.CallTime && q.Waiting() >= q.spec.Batch
}

// InputsRead takes in that a call which is still at work has read its inputs.
func (q *Queue) InputsRead(b *Batch) {
	if b.read || b.done {
		return
	}
	b.read = true
	for i, j := range b.jobs {
		j.inputsRead(b.Pieces[i].Index)
	}
}

// Overdue lets the pieces of a call that takes too long wait for another one as
// well. Whichever makes a piece first is taken; the other result is not needed.
// It tells whether there was anything to do.
func (q *Queue) Overdue(b *Batch) bool {
	if b.overdue {
		return false
	}
	b.overdue = true
	for i, j := range b.jobs {
		if index := b.Pieces[i].Index; j.handles[index] == "" {
			q.again(j, index)
		}
	}
	return true
}

// Done takes in a call's answers; a nil list means that the call failed. It
// returns handles that nobody needs, for the caller to release.
func (q *Queue) Done(b *Batch, results []hookhall.PieceResult, now time.Time) []string {
	s := q.workers[b.Target.ID]
	if s == nil {
		s = newWorker(b.Target)
	}
	s.busy--
	b.done = true
	for i, j := range b.jobs {
		s.bytes -= j.Bytes
		j.calls[b.Pieces[i].Index]--
	}
	if len(results) != len(b.Pieces) {
		s.failed(now)
		q.Overdue(b)
		return nil
	}
	s.fails = 0
	s.learn(now.Sub(b.began), b.Expected)
	var unwanted []string
	for i, r := range results {
		index := b.Pieces[i].Index
		if r.Handle == "" && b.overdue {
			continue // it waits, or is made elsewhere
		}
		if h := q.take(s, b.jobs[i], index, r, now); h != "" {
			unwanted = append(unwanted, h)
		}
	}
	return unwanted
}

// take takes in one piece's result and returns its handle if nobody needs it.
func (q *Queue) take(s *worker, j *Job, index int, r hookhall.PieceResult, now time.Time) string {
	if r.Handle == "" {
		q.fail(s, j, index, r.Failure, now)
		return ""
	}
	if j.ended || j.handles[index] != "" {
		return r.Handle
	}
	j.drop(index)
	j.inputsRead(index)
	s.held[r.Handle] = held{j.Bytes, now.Add(q.spec.Keep)}
	s.bytes += j.Bytes
	j.handles[index] = r.Handle
	j.left--
	if j.left == 0 {
		q.remove(j)
		j.end(Outcome{Handles: j.handles})
	}
	return ""
}

func (q *Queue) fail(s *worker, j *Job, index int, f hookhall.PieceFailure, now time.Time) {
	switch f {
	case hookhall.PieceGone, hookhall.PieceLate:
		if j.calls[index] > 0 {
			return // another call began earlier, and has read the inputs
		}
		q.remove(j)
		j.end(Outcome{Reason: f})
	case hookhall.PieceNoRoom:
		s.noRoom = now.Add(roomPause)
		q.again(j, index)
	default:
		q.again(j, index)
		j.failures++
	}
	if j.failures >= mostFailures {
		q.remove(j)
		j.end(Outcome{Reason: hookhall.PieceError})
	}
}

// again lets a piece wait for another call.
func (q *Queue) again(j *Job, index int) {
	if !j.ended {
		j.waiting = append(j.waiting, index)
	}
}

// Free takes released results off the account of room.
func (q *Queue) Free(handles []string) {
	for _, h := range handles {
		for _, s := range q.workers {
			if s.free(h) {
				s.noRoom = time.Time{}
				break
			}
		}
	}
}

// Handles are the results of j so far; after Drop the caller should release them.
func (j *Job) Handles() []string {
	var list []string
	for _, h := range j.handles {
		if h != "" {
			list = append(list, h)
		}
	}
	return list
}

// Held is how many bytes results take up at all targets, by the queue's account,
// and how many results there are.
func (q *Queue) Held() (bytes float64, results int) {
	for _, s := range q.workers {
		bytes += s.bytes
		results += len(s.held)
	}
	return bytes, results
}
