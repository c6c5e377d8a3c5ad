// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import "time"

// openWorkers is a heap of the workers that may get a call, the best first: quick ones,
// those in the hall of the most urgent job, those with more room. Few of many get one,
// so that they are not sorted.
type openWorkers struct {
	list  []*worker
	first *Job // the most urgent
	trial *trial
}

func (o *openWorkers) Len() int      { return len(o.list) }
func (o *openWorkers) Swap(i, j int) { o.list[i], o.list[j] = o.list[j], o.list[i] }
func (o *openWorkers) Push(s any)    { o.list = append(o.list, s.(*worker)) }

func (o *openWorkers) Less(i, j int) bool {
	a, b := o.list[i], o.list[j]
	if at, bt := o.trial.has(a), o.trial.has(b); at != bt {
		return at // its turn has come
	}
	return better(a, b, o.first)
}

func (o *openWorkers) Pop() any {
	last := o.list[len(o.list)-1]
	o.list = o.list[:len(o.list)-1]
	return last
}

// open finds the workers that may get a call.
func (q *Queue) open(now time.Time) *openWorkers {
	o := &openWorkers{first: q.first(), trial: &q.trial}
	for _, s := range q.list {
		if s.open(q.spec.Slots, now) && (q.trial.may() || !q.trial.has(s)) && (q.admits == nil || q.admits(s.Target)) {
			q.expire(s, now)
			o.list = append(o.list, s)
		}
	}
	return o
}

// expire drops what a pool has dropped itself.
func (q *Queue) expire(s *worker, now time.Time) {
	for h, r := range s.held {
		if now.After(r.expiry) {
			q.release(h)
		}
	}
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

// fill takes pieces for one call to s, nil when nothing fits. Jobs that fit
// whole go first: the results of a part of a job take up room until the rest is
// made, too. For the same reason no job is begun with what little room is left.
func (q *Queue) fill(s *worker, now time.Time) *Batch {
	b := &Batch{Target: s.Target, began: now}
	most := max(q.spec.Batch, 1)
	for _, whole := range []bool{true, false} {
		for _, j := range q.jobs {
			places := most - len(b.Pieces)
			if places == 0 {
				break
			}
			if len(j.waiting) == 0 {
				continue
			}
			if whole && len(j.waiting) > places || !b.bears(j) || !q.suits(s, j, now) {
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
	b.ReadBy = max(time.Duration(readShare*float64(q.spec.CallTime)), readLeast)
	s.busy++
	return b
}

// bears tells whether pieces of a job may go into a call beside those that are in it.
func (b *Batch) bears(j *Job) bool {
	if len(b.jobs) == 0 || b.jobs[0] == j {
		return true
	}
	return !j.alone && !b.jobs[0].alone
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
func (q *Queue) suits(s *worker, j *Job, now time.Time) bool {
	if j.refusedBy(s.Target) {
		return false
	}
	call := q.spec.CallTime + time.Duration(q.spec.Batch)*q.spec.ItemTime
	if j.Cross >= crossLeast && j.Hall != s.Target.Hall && q.working[j.Hall] > 0 && !j.pressed(call, now) {
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
		q.charge(s, j.Bytes)
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
