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

// walk is one request's way through its stages.
type walk struct {
	runner *Runner
	graph  Graph
	cancel context.CancelFunc

	done []chan struct{}
	// gates are the stages that a stage waits for, beside those it reads.
	gates [][]int
	// rest is how long it takes from a stage's start to the answer's.
	rest []time.Duration
	// least is the same after a stage's end, without any wait.
	least []time.Duration
	// readers counts, for each stage, the stages that have yet to read it.
	readers []int

	mu      sync.Mutex
	handles [][]string
	err     error
}

func newWalk(r *Runner, g Graph) (*walk, error) {
	n := len(g.Route.Stages)
	w := &walk{
		runner: r, graph: g, done: make([]chan struct{}, n), handles: make([][]string, n),
		rest: make([]time.Duration, n), least: make([]time.Duration, n), readers: make([]int, n),
	}
	for i, s := range g.Route.Stages {
		w.done[i] = make(chan struct{})
		for _, j := range s.After {
			if j < 0 || j >= i {
				return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "stage %d of route %s reads stage %d", i, g.Route.Name, j)
			}
			if w.pieces(i) > 0 {
				w.readers[j]++
			}
		}
	}
	w.measure()
	return w, nil
}

// pieces is how many pieces a stage has in this request.
func (w *walk) pieces(stage int) int {
	if stage >= len(w.graph.Call.Pieces) {
		return 0
	}
	return w.graph.Call.Pieces[stage]
}

// measure works out how far each stage is from the answer, and which stages may
// begin later than they could.
func (w *walk) measure() {
	stages := w.graph.Route.Stages
	depth := make([]int, len(stages)) // stages from here to the answer
	for i := len(stages) - 1; i >= 0; i-- {
		after, deepest := w.graph.Answer, 0
		for j := i + 1; j < len(stages); j++ {
			if w.pieces(j) > 0 && slices.Contains(stages[j].After, i) {
				after, deepest = max(after, w.rest[j]), max(deepest, depth[j])
				w.least[i] = max(w.least[i], w.least[j]+w.callTime(j))
			}
		}
		w.rest[i] = after + w.expected(i)
		depth[i] = deepest + 1
	}
	w.gates = make([][]int, len(stages))
	for i := range stages {
		if len(stages[i].After) > 0 || w.pieces(i) == 0 {
			continue
		}
		for j := range stages {
			if w.pieces(j) > 0 && depth[j] == depth[i]+1 && w.leadsFrom(j, i) {
				w.gates[i] = append(w.gates[i], j)
			}
		}
	}
}

// leadsFrom tells whether stage j does not depend on stage i, so that i may wait
// for it.
func (w *walk) leadsFrom(j, i int) bool {
	if j == i {
		return false
	}
	for _, k := range w.graph.Route.Stages[j].After {
		if k == i || !w.leadsFrom(k, i) {
			return false
		}
	}
	return true
}

// expected is how long a stage takes from when it may begin.
func (w *walk) expected(stage int) time.Duration {
	n := w.pieces(stage)
	if n == 0 {
		return 0
	}
	s := w.graph.Table.Service(w.graph.Route.Stages[stage].Service)
	if s == nil || s.Pool == nil {
		return 0
	}
	call := s.Pool.CallTime + time.Duration(max(min(n, s.Pool.Batch), s.Pool.Batch/2))*s.Pool.ItemTime
	return call + time.Duration(waitGuess*float64(call))
}

// place tells in which hall a stage should be made, and what it costs to make it
// in another one: each piece reads all inputs, and each piece that comes after
// reads all results.
func (w *walk) place(stage int, inputs []string) (hall string, cross float64) {
	n := float64(w.pieces(stage))
	spec := w.graph.Route.Stages[stage]
	read := map[string]float64{}
	for _, j := range spec.After {
		for _, h := range w.handles[j] {
			read[w.runner.HallOf(h)] += n * w.graph.Route.Stages[j].Bytes
		}
	}
	out, last := 0.0, true
	for k, s := range w.graph.Route.Stages {
		if slices.Contains(s.After, stage) && w.pieces(k) > 0 {
			out += n * spec.Bytes * float64(w.pieces(k))
			last = false
		}
	}
	if last {
		return w.placeLast(n*spec.Bytes, read)
	}
	hall, cross = most(read)
	if cross >= out {
		return hall, cross
	}
	return "", out
}

