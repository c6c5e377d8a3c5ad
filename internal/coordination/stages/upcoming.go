// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"time"

	"github.com/hookhall/hookhall"
)

// progress records which stages of a request were submitted and have ended, and which of
// them report later ones. execution.mu guards it.
type progress struct {
	predecessors [][]bool    // by stage, the stages that it reads or starts after, directly or through others
	isSubmitted  []bool      // by stage
	endedAt      []time.Time // by stage, zero if it has not ended
	// reporter is, by stage, the stage whose Work.Next last contained it, -1 for none.
	reporter []int
}

// newProgress returns the progress of an execution that has not begun. startAfter must be set.
func (e *execution) newProgress() progress {
	stageCount := len(e.graph.Route.Stages)
	p := progress{
		predecessors: make([][]bool, stageCount), isSubmitted: make([]bool, stageCount),
		endedAt: make([]time.Time, stageCount), reporter: make([]int, stageCount),
	}
	for i := range p.predecessors {
		p.predecessors[i] = make([]bool, stageCount)
		e.markPredecessors(i, p.predecessors[i])
		p.reporter[i] = -1
	}
	return p
}

// markPredecessors sets marked for all stages that stage i waits for.
func (e *execution) markPredecessors(i int, marked []bool) {
	for _, j := range e.waitsFor(i) {
		if !marked[j] {
			marked[j] = true
			e.markPredecessors(j, marked)
		}
	}
}

// submit records that stage i is submitted, and returns the stages that follow it without
// those that another running stage reports. Of the stages that could report one at a time,
// the one with the lowest index does. A stage stays unreported from the end of the stage that
// reported it until the next one of its predecessors is submitted. e.mu must be held.
func (e *execution) submit(i int) []hookhall.UpcomingStage {
	e.progress.isSubmitted[i] = true
	var next []hookhall.UpcomingStage
	for k, stage := range e.graph.Route.Stages {
		if e.pieceCount(k) == 0 || !e.progress.predecessors[k][i] || e.isReportedByOther(k, i) {
			continue
		}
		e.progress.reporter[k] = i
		next = append(next, hookhall.UpcomingStage{Service: stage.Service, Pieces: e.pieceCount(k)})
	}
	return next
}

// isReportedByOther reports whether a stage other than i that has not ended reports stage k,
// or will report it because it is ready and has a lower index. e.mu must be held.
func (e *execution) isReportedByOther(k, i int) bool {
	for j, isPredecessor := range e.progress.predecessors[k] {
		if !isPredecessor || j == i || e.pieceCount(j) == 0 || e.hasEnded(j) {
			continue
		}
		if e.progress.reporter[k] == j || (j < i && !e.progress.isSubmitted[j] && e.isReady(j)) {
			return true
		}
	}
	return false
}

// hasEnded reports whether stage i has ended. e.mu must be held.
func (e *execution) hasEnded(i int) bool { return !e.progress.endedAt[i].IsZero() }

// isReady reports whether all stages that stage i waits for have ended; those without pieces
// don't count. e.mu must be held.
func (e *execution) isReady(i int) bool {
	for j, isPredecessor := range e.progress.predecessors[i] {
		if isPredecessor && e.pieceCount(j) > 0 && !e.hasEnded(j) {
			return false
		}
	}
	return true
}

// inputsExpire returns when the first inputs of stage i expire: the targets drop results
// ResultRetention after their call, which ended before the stage. It returns the zero time if
// the stage reads nothing or the retention is not known. e.mu must be held.
func (e *execution) inputsExpire(i int) time.Time {
	var earliest time.Time
	for _, j := range e.graph.Route.Stages[i].InputStages {
		service := e.graph.Table.Service(e.graph.Route.Stages[j].Service)
		if !e.hasEnded(j) || service == nil || service.Pool == nil || service.Pool.ResultRetention <= 0 {
			continue
		}
		expiry := e.progress.endedAt[j].Add(service.Pool.ResultRetention)
		if earliest.IsZero() || expiry.Before(earliest) {
			earliest = expiry
		}
	}
	return earliest
}
