// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	"github.com/hookhall/hookhall/internal/state/batch"
	"github.com/hookhall/hookhall/internal/state/crashes"
	"github.com/hookhall/hookhall/internal/state/routetable"
	"github.com/pkg/errors"
)

// fakePool makes pieces at once, keeps what lies where, and can fail.
type fakePool struct {
	mu    sync.Mutex
	made  []hookhall.Piece
	held  map[string]bool
	fails map[hookhall.PieceFailure]int // how often, by reason
	fault error
	n     int
}

func (p *fakePool) Make(_ context.Context, t hookhall.Target, pieces []hookhall.Piece) ([]hookhall.PieceResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault != nil {
		return nil, p.fault
	}
	var list []hookhall.PieceResult
	for _, i := range pieces {
		if f := p.next(); f != "" {
			list = append(list, hookhall.PieceResult{Failure: f})
			continue
		}
		for _, h := range i.Inputs {
			if !p.held[h] {
				return nil, errors.Errorf("%s reads %s, which is gone", i.Call, h)
			}
		}
		p.n++
		h := fmt.Sprintf("%s/%s-%d-%d-%d", t.Address, i.Call, i.Stage, i.Index, p.n)
		p.held[h] = true
		p.made = append(p.made, i)
		list = append(list, hookhall.PieceResult{Handle: h})
	}
	return list, nil
}

func (p *fakePool) next() hookhall.PieceFailure {
	for f, n := range p.fails {
		if n > 0 {
			p.fails[f]--
			return f
		}
	}
	return ""
}

func (p *fakePool) Free(_ context.Context, _ string, handles []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range handles {
		delete(p.held, h)
	}
	return nil
}

func (p *fakePool) Maker(handle string) string {
	address, _, _ := strings.Cut(handle, "/")
	return address
}

func (p *fakePool) holds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held)
}

// fakeDirectory has two targets in two halls for every service.
type fakeDirectory struct{ table *routetable.Table }

func (d fakeDirectory) Table() *routetable.Table { return d.table }
func (d fakeDirectory) Targets(pool string) []hookhall.Target {
	return []hookhall.Target{{ID: pool + "-a", Address: pool + "-a", Hall: "a"}, {ID: pool + "-b", Address: pool + "-b", Hall: "b"}}
}

func (fakeDirectory) Evacuated(string) bool { return false }

// fakeFleet says that others own the work, as long as they are not suspected.
type fakeFleet struct {
	mu     sync.Mutex
	others []string
}

func (f *fakeFleet) Self() hookhall.Member { return hookhall.Member{Address: "self"} }
func (f *fakeFleet) Owner(_ string, skip map[string]bool, _ time.Time) hookhall.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.others {
		if !skip[a] {
			return hookhall.Member{Address: a}
		}
	}
	return f.Self()
}

func (f *fakeFleet) Suspect(address string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.others = slices.DeleteFunc(f.others, func(a string) bool { return a == address })
}

// silentRemote never answers, not even pings.
type silentRemote struct{}

func (silentRemote) Run(ctx context.Context, _ Work) ([]string, error) {
	<-ctx.Done()
	return nil, hookhall.Errorf(hookhall.NotRun, hookhall.CauseCanceled, "%v", ctx.Err())
}
func (silentRemote) Free(context.Context, string, []string, bool) error { return errors.New("silent") }
func (silentRemote) Ping(ctx context.Context) error                     { <-ctx.Done(); return ctx.Err() }

// chain is a graph of three stages one after the other and a large one beside
// them, whose results the request reads with the chain's last.
var chain = []hookhall.StageSpec{
	{Service: "large", Bytes: 3e6},
	{Service: "encode", Bytes: 8e3},
	{Service: "retrieve", After: []int{1}, Bytes: 6e4},
	{Service: "rank", After: []int{2}, Bytes: 6e3},
}

type bench struct {
	pool   *fakePool
	fleet  *fakeFleet
	runner *Runner
	graph  Graph
}

func newBench(pieces ...int) *bench {
	r := &hookhall.Routing{Routes: []hookhall.Route{{Name: "r", Host: "h", Prefix: "/", Stages: chain}}}
	for _, s := range chain {
		r.Services = append(r.Services, hookhall.Service{Name: s.Service, Pool: &hookhall.PoolSpec{
			Slots: 1, Batch: 8, CallTime: 20 * time.Millisecond, ItemTime: time.Millisecond, Room: 100e6, Keep: 4 * time.Second,
		}})
	}
	table := routetable.Compile(r)
	b := &bench{pool: &fakePool{held: map[string]bool{}, fails: map[hookhall.PieceFailure]int{}}, fleet: &fakeFleet{}}
	quiet := log.New(io.Discard)
	broker := NewBroker(fakeDirectory{table}, b.pool, openQuarantine{}, &rollouts.Rollouts{}, quiet)
	b.runner = &Runner{
		Local: broker, Fleet: b.fleet, Log: quiet,
		Remote: func(string) Remote { return silentRemote{} },
		HallOf: func(h string) string { return strings.TrimPrefix(b.pool.Maker(h)[len(b.pool.Maker(h))-2:], "-") },
	}
	now := time.Now()
	b.graph = Graph{
		Call:  &hookhall.Call{CallInfo: hookhall.CallInfo{ID: "call", Pieces: pieces, PieceKey: "key"}},
		Route: table.Route("h", "/"), Table: table, Aim: now.Add(5 * time.Second), End: now.Add(10 * time.Second),
	}
	return b
}

