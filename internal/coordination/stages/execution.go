// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// execution runs the stages of one request.
type execution struct {
	runner *Runner
	graph  Graph
	cancel context.CancelFunc

	// done has a channel for each stage, closed when the stage has ended.
	done []chan struct{}
	// startAfter lists, for each stage, the stages that it waits for besides those it reads.
	startAfter [][]int
	// sequence has the stages in an order in which each one follows those that it waits for.
	sequence []int
	// timeToAnswer is the expected time from the start of each stage to the start of the answer.
	timeToAnswer []time.Duration
	// minTimeAfterStage is the shortest time from the end of each stage to the start of the
	// answer, without any wait.
	minTimeAfterStage []time.Duration
	// pendingReaders counts, for each stage, the stages that have yet to read it.
	pendingReaders []int

	mu             sync.Mutex // guards the fields below, and pendingReaders while stages run
	handlesByStage [][]string
	err            error
	progress       progress
}

// maxStages bounds the stages of a route: an execution has room for each pair of them.
const maxStages = 256

// newExecution returns an execution that has not begun. It fails if there are more than maxStages, if a stage
// reads itself or a later one, or if stages wait for each other.
func newExecution(r *Runner, g Graph) (*execution, error) {
	stageCount := len(g.Route.Stages)
	if stageCount > maxStages {
		return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "route %s has %d stages, more than %d", g.Route.Name, stageCount, maxStages)
	}
	e := &execution{
		runner: r, graph: g, done: make([]chan struct{}, stageCount), handlesByStage: make([][]string, stageCount),
		timeToAnswer: make([]time.Duration, stageCount), minTimeAfterStage: make([]time.Duration, stageCount), pendingReaders: make([]int, stageCount),
	}
	for i, s := range g.Route.Stages {
		e.done[i] = make(chan struct{})
		for _, j := range s.InputStages {
			if j < 0 || j >= i {
				return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "stage %d of route %s reads stage %d", i, g.Route.Name, j)
			}
			if e.pieceCount(i) > 0 {
				e.pendingReaders[j]++
			}
		}
	}
	e.computeTimes()
	var err error
	if e.sequence, err = e.order(); err != nil {
		return nil, err
	}
	e.progress = e.newProgress()
	return e, nil
}

// pieceCount returns how many pieces a stage has in this request; a stage without pieces
// is left out.
func (e *execution) pieceCount(stage int) int {
	if stage >= len(e.graph.Call.PieceCounts) {
		return 0
	}
	return e.graph.Call.PieceCounts[stage]
}

// computeTimes computes timeToAnswer, minTimeAfterStage and startAfter of all stages. A stage
// that reads nothing starts after the stages one level before its own, so that its results do
// not occupy memory meanwhile.
//
// Levels and times count through stages that are left out, since a stage that reads one of
// these still waits for what that one reads. The level then never falls from a stage to one
// that it waits for, and rises to those in startAfter, so that stages can't wait for each other
// in a ring.
func (e *execution) computeTimes() {
	stages := e.graph.Route.Stages
	depth := make([]int, len(stages)) // number of stages with pieces from each one to the answer
	for i := len(stages) - 1; i >= 0; i-- {
		after := e.graph.TimeToFirstByte
		for j := i + 1; j < len(stages); j++ {
			if !slices.Contains(stages[j].InputStages, i) {
				continue
			}
			after, depth[i] = max(after, e.timeToAnswer[j]), max(depth[i], depth[j])
			minTime := e.minTimeAfterStage[j]
			if e.pieceCount(j) > 0 {
				minTime += e.callTime(j)
			}
			e.minTimeAfterStage[i] = max(e.minTimeAfterStage[i], minTime)
		}
		e.timeToAnswer[i] = after + e.expectedTime(i)
		if e.pieceCount(i) > 0 {
			depth[i]++
		}
	}
	e.startAfter = make([][]int, len(stages))
	for i := range stages {
		if len(stages[i].InputStages) > 0 || e.pieceCount(i) == 0 {
			continue
		}
		for j := range stages {
			if e.pieceCount(j) > 0 && depth[j] == depth[i]+1 {
				e.startAfter[i] = append(e.startAfter[i], j)
			}
		}
	}
}