// placeLast places results that the request's own target reads: where that one
// stands, if it is known, or else beside the other results that it reads.
func (w *walk) placeLast(bytes float64, read map[string]float64) (string, float64) {
	if hall, cross := most(read); cross > bytes {
		return hall, cross
	}
	if w.graph.Hall != "" {
		return w.graph.Hall, bytes
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	others := map[string]float64{}
	for i, list := range w.handles {
		for _, h := range list {
			others[w.runner.HallOf(h)] += w.graph.Route.Stages[i].Bytes
		}
	}
	hall, _ := most(others)
	return hall, bytes
}

// most is the hall with the most bytes; of equals the first by name.
func most(bytes map[string]float64) (hall string, n float64) {
	for h, b := range bytes {
		if b > n || (b == n && h < hall) {
			hall, n = h, b
		}
	}
	return hall, n
}

// callTime is the least time that a stage takes.
func (w *walk) callTime(stage int) time.Duration {
	s := w.graph.Table.Service(w.graph.Route.Stages[stage].Service)
	if s == nil || s.Pool == nil {
		return 0
	}
	return s.Pool.CallTime
}

// stage makes one stage once all that it reads is there.
func (w *walk) stage(ctx context.Context, i int) {
	for _, j := range w.gates[i] {
		<-w.done[j]
	}
	spec := w.graph.Route.Stages[i]
	var inputs []string
	for _, j := range spec.After {
		<-w.done[j]
	}
	n := w.pieces(i)
	if n == 0 || w.failed() {
		return
	}
	if ctx.Err() != nil {
		// Without this the request would be sent with the results so far.
		w.fail(hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "stage %d was not begun", i))
		return
	}
	for _, j := range spec.After {
		inputs = append(inputs, w.handles[j]...)
	}
	work := Work{
		Service: spec.Service, Call: w.graph.Call.ID, Stage: i, Pieces: n, Inputs: inputs, Bytes: spec.Bytes,
		Due: w.graph.Aim.Add(-w.rest[i]), End: w.graph.End.Add(-w.least[i]), Urgency: w.graph.Urgency,
		Content: w.graph.Content, Account: w.graph.Account,
	}
	work.Hall, work.Cross = w.place(i, inputs)
	work.InputsRead = func() { w.inputsRead(i) }
	if len(spec.After) == 0 {
		work.Key = w.graph.Call.PieceKey
	}
	began := clock.Now()
	handles, err := w.runner.ask(ctx, work)
	w.finish(i, handles, err, clock.Since(began))
}

func (w *walk) failed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err != nil
}

// fail ends the walk; the first cause counts.
func (w *walk) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
	w.cancel()
}

// finish stores a stage's results and releases those that it has read.
func (w *walk) finish(i int, handles []string, err error, took time.Duration) {
	if err != nil {
		w.fail(err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runner.Log.Debug("A stage is made.", "request", w.graph.Call.ID, "stage", i, "pieces", len(handles), "took", took)
	w.handles[i] = handles
	for _, j := range w.graph.Route.Stages[i].After {
		w.readers[j]--
		if w.readers[j] == 0 {
			w.release(j)
		}
	}
}

// inputsRead takes in that a stage in progress has read all its inputs. Those that
// only it reads may make room for others already: it needs them again only if one
// of its pieces fails, and then the stages before it are made again.
func (w *walk) inputsRead(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.graph.Route.Stages[i].After {
		if w.readers[j] == 1 && len(w.handles[j]) > 0 {
			w.runner.freeIfCrowded(w.graph.Route.Stages[j].Service, w.handles[j])
		}
	}
}

// release releases a stage's results. The caller holds w.mu.
func (w *walk) release(i int) {
	if len(w.handles[i]) > 0 {
		w.runner.free(w.graph.Route.Stages[i].Service, w.handles[i])
		w.handles[i] = nil
	}
}

// results gathers what the request's target reads: the results of all stages
// that no other one came after.
func (w *walk) results() (*Results, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		for i := range w.handles {
			w.release(i)
		}
		return nil, w.err
	}
	r := &Results{runner: w.runner, owners: map[string]string{}, bytes: map[string]float64{}}
	for i, list := range w.handles {
		for _, h := range list {
			r.handles = append(r.handles, h)
			r.bytes[w.runner.HallOf(h)] += w.graph.Route.Stages[i].Bytes
			r.owners[h] = w.graph.Route.Stages[i].Service
		}
	}
	return r, nil
}
