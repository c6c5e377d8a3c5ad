// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// newLoadedQueue returns a queue of n targets, of which all but free are in a full call, and
// 500 waiting jobs, of which about half can start in time.
func newLoadedQueue(n, free int) *Queue {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	q := NewQueue()
	q.SetCrashesRecorded(false)
	q.Configure(replaySpec, manyTargets(n))
	add := func(requestID string, pieces, latest int) {
		j, _ := newJob(requestID, pieces, latest, 1e6)
		j.Urgency = random.IntN(12)
		j.Account = fmt.Sprint("account ", random.IntN(40))
		q.Add(j)
	}
	for i := range n - free {
		add(fmt.Sprint("running ", i), replaySpec.MaxBatch, 1000)
		q.Next(at(i * 400 / n))
	}
	for i := range 500 {
		add(fmt.Sprint("waiting ", i), 1+random.IntN(11), 400+random.IntN(1500*max(n/19, 1)))
	}
	return q
}

// BenchmarkNext measures Next alone with 500 waiting jobs. The calls are withdrawn.
func BenchmarkNext(b *testing.B) {
	for _, n := range []int{19, 100, 1000, 10000} {
		for _, free := range []int{0, 1, 19} {
			b.Run(fmt.Sprintf("%d targets, %d free", n, free), func(b *testing.B) {
				q := newLoadedQueue(n, free)
				// The shortest time is less affected by other processes than the mean.
				took, shortest := time.Duration(0), time.Hour
				now, calls := at(400), 0
				for b.Loop() {
					began := time.Now()
					list := q.Next(now)
					d := time.Since(began)
					took += d
					shortest = min(shortest, d)
					calls = len(list)
					for _, c := range list {
						q.Withdraw(c)
					}
				}
				b.ReportMetric(float64(took.Nanoseconds())/float64(b.N), "ns/Next")
				b.ReportMetric(float64(shortest.Nanoseconds()), "ns-shortest")
				b.ReportMetric(float64(calls), "calls")
			})
		}
	}
}

// TestNextAllocations guards against work for the garbage collector that grows with the
// waiting jobs or the targets: a dispatch allocates only the calls that it returns.
func TestNextAllocations(t *testing.T) {
	q := newLoadedQueue(100, 19)
	for _, w := range q.workerList { // a dispatch that goes through all jobs and makes no call
		w.bytes = q.spec.ResultMemory
		w.memoryShortSince = at(-400) // they have waited for memory long enough
	}
	if n := testing.AllocsPerRun(20, func() { q.Next(at(400)) }); n != 0 {
		t.Errorf("%v allocations without calls", n)
	}
	if !q.order.isOverloaded {
		t.Error("the dispatch did not choose jobs to defer")
	}
	for _, w := range q.workerList {
		w.bytes = 0
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	calls := len(q.Next(at(400)))
	runtime.ReadMemStats(&after)
	// Each call is a Batch with its pieces and its jobs. The list of calls grows six times. A
	// worker may get its first list of calls.
	if n := after.Mallocs - before.Mallocs; calls != 19 || n > uint64(4*calls+6) {
		t.Errorf("%v allocations for %d calls", n, calls)
	}
}

// TestRefusedIsLazy guards against asking for the crashes of each job and target on each
// dispatch: 40,297 dispatches with up to 500 jobs took a quarter of a broker's CPU time.
func TestRefusedIsLazy(t *testing.T) {
	for _, recorded := range []bool{false, true} {
		q := NewQueue()
		q.SetCrashesRecorded(recorded)
		q.Configure(spec, manyTargets(10))
		asked := 0
		for i := range 100 {
			j, _ := newJob(fmt.Sprint(i), 3, 1000, 5000)
			j.Refused = func(hookhall.Target) bool { asked++; return false }
			q.Add(j)
		}
		if calls := q.Next(at(0)); len(calls) != 10 {
			t.Fatalf("%d calls", len(calls))
		}
		if !recorded && asked > 0 || asked > 100 {
			t.Errorf("asked %d times for 100 jobs, with crashes recorded: %v", asked, recorded)
		}
	}
}

// TestRefusalIsAskedAgain guards against a job that runs on software that has been refused
// since an earlier dispatch, or never runs because it was refused then.
func TestRefusalIsAskedAgain(t *testing.T) {
	q := NewQueue()
	list := targets("a", "b")
	list[1].Version = "2"
	q.Configure(spec, list)
	refused := ""
	add := func(requestID string) {
		j, _ := newJob(requestID, 1, 1000, 5000)
		j.Hall, j.CrossHallBytes = "hall-a", minCrossHallBytes // waits for a
		j.Refused = func(t hookhall.Target) bool { return t.Version == refused }
		q.Add(j)
	}
	refused = "" // the version of a
	add("x")
	if calls := q.Next(at(0)); len(calls) != 0 {
		t.Fatalf("%d calls to the refused software", len(calls))
	}
	refused = "2"
	calls := q.Next(at(1))
	if len(calls) != 1 || calls[0].Target.ID != "a" {
		t.Fatalf("calls %v, not one to a", calls)
	}
	q.MarkOverdue(calls[0])
	if calls := q.Next(at(2)); len(calls) != 0 {
		t.Errorf("%d calls to software that is refused now", len(calls))
	}
}
