// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"testing"

	"github.com/hookhall/hookhall"
)

// TestWorkerOfLife: what the queue believes of a target ends with its life.
func TestWorkerOfLife(t *testing.T) {
	for name, before := range map[string]func(q *Queue, b *Batch){
		"results that fill its room": func(q *Queue, b *Batch) {
			q.Done(b, answer(b), at(100))
			j, _ := job("more", 4, 500, 5000)
			q.Add(j)
			for _, b := range q.Next(at(100)) {
				q.Done(b, answer(b), at(200))
			}
		},
		"a call that failed": func(q *Queue, b *Batch) {
			q.Done(b, nil, at(199))
			for _, j := range b.jobs {
				q.Drop(j)
			}
		},
		"no room": func(q *Queue, b *Batch) {
			q.Done(b, fail(b, hookhall.PieceNoRoom), at(199))
			for _, j := range b.jobs {
				q.Drop(j)
			}
		},
		"a call at work": func(q *Queue, b *Batch) {},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQueue()
			list := targets("a")
			list[0].Born = 5
			q.Configure(spec, list)
			j, _ := job("first", 4, 500, 5000)
			q.Add(j)
			first := q.Next(at(0))
			if len(first) != 1 {
				t.Fatalf("%d calls", len(first))
			}
			before(q, first[0])
			next, _ := job("next", 4, 500, 5000)
			q.Add(next)
			if calls := q.Next(at(200)); len(calls) != 0 {
				t.Fatalf("in the same life, %d calls are made", len(calls))
			}
			list[0].Born = 3 // its clock was set back
			q.Configure(spec, list)
			if calls := q.Next(at(200)); len(calls) != 1 || calls[0].Pieces[0].Call != "next" {
				t.Errorf("in another life, %d calls are made", len(calls))
			}
		})
	}
}