// expectedTime returns how long a stage is expected to take from when it may begin, with its
// wait for a call. It assumes a call with at least half a batch.
func (e *execution) expectedTime(stage int) time.Duration {
	pieces := e.pieceCount(stage)
	if pieces == 0 {
		return 0
	}
	service := e.graph.Table.Service(e.graph.Route.Stages[stage].Service)
	if service == nil || service.Pool == nil {
		return 0
	}
	call := service.Pool.CallTime + time.Duration(max(min(pieces, service.Pool.MaxBatch), service.Pool.MaxBatch/2))*service.Pool.PieceTime
	return call + time.Duration(expectedWaitShare*float64(call))
}

// chooseHall returns the hall in which a stage should run, "" for any, and how many bytes
// pass between halls if it runs in another one: each piece reads all inputs, and each piece
// of a later stage reads all results.
func (e *execution) chooseHall(stage int, inputs []string) (hall string, crossBytes float64) {
	pieces := float64(e.pieceCount(stage))
	spec := e.graph.Route.Stages[stage]
	bytesRead := map[string]float64{}
	for _, j := range spec.InputStages {
		for _, h := range e.handlesByStage[j] {
			bytesRead[e.runner.HallOf(h)] += pieces * e.graph.Route.Stages[j].ResultBytes
		}
	}
	bytesOut, isLast := 0.0, true
	for k, s := range e.graph.Route.Stages {
		if slices.Contains(s.InputStages, stage) && e.pieceCount(k) > 0 {
			bytesOut += pieces * spec.ResultBytes * float64(e.pieceCount(k))
			isLast = false
		}
	}
	if isLast {
		return e.chooseFinalHall(pieces*spec.ResultBytes, bytesRead)
	}
	hall, crossBytes = largestHall(bytesRead)
	if crossBytes >= bytesOut {
		return hall, crossBytes
	}
	return "", bytesOut
}

// chooseFinalHall returns the hall for results that the request's own target reads, and how
// many bytes pass between halls elsewhere. It is the hall of the inputs if these are larger;
// else that of the target, if it is known, or that of the other results that the target reads.
func (e *execution) chooseFinalHall(bytes float64, bytesRead map[string]float64) (string, float64) {
	if hall, crossBytes := largestHall(bytesRead); crossBytes > bytes {
		return hall, crossBytes
	}
	if e.graph.TargetHall != "" {
		return e.graph.TargetHall, bytes
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	bytesByHall := map[string]float64{}
	for i, list := range e.handlesByStage {
		for _, h := range list {
			bytesByHall[e.runner.HallOf(h)] += e.graph.Route.Stages[i].ResultBytes
		}
	}
	hall, _ := largestHall(bytesByHall)
	return hall, bytes
}

// largestHall returns the hall with the most bytes, of equals the first by name.
func largestHall(bytesByHall map[string]float64) (hall string, bytes float64) {
	for h, b := range bytesByHall {
		if b > bytes || (b == bytes && h < hall) {
			hall, bytes = h, b
		}
	}
	return hall, bytes
}

// callTime returns the shortest time that a stage takes: the fixed duration of one call.
func (e *execution) callTime(stage int) time.Duration {
	service := e.graph.Table.Service(e.graph.Route.Stages[stage].Service)
	if service == nil || service.Pool == nil {
		return 0
	}
	return service.Pool.CallTime
}

// awaitStages returns once all stages that stage i reads and waits for have ended, or ctx has.
func (e *execution) awaitStages(ctx context.Context, i int) {
	for _, j := range e.waitsFor(i) {
		select {
		case <-e.done[j]:
		case <-ctx.Done():
			return
		}
	}
}

// runStage runs stage i once all stages that it reads and waits for have ended.
func (e *execution) runStage(ctx context.Context, i int) {
	e.awaitStages(ctx, i)
	spec := e.graph.Route.Stages[i]
	var inputs []string
	pieces := e.pieceCount(i)
	if pieces == 0 || e.failed() {
		return
	}
	if ctx.Err() != nil {
		// Otherwise the request would be sent with the results of some stages only.
		e.fail(hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "stage %d was not begun", i))
		return
	}
	if err := e.checkRest(); err != nil {
		e.fail(err)
		return
	}
	for _, j := range spec.InputStages {
		inputs = append(inputs, e.handlesByStage[j]...)
	}
	work := Work{
		Service: spec.Service, RequestID: e.graph.Call.ID, Stage: i, PieceCount: pieces, Inputs: inputs, ResultBytes: spec.ResultBytes,
		LatestStart: e.graph.FirstByteDue.Add(-e.timeToAnswer[i]), Deadline: e.graph.FirstByteDeadline.Add(-e.minTimeAfterStage[i]), Urgency: e.graph.Urgency,
		Content: e.graph.Content, Account: e.graph.Account,
	}
	work.Hall, work.CrossHallBytes = e.chooseHall(i, inputs)
	e.mu.Lock()
	work.Next, work.InputsExpire = e.submit(i), e.inputsExpire(i)
	e.mu.Unlock()
	work.OnInputsRead = func() { e.freeReadInputs(i) }
	if len(spec.InputStages) == 0 {
		work.PieceKey = e.graph.Call.PieceKey
	}
	startedAt := clock.Now()
	handles, err := e.runner.runAtBroker(ctx, work)
	e.finishStage(i, handles, err, clock.Since(startedAt))
}

