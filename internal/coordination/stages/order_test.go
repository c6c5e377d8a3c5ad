// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/routetable"
)

// maxRandomStages is the largest number of stages of a random graph.
const maxRandomStages = 12

// randomStages returns n stages that each read some of those before them.
func randomStages(rng *rand.Rand, n int) []hookhall.StageSpec {
	density := rng.Float64()
	list := make([]hookhall.StageSpec, n)
	for i := range list {
		list[i] = hookhall.StageSpec{Service: "encode", ResultBytes: 1e3}
		for j := range i {
			if rng.Float64() < density {
				list[i].InputStages = append(list[i].InputStages, j)
			}
		}
	}
	return list
}

// withStages replaces the stages of f's graph, and gives those pieces whose bit is set in present.
func (f *fixture) withStages(list []hookhall.StageSpec, present int) {
	routing := *f.graph.Table.Routing()
	routing.Routes = []hookhall.Route{{Name: "r", Host: "h", Prefix: "/", Stages: list}}
	f.graph.Table = routetable.Compile(&routing)
	f.graph.Route = f.graph.Table.Route("h", "/")
	f.graph.Call.PieceCounts = make([]int, len(list))
	for i := range list {
		f.graph.Call.PieceCounts[i] = present >> i & 1
	}
}

// levelOf returns the largest number of stages with pieces on a way from a stage to the answer, with itself.
func levelOf(list []hookhall.StageSpec, present, stage int, known map[int]int) int {
	if level, ok := known[stage]; ok {
		return level
	}
	level := 0
	for reader := range list {
		if slices.Contains(list[reader].InputStages, stage) {
			level = max(level, levelOf(list, present, reader, known))
		}
	}
	known[stage] = level + present>>stage&1
	return known[stage]
}

// waitsByDefinition returns the stages that each stage has to wait for: those that it reads, and, if it has
// pieces and reads nothing, those with pieces that are one level before it.
func waitsByDefinition(list []hookhall.StageSpec, present int) [][]int {
	levels := map[int]int{}
	waits := make([][]int, len(list))
	for i := range list {
		waits[i] = slices.Clone(list[i].InputStages)
		if len(waits[i]) > 0 || present>>i&1 == 0 {
			continue
		}
		for j := range list {
			if present>>j&1 == 1 && levelOf(list, present, j, levels) == levelOf(list, present, i, levels)+1 {
				waits[i] = append(waits[i], j)
			}
		}
	}
	return waits
}

// assertOrder fails the test unless steps have each stage once, after exactly those that it has to wait for.
func assertOrder(t *testing.T, steps []Step, waits [][]int) {
	t.Helper()
	seen := map[int]bool{}
	for _, step := range steps {
		var after []int
		for _, position := range step.After {
			after = append(after, steps[position].Stage)
		}
		slices.Sort(after)
		if !slices.Equal(after, waits[step.Stage]) {
			t.Fatalf("stage %d waits for %v; want %v", step.Stage, after, waits[step.Stage])
		}
		for _, j := range after {
			if !seen[j] {
				t.Fatalf("stage %d is before stage %d, which it waits for", step.Stage, j)
			}
		}
		seen[step.Stage] = true
	}
	if len(steps) != len(waits) || len(seen) != len(waits) {
		t.Fatalf("%d steps with %d stages; want %d", len(steps), len(seen), len(waits))
	}
}

// TestStagesWaitInARing guards against stages that wait for each other, so that requests were never
// answered, when some stages of their route were left out.
func TestStagesWaitInARing(t *testing.T) {
	t.Run("order", func(t *testing.T) {
		rng, f := rand.New(rand.NewPCG(6, 1)), newFixture()
		for n := 1; n <= maxRandomStages; n++ {
			for range 20 {
				list := randomStages(rng, n)
				for present := range 1 << n {
					f.withStages(list, present)
					steps, err := f.graph.Sequence()
					if err != nil {
						t.Fatalf("%+v, present %b: %v", list, present, err)
					}
					assertOrder(t, steps, waitsByDefinition(list, present))
				}
			}
		}
	})
	t.Run("runs", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(6, 2))
		for range 100 {
			n := 1 + rng.IntN(maxRandomStages)
			assertRuns(t, randomStages(rng, n), rng.IntN(1<<n))
		}
		// The route of a review, whose stage 1 is left out.
		assertRuns(t, []hookhall.StageSpec{
			{Service: "encode"}, {Service: "encode", InputStages: []int{0}}, {Service: "encode", InputStages: []int{1}},
			{Service: "encode"}, {Service: "encode", InputStages: []int{2}}, {Service: "encode", InputStages: []int{3, 4}},
		}, 0b111101)
	})
}

