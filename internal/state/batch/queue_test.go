// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var spec = hookhall.PoolSpec{
	Slots: 1, Batch: 4, CallTime: 100 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	Room: 8, Keep: 4 * time.Second,
}

func targets(ids ...string) []hookhall.Target {
	var list []hookhall.Target
	for _, id := range ids {
		list = append(list, hookhall.Target{ID: id, Address: id, Hall: "hall-" + id})
	}
	return list
}

// job makes a job whose outcome lands in *Outcome.
func job(call string, count int, due, end int) (*Job, *Outcome) {
	o := &Outcome{}
	return &Job{
		Call: call, Count: count, Bytes: 1, Due: at(due), End: at(end),
		Finish: func(got Outcome) { *o = got },
	}, o
}

// answer makes all pieces of a call.
func answer(b *Batch) []hookhall.PieceResult {
	var list []hookhall.PieceResult
	for _, p := range b.Pieces {
		list = append(list, hookhall.PieceResult{Handle: fmt.Sprintf("%s/%s-%d", b.Target.ID, p.Call, p.Index)})
	}
	return list
}

func fail(b *Batch, f hookhall.PieceFailure) []hookhall.PieceResult {
	list := make([]hookhall.PieceResult, len(b.Pieces))
	for i := range list {
		list[i].Failure = f
	}
	return list
}

// calls lists a batch's pieces as call-index.
func calls(b *Batch) []string {
	var list []string
	for _, p := range b.Pieces {
		list = append(list, fmt.Sprintf("%s-%d", p.Call, p.Index))
	}
	return list
}

func TestOrder(t *testing.T) {
	Convey("Given a queue with one target and a batch of four", t, func() {
		q := NewQueue()
		q.Configure(spec, targets("a"))
		add := func(call string, count, due, end, urgency int) *Job {
			j, _ := job(call, count, due, end)
			j.Urgency = urgency
			q.Add(j)
			return j
		}
		Convey("the earliest latest start goes first", func() {
			add("late", 2, 900, 5000, 0)
			add("early", 2, 500, 5000, 0)
			So(calls(q.Next(at(0))[0]), ShouldResemble, []string{"early-0", "early-1", "late-0", "late-1"})
		})
		Convey("urgency moves it", func() {
			add("idle", 4, 500, 5000, 2)
			add("urgent", 4, 600, 5000, 0)
			So(calls(q.Next(at(0))[0])[0], ShouldEqual, "urgent-0")
		})
		Convey("what has missed its aim takes what is left", func() {
			add("missed", 4, 10, 5000, 0)
			add("fine", 3, 500, 5000, 3)
			So(calls(q.Next(at(100))[0]), ShouldResemble, []string{"fine-0", "fine-1", "fine-2", "missed-0"})
		})
		Convey("a job that fits whole goes before one that would be split", func() {
			add("three", 3, 100, 5000, 0)
			add("two", 2, 200, 5000, 0)
			add("one", 1, 300, 5000, 0)
			So(calls(q.Next(at(0))[0]), ShouldResemble, []string{"three-0", "three-1", "three-2", "one-0"})
		})
		Convey("a job that was begun is ended first", func() {
			add("big", 6, 100, 5000, 0)
			b := q.Next(at(0))[0]
			add("new", 4, 50, 5000, 0)
			q.Done(b, answer(b), at(140))
			So(calls(q.Next(at(140))[0])[:2], ShouldResemble, []string{"big-4", "big-5"})
		})
		Convey("a job that can't be made in time is ended at once", func() {
			j, o := job("hopeless", 1, 10, 150)
			q.Add(j)
			So(q.Next(at(60)), ShouldBeEmpty)
			So(o.Reason, ShouldEqual, hookhall.PieceLate)
		})
	})
}

