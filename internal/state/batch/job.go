// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// urgencyStep is how much later each level of Job.Urgency puts the job in the order by
// latest start: about half the duration of a call. A less urgent job goes first only if
// its latest start is earlier by more than that per level.
const urgencyStep = 150 * time.Millisecond

// Outcome is the result of a job.
type Outcome struct {
	Handles []string              // one per piece in the order of the pieces, nil on failure
	Reason  hookhall.PieceFailure // "" on success
}

// Request identifies the request that a job belongs to: its content and client account, and what the
// job shares with those of other requests.
type Request struct {
	Content crashes.Digest
	Account string
	// PieceKey is the job's key as a part, zero for stages with inputs.
	PieceKey crashes.Part
}

// Identity returns what stays the same when the request comes again.
func (r Request) Identity() crashes.Identity {
	i := crashes.Identity{Account: r.Account, Content: r.Content}
	if r.PieceKey != (crashes.Part{}) {
		i.Parts = []crashes.Part{r.PieceKey}
	}
	return i
}

// Job is one stage of one request. Its exported fields are set before Queue.Add and not
// changed by the caller afterwards.
type Job struct {
	RequestID  string   // the request's ID
	Stage      int      // the index of the stage in the request
	PieceCount int      // the number of pieces
	Key        string   // for stages without inputs
	Inputs     []string // handles, for stages with inputs
	Request
	// ResultBytes is the approximate size of one result.
	ResultBytes float64
	// LatestStart is the latest start that meets the request's latency target.
	LatestStart time.Time
	// Deadline is the deadline of the request: results that come later are useless.
	Deadline time.Time
	// InputsExpire is when the first input expires at the target that holds it; zero if the job
	// reads no inputs, or if it is not known.
	InputsExpire time.Time
	// Urgency ranks the request; lower values go first.
	Urgency int
	// Hall is where the job's data is or will be read. If it is "", any target may get the
	// first pieces, and the queue then sets it to the hall of that target.
	Hall string
	// CrossHallBytes is how many bytes cross halls if the job runs in another hall.
	CrossHallBytes float64
	// Refused reports whether the job must not run on a target, by the target's software; nil
	// means that none refuses it. It must not block or call the queue.
	Refused func(t hookhall.Target) bool
	// Finish is called exactly once unless the job is dropped, by the goroutine that holds the
	// lock of the queue. It must not block or call the queue.
	Finish func(Outcome)
	// InputsRead is called at most once, when for every piece a call in progress has read the
	// inputs: from then on they are needed only if a piece fails. It may be nil, and must not
	// block or call the queue.
	InputsRead func()

	handles            []string // by piece, "" for one without a result
	waiting            []int    // indexes of pieces that are in no call
	unfinishedCount    int      // pieces without a handle
	failures           int      // failed pieces, retries included
	finished           bool     // Finish was called, or the job was dropped
	inputsReadByPiece  []bool   // whether a call has read the inputs of a piece
	unreadCount        int      // pieces whose inputs no call has read
	inputsReadReported bool     // InputsRead was called
	activeCalls        []int    // calls in progress by piece
	// isolated is set once a target crashed while it made pieces of this job. The next calls
	// with pieces of this job contain none of other jobs, so that only the request content
	// that causes crashes accumulates them, while the other jobs are served and their contents
	// cleared.
	isolated bool
	// handedOver is set by Queue.HandOver: the job gets no further calls.
	handedOver bool

	account *account
	level   *level
	latest  int64 // nanoseconds until LatestStart as of the dispatch
	// latestAt and deadlineAt are LatestStart and Deadline in nanoseconds after the queue's
	// epoch, set in the first dispatch.
	latestAt, deadlineAt int64
	inputsExpireAt       int64 // InputsExpire in the same way, the largest value if it is zero
	hasTimes             bool
	inCallsPosition      int // 1 more than the index in Queue.inCalls, 0 if it is not there
	keys                 sortKeys
	refusals             [2]refusal
	// isCharged is set once the pieces of the job were charged to the minimum share.
	isCharged bool
}

// minCrossHallBytes is the number of bytes between halls from which a job waits for a
// target in the hall of its data: half a result of the largest kind that operators
// described.
const minCrossHallBytes = 500e3

// maxPieceFailures is how many pieces of a job may fail, retries included, before the job
// fails: more than occur by chance on targets that fail 1 in 100 pieces.
const maxPieceFailures = 24

// prepare initializes the state of the pieces; all of them wait.
func (j *Job) prepare() {
	j.handles = make([]string, j.PieceCount)
	j.unfinishedCount = j.PieceCount
	j.inputsReadByPiece = make([]bool, j.PieceCount)
	j.unreadCount = j.PieceCount
	j.activeCalls = make([]int, j.PieceCount)
	for i := range j.PieceCount {
		j.waiting = append(j.waiting, i)
	}
}

// isLate reports whether the job can no longer meet its latency target.
func (j *Job) isLate(now time.Time) bool { return now.After(j.LatestStart) }

// isStarted reports whether the job has some results. They occupy memory until the others
// are made as well.
func (j *Job) isStarted() bool { return j.unfinishedCount < j.PieceCount }

// markInputsRead records that a call has read the inputs of the piece at index, and calls
// InputsRead once this holds for all pieces.
func (j *Job) markInputsRead(index int) {
	if !j.inputsReadByPiece[index] {
		j.inputsReadByPiece[index] = true
		j.unreadCount--
	}
	if j.InputsRead == nil || j.inputsReadReported || j.finished || j.unreadCount > 0 {
		return
	}
	j.inputsReadReported = true
	j.InputsRead()
}

// needsInputs reports whether a piece of the job waits that is in no other call. A piece that
// is has its inputs.
func (j *Job) needsInputs() bool {
	for _, i := range j.waiting {
		if j.activeCalls[i] == 0 {
			return true
		}
	}
	return false
}

// removeWaiting removes a piece from the waiting ones. It returns false if the piece does
// not wait.
func (j *Job) removeWaiting(index int) bool {
	for k, i := range j.waiting {
		if i == index {
			j.waiting = append(j.waiting[:k], j.waiting[k+1:]...)
			return true
		}
	}
	return false
}

// hasNoSlack reports whether the job must run on any target with a free slot: waiting
// for the duration of one more call would miss its latency target or, if that is missed
// already, its deadline.
func (j *Job) hasNoSlack(call time.Duration, now time.Time) bool {
	if j.isLate(now) {
		return now.Add(2 * call).After(j.Deadline)
	}
	return now.Add(call).After(j.LatestStart)
}

// piece returns the piece at index i as sent to a target at now.
func (j *Job) piece(i int, now time.Time) hookhall.Piece {
	return hookhall.Piece{
		Call: j.RequestID, Stage: j.Stage, Index: i, Key: j.Key, Inputs: j.Inputs, Remaining: j.Deadline.Sub(now),
	}
}

// finish calls Finish with o unless the job is finished already.
func (j *Job) finish(o Outcome) {
	if j.finished {
		return
	}
	j.finished = true
	j.Finish(o)
}