// failed reports whether a stage has failed.
func (e *execution) failed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err != nil
}

// fail cancels all stages and stores err if it is the first error.
func (e *execution) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
	e.cancel()
}

// finishStage stores the results of stage i and frees its inputs that no other stage has yet
// to read. If err is set, it cancels all stages instead.
func (e *execution) finishStage(i int, handles []string, err error, took time.Duration) {
	if err != nil {
		e.fail(err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runner.Log.Debug("stage done", "request", e.graph.Call.ID, "stage", i, "pieces", len(handles), "took", took)
	e.handlesByStage[i] = handles
	e.progress.endedAt[i] = clock.Now()
	for _, j := range e.graph.Route.Stages[i].InputStages {
		e.pendingReaders[j]--
		if e.pendingReaders[j] == 0 {
			e.releaseStage(j)
		}
	}
}

// freeReadInputs frees the inputs of stage i, which is still running but has read them all,
// if no other stage has yet to read them and their memory is needed. They are needed again
// only if one of its pieces fails; then the stages before it are run again.
func (e *execution) freeReadInputs(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range e.graph.Route.Stages[i].InputStages {
		if e.pendingReaders[j] == 1 && len(e.handlesByStage[j]) > 0 {
			e.runner.freeIfMemoryConstrained(e.graph.Route.Stages[j].Service, e.handlesByStage[j])
		}
	}
}

// releaseStage frees the results of stage i. e.mu must be held.
func (e *execution) releaseStage(i int) {
	if len(e.handlesByStage[i]) > 0 {
		e.runner.free(e.graph.Route.Stages[i].Service, e.handlesByStage[i])
		e.handlesByStage[i] = nil
	}
}

// collectResults returns the results of all stages that no other stage read, which the
// request's target reads. If a stage failed, it frees all results and returns the first error.
func (e *execution) collectResults() (*Results, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err != nil {
		for i := range e.handlesByStage {
			e.releaseStage(i)
		}
		return nil, e.err
	}
	results := &Results{runner: e.runner, serviceByHandle: map[string]string{}, bytesByHall: map[string]float64{}}
	for i, list := range e.handlesByStage {
		for _, h := range list {
			results.handles = append(results.handles, h)
			results.bytesByHall[e.runner.HallOf(h)] += e.graph.Route.Stages[i].ResultBytes
			results.serviceByHandle[h] = e.graph.Route.Stages[i].Service
		}
	}
	return results, nil
}
