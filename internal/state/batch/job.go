// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// urgencyStep is how much earlier one rank of urgency puts a job's latest start:
// about half a call. 400 ms measured no better.
const urgencyStep = 150 * time.Millisecond

// Outcome is how a job ended.
type Outcome struct {
	Handles []string // one for each piece, nil on failure
	Reason  hookhall.PieceFailure
}

// Request tells whose work a job is.
type Request struct {
	Content crashes.Digest
	Account string
}

// Job is one stage of one request.
type Job struct {
	Call   string
	Stage  int
	Count  int
	Key    string
	Inputs []string
	Request
	// Bytes is roughly the size of one result.
	Bytes float64
	// Due is the latest start that makes the request's aim. End is when the
	// results have to be there for the request to be served at all.
	Due time.Time
	End time.Time
	// Urgency ranks the request, lower first.
	Urgency int
	// Hall is where the job's data lies or will be read, "" when any will do, and
	// Cross how many bytes go between halls when it is made elsewhere. Without a
	// hall, the job's first pieces bind it to theirs.
	Hall  string
	Cross float64
	// Refused tells whether the job may not be made at a target; nil when nobody knows
	// anything against it. It must not block nor call the queue.
	Refused func(t hookhall.Target) bool
	// Finish is called once, by whoever holds the queue's lock: it must not
	// block nor call the queue.
	Finish func(Outcome)
	// InputsRead is called once, when calls that have read the inputs are at work
	// on all pieces: from then on the inputs are needed only if a piece fails. It
	// is nil when nobody asks, and must not block nor call the queue.
	InputsRead func()

	handles  []string
	waiting  []int // indexes of pieces that are in no call
	left     int   // pieces without a handle
	failures int
	ended    bool
	read     []bool // pieces that a call has read the inputs of
	unread   int    // pieces that none has
	told     bool   // InputsRead was called
	calls    []int  // calls in progress by piece
	// alone is set once a target ended that made pieces of the job and of others: its
	// next calls have no pieces but its own, so that the others are made, and their
	// requests cleared, while the one that ends targets pays alone.
	alone bool
}

// crossLeast is the number of bytes between halls from which it is worth waiting
// for the right hall: half a result of the largest kind that operators described.
const crossLeast = 500e3

// mostFailures is how many pieces of a job may fail, repeats included, before the
// job fails: more than chance brings at targets that fail one piece in a hundred.
const mostFailures = 24

func (j *Job) prepare() {
	j.handles = make([]string, j.Count)
	j.left = j.Count
	j.read = make([]bool, j.Count)
	j.unread = j.Count
	j.calls = make([]int, j.Count)
	for i := range j.Count {
		j.waiting = append(j.waiting, i)
	}
}

// refusedBy tells whether the job may not be made at a target.
func (j *Job) refusedBy(t hookhall.Target) bool { return j.Refused != nil && j.Refused(t) }

// late tells whether the aim is out of reach.
func (j *Job) late(now time.Time) bool { return now.After(j.Due) }

// started tells whether some results are there already; they take up room until
// the others are, too.
func (j *Job) started() bool { return j.left < j.Count }

// before orders jobs for the next call.
func (j *Job) before(o *Job, now time.Time) bool {
	if j.started() != o.started() {
		return j.started()
	}
	jl, ol := j.late(now), o.late(now)
	if jl != ol {
		return ol
	}
	if jl {
		if j.Urgency != o.Urgency {
			return j.Urgency < o.Urgency
		}
		return j.End.Before(o.End)
	}
	js := j.Due.Add(time.Duration(j.Urgency) * urgencyStep)
	os := o.Due.Add(time.Duration(o.Urgency) * urgencyStep)
	return js.Before(os)
}

// inputsRead takes in that a call has read a piece's inputs.
func (j *Job) inputsRead(index int) {
	if !j.read[index] {
		j.read[index] = true
		j.unread--
	}
	if j.InputsRead == nil || j.told || j.ended || j.unread > 0 {
		return
	}
	j.told = true
	j.InputsRead()
}

// drop takes a piece off those that wait.
func (j *Job) drop(index int) {
	for k, i := range j.waiting {
		if i == index {
			j.waiting = append(j.waiting[:k], j.waiting[k+1:]...)
			return
		}
	}
}

// pressed tells whether a job must be made wherever there is a place: waiting for
// one more call would cost its aim, or, once that is missed, its deadline.
func (j *Job) pressed(call time.Duration, now time.Time) bool {
	if j.late(now) {
		return now.Add(2 * call).After(j.End)
	}
	return now.Add(call).After(j.Due)
}

func (j *Job) piece(i int, now time.Time) hookhall.Piece {
	return hookhall.Piece{
		Call: j.Call, Stage: j.Stage, Index: i, Key: j.Key, Inputs: j.Inputs, Left: j.End.Sub(now),
	}
}

func (j *Job) end(o Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	j.Finish(o)
}