func TestRoom(t *testing.T) {
	Convey("Given a target with room for eight results", t, func() {
		q := NewQueue()
		q.Configure(spec, targets("a"))
		a, _ := job("a", 8, 500, 5000)
		q.Add(a)
		b := q.Next(at(0))[0]
		q.Done(b, answer(b), at(100))
		b = q.Next(at(100))[0]
		q.Done(b, answer(b), at(200))
		j, _ := job("b", 1, 500, 5000)
		q.Add(j)
		Convey("no call is made while it is full", func() {
			So(q.Next(at(200)), ShouldBeEmpty)
		})
		Convey("a result given up opens it at once", func() {
			So(q.Next(at(200)), ShouldBeEmpty)
			q.Free([]string{"a/a-0"})
			So(len(q.Next(at(201))), ShouldEqual, 1)
		})
		Convey("results expire as they do at the pool", func() {
			j.End = at(9000)
			So(len(q.Next(at(4300))), ShouldEqual, 1)
		})
	})
}

func TestFailures(t *testing.T) {
	Convey("Given two targets and a job of four", t, func() {
		q := NewQueue()
		q.Configure(spec, targets("a", "b"))
		j, o := job("x", 4, 5000, 6000)
		q.Add(j)
		b := q.Next(at(0))[0]
		first := b.Target.ID
		Convey("a failed call's pieces go to the other target, and it gets a pause", func() {
			q.Done(b, nil, at(1))
			next := q.Next(at(1))
			So(len(next), ShouldEqual, 1)
			So(next[0].Target.ID, ShouldNotEqual, first)
			Convey("which results given up elsewhere don't end", func() {
				q.Done(next[0], answer(next[0]), at(120))
				k, _ := job("y", 4, 5000, 6000)
				q.Add(k)
				busy := q.Next(at(10))
				So(len(busy), ShouldEqual, 1)
				l, _ := job("z", 4, 5000, 6000)
				q.Add(l)
				q.Free(o.Handles)
				So(q.Next(at(10)), ShouldBeEmpty)
			})
		})
		Convey("a call that takes too long is made elsewhere, too, and the first result counts", func() {
			So(q.Overdue(b), ShouldBeTrue)
			So(q.Overdue(b), ShouldBeFalse)
			next := q.Next(at(300))
			So(len(next), ShouldEqual, 1)
			So(q.Done(next[0], answer(next[0]), at(400)), ShouldBeEmpty)
			So(o.Handles[0], ShouldEqual, next[0].Target.ID+"/x-0")
			Convey("the other one is given up", func() {
				So(len(q.Done(b, answer(b), at(900))), ShouldEqual, 4)
			})
		})
		Convey("the late call may still win", func() {
			q.Overdue(b)
			So(q.Done(b, answer(b), at(250)), ShouldBeEmpty)
			So(len(o.Handles), ShouldEqual, 4)
			So(q.Waiting(), ShouldEqual, 0)
		})
		Convey("an input that is gone ends the job", func() {
			q.Done(b, fail(b, hookhall.PieceGone), at(100))
			So(o.Reason, ShouldEqual, hookhall.PieceGone)
		})
		Convey("errors are tried again, not for ever", func() {
			for i := 0; i < 40 && o.Reason == ""; i++ {
				q.Done(b, fail(b, hookhall.PieceError), at(100+i))
				if more := q.Next(at(100 + i)); len(more) > 0 {
					b = more[0]
				}
			}
			So(o.Reason, ShouldEqual, hookhall.PieceError)
		})
		Convey("results of a job that was dropped are given up", func() {
			q.Drop(j)
			So(len(q.Done(b, answer(b), at(100))), ShouldEqual, 4)
		})
	})
}

func TestSlowTarget(t *testing.T) {
	Convey("Given a target that turned out four times slower", t, func() {
		q := NewQueue()
		q.Configure(spec, targets("a"))
		j, _ := job("x", 4, 5000, 60000)
		q.Add(j)
		b := q.Next(at(0))[0]
		for range 4 {
			q.Done(b, answer(b), b.began.Add(4*b.Expected))
			n, _ := job("again", 4, 60000, 90000)
			q.Add(n)
			q.Free(j.Handles())
			b = q.Next(b.began.Add(4 * b.Expected))[0]
			j = n
		}
		q.Done(b, answer(b), b.began.Add(4*b.Expected))
		now := b.began.Add(4 * b.Expected)
		tight, _ := job("tight", 2, 0, 90000)
		tight.Due = now.Add(100 * time.Millisecond)
		q.Add(tight)
		Convey("it gets no job whose aim that would cost", func() {
			So(q.Next(now), ShouldBeEmpty)
		})
		Convey("it gets jobs that have missed theirs", func() {
			So(len(q.Next(now.Add(200*time.Millisecond))), ShouldEqual, 1)
		})
	})
}