// stagesInOrder lists the stages as their first pieces were made.
func (b *bench) stagesInOrder() []int {
	var list []int
	for _, p := range b.pool.made {
		if !slices.Contains(list, p.Stage) {
			list = append(list, p.Stage)
		}
	}
	return list
}

func freed(t *testing.T, b *bench, want int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if b.pool.holds() == want {
			return
		}
	}
	t.Fatalf("%d results are held, not %d", b.pool.holds(), want)
}

func TestGraph(t *testing.T) {
	t.Run("stages follow what they read, and the large one comes late", func(t *testing.T) {
		b := newBench(2, 1, 3, 4)
		results, err := b.runner.Run(t.Context(), b.graph)
		if err != nil {
			t.Fatal(err)
		}
		if order := b.stagesInOrder(); order[0] != 1 || order[1] != 2 {
			t.Errorf("made in the order %v: the large one should wait for the chain", order)
		}
		if n := len(results.Handles()); n != 6 {
			t.Errorf("the request reads %d results", n)
		}
		for _, p := range b.pool.made {
			if (p.Key == "key") != (len(chain[p.Stage].After) == 0) || (p.Stage == 3 && len(p.Inputs) != 3) {
				t.Errorf("%+v", p)
			}
		}
		freed(t, b, 6) // inner results are given up
		results.Release()
		results.Release()
		freed(t, b, 0)
	})
	t.Run("a stage that is left out is not waited for", func(t *testing.T) {
		b := newBench(0, 1, 1, 1)
		results, err := b.runner.Run(t.Context(), b.graph)
		if err != nil || len(results.Handles()) != 1 {
			t.Fatalf("%v %v", results, err)
		}
	})
	t.Run("a graph that reads itself is refused", func(t *testing.T) {
		b := newBench(1, 1)
		route := *b.graph.Route
		route.Stages = []hookhall.StageSpec{{Service: "encode", After: []int{0}}}
		b.graph.Route = &route
		if _, err := b.runner.Run(t.Context(), b.graph); err == nil {
			t.Fatal("it was not")
		}
	})
}

func TestGraphFailures(t *testing.T) {
	cases := map[string]struct {
		harm   func(b *bench)
		served bool
		cause  hookhall.Cause
	}{
		"an error is tried again":  {func(b *bench) { b.pool.fails[hookhall.PieceError] = 2 }, true, ""},
		"no room is waited for":    {func(b *bench) { b.pool.fails[hookhall.PieceNoRoom] = 2 }, true, ""},
		"a lost input ends it":     {func(b *bench) { b.pool.fails[hookhall.PieceGone] = 1 }, false, hookhall.CauseStage},
		"too late ends it":         {func(b *bench) { b.pool.fails[hookhall.PieceLate] = 1 }, false, hookhall.CauseDeadline},
		"no time is left":          {func(b *bench) { b.graph.End = time.Now().Add(30 * time.Millisecond) }, false, hookhall.CauseDeadline},
		"silent brokers are left":  {func(b *bench) { b.fleet.others = []string{"x", "y"} }, true, ""},
		"all targets fail for now": {func(b *bench) { b.pool.fault = errors.New("reset") }, false, hookhall.CauseDeadline},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(2, 1, 3, 4)
			c.harm(b)
			if !c.served {
				b.graph.End = minTime(b.graph.End, time.Now().Add(time.Second))
			}
			results, err := b.runner.Run(t.Context(), b.graph)
			if (err == nil) != c.served {
				t.Fatalf("%v", err)
			}
			if err != nil {
				if e := hookhall.AsError(err); e.Verdict != hookhall.NotRun || e.Cause != c.cause {
					t.Errorf("%v", e)
				}
			}
			results.Release()
			freed(t, b, 0)
		})
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// TestInputsMakeRoom: what a stage has read is released while it is still at work
// if others wait for the room, and a request one of whose pieces fails after that
// is made from the start.
func TestInputsMakeRoom(t *testing.T) {
	for name, crowded := range map[string]bool{"crowded": true, "with room to spare": false} {
		t.Run(name, func(t *testing.T) {
			b := newBench(0, 1, 1, 1)
			w, err := newWalk(b.runner, b.graph)
			if err != nil {
				t.Fatal(err)
			}
			handles, err := b.runner.Local.Run(t.Context(), Work{Service: "encode", Call: "call", Stage: 1, Pieces: 1, Key: "key", Due: b.graph.Aim, End: b.graph.End})
			if err != nil {
				t.Fatal(err)
			}
			w.handles[1] = handles
			if crowded {
				b.crowd(t, "encode")
			}
			w.inputsRead(2)
			if crowded {
				freed(t, b, 0)
				return
			}
			time.Sleep(20 * time.Millisecond)
			freed(t, b, 1)
		})
	}
}

