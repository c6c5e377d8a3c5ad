// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
)

// judge is a way of telling guilty contents from innocent ones.
type judge struct {
	clears bool // a whole answer clears
	moment bool // ends at one moment count once for what was served before
}

// event is something that happens in a simulation.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is a simulation of targets whose gateways share one ledger at once.
type fleet struct {
	judge
	rand    *rand.Rand
	now     time.Time
	queue   events
	ledger  *Ledger
	recent  *Recent
	running []map[*run]bool // by target
	lives   []int64
	refused int // innocent requests
	lost    int // targets that ended by a guilty content
}

type run struct {
	content Digest
	tries   int
	guilty  bool
	over    bool
}

const simulatedTargets = 100

func newFleet(j judge, seed uint64) *fleet {
	f := &fleet{
		judge: j, rand: rand.New(rand.NewPCG(seed, 0)), now: start, recent: NewRecent(start),
		ledger: NewLedger(Limits{Ends: 3, Keep: 10 * time.Minute, Contents: 4096, PerAccount: 4096}),
		lives:  make([]int64, simulatedTargets),
	}
	for range simulatedTargets {
		f.running = append(f.running, map[*run]bool{})
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now.Add(d), do}) }

func (f *fleet) play() {
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

// send has a target run a request, unless its content is refused.
func (f *fleet) send(r *run) {
	if f.ledger.Standing(r.content).Refused() {
		if !r.guilty {
			f.refused++
		}
		return
	}
	r.over = false
	n := f.rand.IntN(simulatedTargets)
	f.running[n][r] = true
	f.after(time.Duration(50+f.rand.IntN(450))*time.Millisecond, func() {
		switch {
		case r.over:
		case r.guilty:
			f.lost++
			f.crash(n)
		default:
			delete(f.running[n], r)
			f.recent.Add(r.content, f.now)
			if f.clears {
				f.ledger.Clear(r.content)
			}
		}
	})
}

// crash ends a target with all that it runs; each request is repeated once.
func (f *fleet) crash(n int) {
	f.lives[n]++
	for r := range f.running[n] {
		delete(f.running[n], r)
		r.over = true
		f.ledger.Learn([]End{{
			Content: r.content, Life: hookhall.Life{ID: fmt.Sprint(n), Born: f.lives[n]}, At: f.now,
			Served: f.moment && f.recent.Has(r.content, f.now),
		}}, f.now)
		if r.tries++; r.tries < 2 {
			f.after(100*time.Millisecond, func() { f.send(&run{content: r.content, tries: r.tries, guilty: r.guilty}) })
		}
	}
}

// requests has clients send: a third of them what many ask alike, the others each their own.
func (f *fleet) requests(n int, over time.Duration) {
	for i := range n {
		var content Digest
		binary.LittleEndian.PutUint64(content[:], uint64(i)+1000)
		if i%3 == 0 {
			binary.LittleEndian.PutUint64(content[:], uint64(f.rand.IntN(50)))
		}
		f.after(time.Duration(f.rand.Int64N(int64(over))), func() { f.send(&run{content: content}) })
	}
}

// TestMassCrash: 100,000 requests, a fifth of all targets ends at once, then a fifth one
// after the other, and one content ends each target that runs it, sent 200 times.
func TestMassCrash(t *testing.T) {
	for name, c := range map[string]struct {
		judge
		refusedMost int // innocent requests
	}{
		"a plain count":                   {judge{}, 100000},
		"whole answers clear":             {judge{clears: true}, 100000},
		"whole answers clear, one moment": {judge{clears: true, moment: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := newFleet(c.judge, seed)
				f.requests(100000, 60*time.Second)
				f.after(10*time.Second, func() {
					for n := range simulatedTargets / 5 {
						f.crash(n)
					}
				})
				for n := range simulatedTargets / 5 {
					f.after(30*time.Second+time.Duration(n)*50*time.Millisecond, func() { f.crash(50 + n) })
				}
				for n := range 200 {
					f.after(20*time.Second+time.Duration(n)*100*time.Millisecond, func() { f.send(&run{content: Digest{15: 1}, guilty: true}) })
				}
				f.play()
				t.Logf("seed %d: %d innocent requests refused, %d targets ended by the guilty one", seed, f.refused, f.lost)
				if f.refused > c.refusedMost {
					t.Errorf("seed %d: %d innocent requests were refused", seed, f.refused)
				}
				if f.lost > 10 {
					t.Errorf("seed %d: %d targets ended by the guilty content", seed, f.lost)
				}
			}
		})
	}
}
