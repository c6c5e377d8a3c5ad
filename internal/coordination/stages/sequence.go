// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// Step is a stage in a sequence in which each one follows those that it waits for.
type Step struct {
	Stage      int // index in the route's stages
	PieceCount int
	After      []int // positions in the sequence of the steps that it waits for
	// Reporter is the position of the step whose broker reports this one as upcoming work, -1
	// if it waits for no step with pieces.
	Reporter int
}

// Sequence returns the stages of g in an order in which each one follows those that it reads or
// starts after. It fails if there is no such order.
func (g *Graph) Sequence() ([]Step, error) {
	e, err := newExecution(nil, *g)
	if err != nil {
		return nil, err
	}
	positions := make([]int, len(e.sequence))
	steps := make([]Step, 0, len(e.sequence))
	for _, i := range e.sequence {
		step := Step{Stage: i, PieceCount: e.pieceCount(i), Reporter: -1}
		for _, j := range e.waitsFor(i) {
			step.After = append(step.After, positions[j])
		}
		for j, isPredecessor := range e.progress.predecessors[i] {
			if isPredecessor && e.pieceCount(j) > 0 {
				step.Reporter = positions[j]
				break
			}
		}
		positions[i] = len(steps)
		steps = append(steps, step)
	}
	return steps, nil
}

// waitsFor returns the stages that stage i reads or starts after.
func (e *execution) waitsFor(i int) []int {
	return slices.Concat(e.graph.Route.Stages[i].InputStages, e.startAfter[i])
}

// order returns the stages in an order in which each one follows those that it waits for. It
// fails if stages wait for each other.
func (e *execution) order() ([]int, error) {
	count := len(e.graph.Route.Stages)
	isPlaced := make([]bool, count)
	sequence := make([]int, 0, count)
	for len(sequence) < count {
		placed := len(sequence)
		for i := range count {
			if !isPlaced[i] && !slices.ContainsFunc(e.waitsFor(i), func(j int) bool { return !isPlaced[j] }) {
				isPlaced[i] = true
				sequence = append(sequence, i)
			}
		}
		if len(sequence) == placed {
			return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseStage, "the stages of route %s wait for each other", e.graph.Route.Name)
		}
	}
	return sequence, nil
}

// checkRest asks the graph's BeforeStage whether the rest of the request can still be served,
// once a stage has ended.
func (e *execution) checkRest() error {
	if e.graph.BeforeStage == nil {
		return nil
	}
	e.mu.Lock()
	isBetweenStages := slices.ContainsFunc(e.progress.endedAt, func(t time.Time) bool { return !t.IsZero() })
	begun := slices.Clone(e.progress.isSubmitted)
	e.mu.Unlock()
	if !isBetweenStages {
		return nil
	}
	return e.graph.BeforeStage(begun)
}
