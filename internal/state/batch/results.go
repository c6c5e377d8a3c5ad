// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// InputsRead takes in that a call which is still at work has read its inputs. While
// targets hold results that this queue does not know of, pieces may find no room
// and need their inputs again, so that nobody is told.
func (q *Queue) InputsRead(b *Batch, now time.Time) {
	if b.read || b.done || now.Before(q.unsure) {
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

// Ended takes in that a call's target ended while it was at work: each of the jobs may be
// the one that ended it.
func (q *Queue) Ended(b *Batch) {
	for _, j := range b.jobs {
		j.alone = true
	}
}

// Done takes in a call's answers; a nil list means that the call failed. It
// returns handles that nobody needs, for the caller to release.
func (q *Queue) Done(b *Batch, results []hookhall.PieceResult, now time.Time) []string {
	s := q.over(b)
	defer q.settle(s)
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

// Withdraw takes back a call that was not made: its pieces wait for another one.
func (q *Queue) Withdraw(b *Batch) {
	s := q.over(b)
	defer q.settle(s)
	q.Overdue(b)
}

// over takes in that a call is no longer at work, and returns the worker that had it.
func (q *Queue) over(b *Batch) *worker {
	s := q.workers[b.Target.Life()]
	if s == nil {
		s = newWorker(b.Target)
	}
	s.busy--
	b.done = true
	for i, j := range b.jobs {
		q.charge(s, -j.Bytes)
		j.calls[b.Pieces[i].Index]--
	}
	return s
}

// settle keeps the accounts of a worker after a call has ended there.
func (q *Queue) settle(s *worker) {
	q.count(s)
	if s.gone && s.busy == 0 {
		q.forget(s.Target.Life(), s)
		q.list = slices.DeleteFunc(q.list, func(o *worker) bool { return o == s })
	}
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
	q.holders[r.Handle] = s
	q.charge(s, j.Bytes)
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
		q.unsure = now.Add(q.spec.Keep)
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
		if s := q.release(h); s != nil {
			s.noRoom = time.Time{}
		}
	}
}

// release takes one result off the account, and returns the worker that held it, nil
// when none did.
func (q *Queue) release(handle string) *worker {
	s := q.holders[handle]
	if s == nil {
		return nil
	}
	q.charge(s, -s.held[handle].bytes)
	delete(s.held, handle)
	delete(q.holders, handle)
	return s
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
func (q *Queue) Held() (bytes float64, results int) { return q.bytes, len(q.holders) }