// assertRuns fails the test unless each stage with pieces runs, after those that it has to wait for.
func assertRuns(t *testing.T, list []hookhall.StageSpec, present int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.withStages(list, present)
		f.graph.FirstByteDue, f.graph.FirstByteDeadline = time.Now().Add(time.Minute), time.Now().Add(time.Hour)
		results, err := f.runner.Run(t.Context(), f.graph)
		if err != nil {
			t.Fatalf("%+v, present %b: %v", list, present, err)
		}
		position := map[int]int{}
		for i, stage := range f.stagesInOrder() {
			position[stage] = i
		}
		for i, waits := range waitsByDefinition(list, present) {
			if _, ran := position[i]; ran != (present>>i&1 == 1) {
				t.Errorf("%+v, present %b: stage %d ran: %v", list, present, i, ran)
			}
			for _, j := range waits {
				if present>>i&1 == 1 && present>>j&1 == 1 && position[j] > position[i] {
					t.Errorf("%+v, present %b: stage %d ran before stage %d", list, present, i, j)
				}
			}
		}
		results.Release()
		synctest.Wait()
	})
}

// TestOrderOfManyPaths guards against requests that take hours of computing before their first stage, where the
// stages of a route have many paths between them.
func TestOrderOfManyPaths(t *testing.T) {
	const n = 40
	list := make([]hookhall.StageSpec, n)
	for i := range list {
		list[i].Service = "encode"
		for j := 1; j < i; j++ { // stage 0 may start after stage n-2, which has the most paths to the first ones
			list[i].InputStages = append(list[i].InputStages, j)
		}
	}
	f := newFixture()
	f.withStages(list, 1<<n-1)
	done := make(chan error, 1)
	go func() {
		_, err := f.graph.Sequence()
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Errorf("a route of %d stages has no order after 5 s", n)
	}
}

// TestRingIsRefused guards against a ring of waits that is not noticed before the stages begin.
func TestRingIsRefused(t *testing.T) {
	f := newFixture(1, 1, 1, 1)
	e, err := newExecution(f.runner, f.graph)
	if err != nil {
		t.Fatal(err)
	}
	e.startAfter[0], e.startAfter[1] = []int{1}, []int{0}
	_, err = e.order()
	if refusal := hookhall.AsError(err); refusal == nil || refusal.Verdict != hookhall.NotRun || refusal.Cause != hookhall.CauseStage {
		t.Errorf("%v", refusal)
	}
}

// TestWaitForStagesEndsWithRequest guards against a stage that waits for another one after its request has ended.
func TestWaitForStagesEndsWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, 1, 1, 1)
		e, err := newExecution(f.runner, f.graph)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		e.cancel = cancel
		began := time.Now()
		e.runStage(ctx, 3) // the stage that it reads never begins
		if took := time.Since(began); took != time.Second {
			t.Errorf("waited %v, want a second", took)
		}
		if refusal := hookhall.AsError(e.err); refusal == nil || refusal.Verdict != hookhall.NotRun || refusal.Cause != hookhall.CauseCanceled {
			t.Errorf("%v", e.err)
		}
	})
}

// TestManyStagesAreRefused guards against requests on a route with so many stages that there is no memory for one.
func TestManyStagesAreRefused(t *testing.T) {
	for n, refused := range map[int]bool{maxStages: false, maxStages + 1: true} {
		f := newFixture()
		f.graph.Route = &hookhall.Route{Name: "r", Stages: make([]hookhall.StageSpec, n)}
		_, err := f.graph.Sequence()
		if failure := hookhall.AsError(err); (failure != nil) != refused || refused && failure.Verdict != hookhall.NotRun {
			t.Errorf("%d stages: %v", n, err)
		}
	}
}