// crowd fills the room of a service, and has a call's worth of work wait for it.
func (b *bench) crowd(t *testing.T, service string) {
	t.Helper()
	q := b.runner.Local.queue(service)
	q.mu.Lock()
	defer q.mu.Unlock()
	spec := *b.graph.Table.Service(service).Pool
	q.queue.Configure(spec, b.runner.Local.directory.Targets(service))
	for i := range 2 * len(b.runner.Local.directory.Targets(service)) {
		q.queue.Add(&batch.Job{
			Call: fmt.Sprint("other-", i), Count: spec.Batch, Bytes: spec.Room / float64(spec.Batch+1),
			Due: b.graph.Aim, End: b.graph.End, Finish: func(batch.Outcome) {},
		})
	}
	for _, call := range q.queue.Next(time.Now()) {
		made := make([]hookhall.PieceResult, len(call.Pieces))
		for i := range made {
			made[i].Handle = fmt.Sprintf("other/%s-%d", call.Target.ID, i)
		}
		q.queue.Done(call, made, time.Now())
	}
	q.queue.Next(time.Now())
	if !q.queue.Crowded(time.Now()) {
		t.Fatal("the service is not crowded")
	}
}

// TestClientLeft: what was made is given up, and nothing more is made.
func TestClientLeft(t *testing.T) {
	b := newBench(2, 1, 3, 4)
	b.pool.fails[hookhall.PieceNoRoom] = 1 << 20
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := b.runner.Run(ctx, b.graph); err == nil {
		t.Fatal("it was served")
	}
	freed(t, b, 0)
}

// lineWriter sees each line of a log.
type lineWriter struct{ see func(line string) }

func (w *lineWriter) Write(line []byte) (int, error) {
	w.see(string(line))
	return len(line), nil
}

// TestClientLeavesBetweenStages: when a client leaves just as an inner stage is made,
// the next one is not begun, and the request must not go to its engine with the inner
// results for inputs.
func TestClientLeavesBetweenStages(t *testing.T) {
	for stage := range chain {
		b := newBench(2, 1, 3, 4)
		ctx, cancel := context.WithCancel(t.Context())
		b.runner.Log = log.NewWithOptions(&lineWriter{func(line string) {
			if strings.Contains(line, fmt.Sprintf("stage=%d ", stage)) {
				cancel() // it is made, and the next one has not begun
			}
		}}, log.Options{Level: log.DebugLevel})
		results, err := b.runner.Run(ctx, b.graph)
		if err == nil && len(results.Handles()) != 6 {
			t.Errorf("stage %d: %d results for a request that reads 6", stage, len(results.Handles()))
		}
		results.Release()
		cancel()
		freed(t, b, 0)
	}
}

// openQuarantine holds nothing against any request.
type openQuarantine struct{}

func (openQuarantine) Standing(func() crashes.Digest) crashes.Standing { return crashes.Standing{} }
func (openQuarantine) Broke(crashes.Digest, string, hookhall.Target)   {}
func (openQuarantine) Ended(hookhall.Target) bool                      { return false }

// leavingDirectory has targets when a call is chosen, and none when it would begin.
type leavingDirectory struct {
	fakeDirectory
	asked atomic.Int64
}

func (d *leavingDirectory) Targets(pool string) []hookhall.Target {
	if d.asked.Add(1) > 1 {
		return nil
	}
	return d.fakeDirectory.Targets(pool)
}

// TestTargetLeavesBeforeItsCall: a target that leaves between the choice of a call and its
// start gets none.
func TestTargetLeavesBeforeItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1)
		d := &leavingDirectory{fakeDirectory: fakeDirectory{b.graph.Table}}
		broker := NewBroker(d, b.pool, openQuarantine{}, &rollouts.Rollouts{}, log.New(io.Discard))
		_, err := broker.Run(t.Context(), Work{Service: "large", Call: "call", Pieces: 1, Key: "key", Due: time.Now().Add(time.Second), End: time.Now().Add(2 * time.Second)})
		if err == nil || len(b.pool.made) > 0 {
			t.Errorf("%d pieces were made, error %v", len(b.pool.made), err)
		}
	})
}