// TestRandom drives a queue through random calls, failures and drops: the room
// counted never exceeds what there is, and each job ends once.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		q.Configure(spec, targets("a", "b", "c"))
		now := start
		ended := map[string]int{}
		var jobs []*Job
		var open []*Batch
		handles := map[string]bool{}
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				id := fmt.Sprint("j", step)
				j := &Job{Call: id, Count: rapid.IntRange(1, 6).Draw(t, "count"), Bytes: 1, Due: now.Add(time.Second), End: now.Add(3 * time.Second)}
				j.Finish = func(o Outcome) {
					ended[id]++
					for _, h := range o.Handles {
						handles[h] = true
					}
				}
				q.Add(j)
				jobs = append(jobs, j)
			case 2:
				if len(open) > 0 {
					b := open[0]
					open = open[1:]
					results := answer(b)
					if rapid.Bool().Draw(t, "failed") {
						results = nil
					}
					q.Done(b, results, now)
				}
			case 3:
				if len(open) > 0 {
					q.Overdue(open[len(open)-1])
				}
			case 4:
				for h := range handles {
					q.Free([]string{h})
					delete(handles, h)
					break
				}
			case 5:
				if len(jobs) > 0 {
					j := jobs[rapid.IntRange(0, len(jobs)-1).Draw(t, "dropped")]
					q.Drop(j)
					q.Free(j.Handles())
				}
			}
			open = append(open, q.Next(now)...)
			for _, s := range q.workers {
				if s.bytes < 0 || s.bytes > spec.Room {
					t.Fatalf("%v bytes at %s", s.bytes, s.Target.ID)
				}
			}
		}
		for id, n := range ended {
			if n != 1 {
				t.Fatalf("job %s ended %d times", id, n)
			}
		}
	})
}

// TestRoomForWholeJobs: jobs that are begun with the room that is left hold it, half
// made, while others wait: 700 pieces, at targets that hold 51 results each.
func TestRoomForWholeJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue()
	q.Configure(hookhall.PoolSpec{Slots: 1, Batch: 8, CallTime: 100 * time.Millisecond, Room: 10}, []hookhall.Target{{ID: "a", Hall: "h"}})
	add := func(call string, count int) *Job {
		j := &Job{Call: call, Count: count, Bytes: 1, Due: now.Add(time.Second), End: now.Add(5 * time.Second), Finish: func(Outcome) {}}
		q.Add(j)
		return j
	}
	add("first", 7)
	first := q.Next(now)
	q.Done(first[0], handles("first", 7), now)
	t.Run("a job that does not fit whole is not begun", func(t *testing.T) {
		j := add("second", 4)
		if b := q.Next(now); len(b) != 0 {
			t.Errorf("%d pieces were taken, with room for 3", len(b[0].Pieces))
		}
		q.Drop(j)
	})
	t.Run("one that fits is", func(t *testing.T) {
		add("third", 3)
		if b := q.Next(now); len(b) != 1 || len(b[0].Pieces) != 3 {
			t.Errorf("%v", b)
		}
	})
	t.Run("one that no target holds whole is begun", func(t *testing.T) {
		q := NewQueue()
		q.Configure(hookhall.PoolSpec{Slots: 1, Batch: 8, Room: 3}, []hookhall.Target{{ID: "a", Hall: "h"}})
		q.Add(&Job{Call: "large", Count: 5, Bytes: 1, Due: now.Add(time.Second), End: now.Add(5 * time.Second), Finish: func(Outcome) {}})
		if b := q.Next(now); len(b) != 1 || len(b[0].Pieces) != 3 {
			t.Errorf("%v", b)
		}
	})
}

// handles are the results of n pieces that were all made.
func handles(call string, n int) (list []hookhall.PieceResult) {
	for i := range n {
		list = append(list, hookhall.PieceResult{Handle: fmt.Sprint(call, "-", i)})
	}
	return list
}

