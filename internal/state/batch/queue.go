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
	jobs     []*Job
	began    time.Time
}

// Queue is the work that waits for one pool. It is not safe for concurrent use.
type Queue struct {
	spec  hookhall.PoolSpec
	jobs  []*Job
	seats map[string]*Seat // by target's id
}

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{seats: map[string]*Seat{}} }

// Configure takes in what the operators say of the pool, and which targets may
// get work. Targets that are not named get none, and their results are
// forgotten.
func (q *Queue) Configure(spec hookhall.PoolSpec, targets []hookhall.Target) {
	q.spec = spec
	current := map[string]bool{}
	for _, t := range targets {
		current[t.ID] = true
		if s := q.seats[t.ID]; s != nil {
			s.Target = t
			continue
		}
		q.seats[t.ID] = newSeat(t)
	}
	for id, s := range q.seats {
		if !current[id] && s.busy == 0 {
			delete(q.seats, id)
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

// Drop gives a job up; what is in a call already is freed as it comes.
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

// expireJobs ends jobs whose deadline has passed.
func (q *Queue) expireJobs(now time.Time) {
	kept := q.jobs[:0]
	for _, j := range q.jobs {
		if !j.ended && now.After(j.End) {
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
	var batches []*Batch
	for {
		s := q.free(now)
		if s == nil {
			return batches
		}
		b := q.fill(s, now)
		if b == nil {
			s.until = now.Add(roomPause)
			continue
		}
		batches = append(batches, b)
	}
}

// free finds the best seat that may get a call, nil when there is none or
// nothing waits.
func (q *Queue) free(now time.Time) *Seat {
	first := q.first()
	if first == nil {
		return nil
	}
	var best *Seat
	for _, s := range q.seats {
		if s.busy >= max(q.spec.Slots, 1) || s.Target.Leaving || now.Before(s.until) {
			continue
		}
		s.expire(now)
		if best == nil || q.better(s, best, first) {
			best = s
		}
	}
	return best
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

// better prefers quick targets, then the hall where results will be read, then
// those with more room.
func (q *Queue) better(a, b *Seat, j *Job) bool {
	if a.pace > 1.5*b.pace || b.pace > 1.5*a.pace {
		return a.pace < b.pace
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

// fill takes pieces for one call to s, nil when nothing fits.
func (q *Queue) fill(s *Seat, now time.Time) *Batch {
	b := &Batch{Target: s.Target, began: now}
	for _, j := range q.jobs {
		for len(j.waiting) > 0 && len(b.Pieces) < max(q.spec.Batch, 1) {
			if q.spec.Room > 0 && s.bytes+j.Bytes > q.spec.Room {
				break
			}
			i := j.waiting[0]
			j.waiting = j.waiting[1:]
			s.bytes += j.Bytes
			b.Pieces = append(b.Pieces, j.piece(i, now))
			b.jobs = append(b.jobs, j)
		}
	}
	if len(b.Pieces) == 0 {
		return nil
	}
	b.Expected = q.spec.CallTime + time.Duration(len(b.Pieces))*q.spec.ItemTime
	s.busy++
	return b
}

// Done takes in a call's answers; a nil list means that the call failed. It
// returns handles that nobody needs, to be given up.
func (q *Queue) Done(b *Batch, results []hookhall.PieceResult, now time.Time) []string {
	s := q.seats[b.Target.ID]
	if s == nil {
		s = newSeat(b.Target)
	}
	s.busy--
	for _, j := range b.jobs {
		s.bytes -= j.Bytes
	}
	if len(results) != len(b.Pieces) {
		s.failed(now)
		for i, j := range b.jobs {
			q.again(j, b.Pieces[i].Index)
		}
		return nil
	}
	s.fails = 0
	s.learn(now.Sub(b.began), b.Expected)
	var unwanted []string
	for i, r := range results {
		if h := q.take(s, b.jobs[i], b.Pieces[i].Index, r, now); h != "" {
			unwanted = append(unwanted, h)
		}
	}
	return unwanted
}

// take takes in one piece's result and returns its handle if nobody needs it.
func (q *Queue) take(s *Seat, j *Job, index int, r hookhall.PieceResult, now time.Time) string {
	if r.Handle == "" {
		q.fail(s, j, index, r.Failure, now)
		return ""
	}
	if j.ended {
		return r.Handle
	}
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

func (q *Queue) fail(s *Seat, j *Job, index int, f hookhall.PieceFailure, now time.Time) {
	switch f {
	case hookhall.PieceGone, hookhall.PieceLate:
		q.remove(j)
		j.end(Outcome{Reason: f})
	case hookhall.PieceNoRoom:
		s.until = now.Add(roomPause)
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

// Free forgets results that were given up.
func (q *Queue) Free(handles []string) {
	for _, h := range handles {
		for _, s := range q.seats {
			if s.free(h) {
				s.until = time.Time{}
				break
			}
		}
	}
}

// Handles are the results of j so far; after Drop they should be given up.
func (j *Job) Handles() []string {
	var list []string
	for _, h := range j.handles {
		if h != "" {
			list = append(list, h)
		}
	}
	return list
}
