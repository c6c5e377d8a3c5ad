// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"testing"

	"github.com/hookhall/hookhall"
)

// TestWorkerPerIncarnation guards against state of a target that outlives its process: a
// restarted target has free memory and no calls in progress, so results, failures and
// calls of its previous incarnation must not keep calls from it. The start time of the
// new incarnation is the earlier one here, as after a clock that was set back.
func TestWorkerPerIncarnation(t *testing.T) {
	for name, prepare := range map[string]func(q *Queue, b *Batch){
		"results that fill its memory": func(q *Queue, b *Batch) {
			q.Done(b, successResults(b), at(100))
			j, _ := newJob("more", 4, 500, 5000)
			q.Add(j)
			for _, b := range q.Next(at(100)) {
				q.Done(b, successResults(b), at(200))
			}
		},
		"a call that failed": func(q *Queue, b *Batch) {
			q.Done(b, nil, at(199))
			for _, j := range b.jobs {
				q.Drop(j)
			}
		},
		"no memory": func(q *Queue, b *Batch) {
			q.Done(b, failureResults(b, hookhall.PieceNoMemory), at(199))
			for _, j := range b.jobs {
				q.Drop(j)
			}
		},
		"a call in progress": func(q *Queue, b *Batch) {},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQueue()
			list := targets("a")
			list[0].Start = 5
			q.Configure(spec, list)
			j, _ := newJob("first", 4, 500, 5000)
			q.Add(j)
			first := q.Next(at(0))
			if len(first) != 1 {
				t.Fatalf("%d calls", len(first))
			}
			prepare(q, first[0])
			next, _ := newJob("next", 4, 500, 5000)
			q.Add(next)
			if calls := q.Next(at(200)); len(calls) != 0 {
				t.Fatalf("%d calls to the same incarnation", len(calls))
			}
			list[0].Start = 3 // the target's clock was set back
			q.Configure(spec, list)
			if calls := q.Next(at(200)); len(calls) != 1 || calls[0].Pieces[0].Call != "next" {
				t.Errorf("%d calls to the new incarnation", len(calls))
			}
		})
	}
}