// crowd has a queue whose only target holds ten results, with a call of seven
// pieces of the job "first" at work.
func crowd(t *testing.T, inputsRead func()) (q *Queue, first *Job, b *Batch) {
	t.Helper()
	q = NewQueue()
	q.Configure(hookhall.PoolSpec{Slots: 2, Batch: 8, CallTime: 100 * time.Millisecond, Room: 10}, []hookhall.Target{{ID: "a", Hall: "h"}})
	first = &Job{Call: "first", Count: 7, Bytes: 1, Inputs: []string{"x"}, Due: at(1000), End: at(5000), Finish: func(Outcome) {}, InputsRead: inputsRead}
	q.Add(first)
	calls := q.Next(start)
	if len(calls) != 1 || len(calls[0].Pieces) != 7 {
		t.Fatalf("%v", calls)
	}
	return q, first, calls[0]
}

func TestInputsRead(t *testing.T) {
	t.Run("told once, when all pieces are in calls that have read them", func(t *testing.T) {
		told := 0
		q, _, b := crowd(t, func() { told++ })
		if b.ReadBy != readLeast || told != 0 {
			t.Fatalf("read after %v, told %d times", b.ReadBy, told)
		}
		q.InputsRead(b, at(50))
		q.InputsRead(b, at(50))
		q.Done(b, handles("first", 7), at(100))
		if told != 1 {
			t.Errorf("told %d times", told)
		}
	})
	t.Run("not told while targets hold results that are not accounted for", func(t *testing.T) {
		told := 0
		q, _, b := crowd(t, func() { told++ })
		q.unsure = at(60)
		q.InputsRead(b, at(50))
		if told != 0 {
			t.Errorf("told %d times", told)
		}
	})
	t.Run("not told of a call that has ended before", func(t *testing.T) {
		told := 0
		q, _, b := crowd(t, func() { told++ })
		q.Done(b, nil, at(10))
		q.InputsRead(b, at(50))
		if told != 0 {
			t.Errorf("told %d times", told)
		}
	})
	t.Run("a second call that finds them gone leaves the first one's work alone", func(t *testing.T) {
		q, first, b := crowd(t, nil)
		q.Overdue(b)
		q.Configure(hookhall.PoolSpec{Slots: 2, Batch: 8, Room: 10}, []hookhall.Target{{ID: "a", Hall: "h"}, {ID: "b", Hall: "h"}})
		again := q.Next(at(300))
		if len(again) != 1 || again[0].Target.ID != "b" {
			t.Fatalf("%v", again)
		}
		gone := make([]hookhall.PieceResult, 7)
		for i := range gone {
			gone[i].Failure = hookhall.PieceGone
		}
		again[0].overdue = false
		q.Done(again[0], gone, at(350))
		if first.ended {
			t.Fatal("the job has ended")
		}
		q.Done(b, handles("first", 7), at(400))
		if first.left != 0 {
			t.Errorf("%d pieces are not made", first.left)
		}
	})
}

func TestCrowded(t *testing.T) {
	q, _, _ := crowd(t, nil)
	if q.Crowded(start) {
		t.Error("nothing waits")
	}
	q.Add(&Job{Call: "second", Count: 8, Bytes: 1, Due: at(1000), End: at(5000), Finish: func(Outcome) {}})
	q.Next(at(10))
	if !q.Crowded(at(20)) {
		t.Error("a call's worth of work found no room")
	}
	if q.Crowded(at(500)) {
		t.Error("that was long ago")
	}
}

// TestAbandon: jobs that need another call end at once when no target may get one;
// what is at work goes on.
func TestAbandon(t *testing.T) {
	q := NewQueue()
	q.Configure(spec, targets("a"))
	atWork, first := job("one", 4, 500, 5000)
	q.Add(atWork)
	b := q.Next(at(0))
	waiting, second := job("two", 2, 500, 5000)
	q.Add(waiting)
	q.Configure(spec, nil)
	q.Abandon()
	if second.Reason != hookhall.PieceNoTarget {
		t.Errorf("the job that waits ended as %q", second.Reason)
	}
	if len(b) != 1 || first.Reason != "" {
		t.Fatalf("%d calls, the job at work ended as %q", len(b), first.Reason)
	}
	q.Done(b[0], answer(b[0]), at(150))
	if len(first.Handles) != 4 {
		t.Errorf("%d results of the call at work", len(first.Handles))
	}
}
