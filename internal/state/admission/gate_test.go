// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// fullGate returns a gate with a fixed window of one call, which is used up.
func fullGate(order Order) *Gate {
	g := NewGate(order, 1, 1)
	if !g.tryEnter() {
		panic("new gate refuses a call within its window")
	}
	return g
}

// enter calls g.Enter in a goroutine and sends name when it returns, with " refused" after
// an error. start is the time until the latest start. The end of the test cancels it.
func enter(t *testing.T, g *Gate, returned chan<- string, name, account string, weight float64, priority int, start time.Duration) {
	go func() {
		it := &Item{Account: account, Weight: weight, Priority: priority, LatestStart: time.Now().Add(start)}
		if err := g.Enter(t.Context(), it); err != nil {
			returned <- name + " refused"
			return
		}
		returned <- name
	}()
	synctest.Wait()
}

// drain ends n calls in progress one after another, and returns the names of the waiting
// calls that are granted in turn.
func drain(g *Gate, returned <-chan string, n int) []string {
	var names []string
	for range n {
		g.Leave(time.Millisecond)
		synctest.Wait()
		names = append(names, <-returned)
	}
	return names
}

// Tests that run in a synctest bubble don't use Convey, which keeps its contexts by
// goroutine.

// TestGateOrder guards against calls that overtake one of a higher priority or, within an
// account, one with an earlier latest start.
func TestGateOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderFair), make(chan string, 16)
		enter(t, g, returned, "low", "a", 1, 2, time.Hour)
		enter(t, g, returned, "slack", "b", 1, 5, time.Hour)
		enter(t, g, returned, "tight", "b", 1, 5, time.Minute)
		enter(t, g, returned, "high", "c", 1, 8, time.Hour)
		equal(t, drain(g, returned, 4), []string{"high", "tight", "slack", "low"})
	})
}

// TestGateArrivalOrder guards against an OrderArrival that depends on priorities or latest
// starts.
func TestGateArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderArrival), make(chan string, 16)
		enter(t, g, returned, "one", "a", 1, 2, time.Hour)
		enter(t, g, returned, "two", "b", 1, 8, time.Minute)
		equal(t, drain(g, returned, 2), []string{"one", "two"})
	})
}

// TestGateWeights guards against accounts of one priority that are not served by weight.
func TestGateWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderFair), make(chan string, 256)
		for i := range 60 {
			enter(t, g, returned, "heavy", "a", 3, 5, time.Hour+time.Duration(i))
			enter(t, g, returned, "light", "b", 1, 5, time.Hour+time.Duration(i))
		}
		count := map[string]int{}
		for _, n := range drain(g, returned, 40) {
			count[n]++
		}
		equal(t, count, map[string]int{"heavy": 30, "light": 10})
	})
}

// TestGateLowClassNotStarved guards against a lower priority that gets nothing, or more
// than its share, while calls of a higher one wait.
func TestGateLowClassNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderFair), make(chan string, 512)
		for i := range 100 {
			enter(t, g, returned, "high", "a", 1, 5, time.Hour+time.Duration(i))
			enter(t, g, returned, "low", "b", 1, 4, time.Hour+time.Duration(i))
		}
		low := 0
		for _, n := range drain(g, returned, 100) {
			if n == "low" {
				low++
			}
		}
		// A class has four times the weight of the one below it.
		equal(t, low, 20)
	})
}

// TestGateRefusesAtLatestStart guards against calls that stay in the queue after their
// latest start, until they come to the head.
func TestGateRefusesAtLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderFair), make(chan string, 8)
		began := time.Now()
		enter(t, g, returned, "late", "a", 1, 5, 50*time.Millisecond)
		enter(t, g, returned, "too late", "a", 1, 5, -time.Millisecond)
		equal(t, <-returned, "too late refused")
		equal(t, <-returned, "late refused")
		equal(t, time.Since(began), 50*time.Millisecond)
		equal(t, g.queued.Load(), int64(0))
	})
}

// TestGateSheds guards against calls that wait in vain: those that cannot start in time at
// the measured service time are refused early, and no others.
func TestGateSheds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, returned := fullGate(OrderFair), make(chan string, 64)
		g.observeServiceTime(100 * time.Millisecond) // ten calls per second
		for i := range 10 {
			enter(t, g, returned, fmt.Sprint(i), "a", 1, 5, 500*time.Millisecond+time.Duration(i))
		}
		shed := g.Shed(time.Now())
		if shed < 3 || shed > 6 {
			t.Fatalf("shed %d of 10 calls, want 3 to 6, since about 5 can start in time", shed)
		}
		for range shed {
			if n := <-returned; len(n) < 9 {
				t.Fatalf("%q was granted, want refused", n)
			}
		}
		equal(t, g.queued.Load(), int64(10-shed))
	})
}

// TestGateCancel guards against a canceled call that is granted later and never left.
func TestGateCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := fullGate(OrderFair)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- g.Enter(ctx, &Item{Account: "a", LatestStart: time.Now().Add(time.Hour)}) }()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		g.Leave(0)
		equal(t, g.inflight.Load(), int64(0))
	})
}

// TestGateNothingLost guards against counts of calls in progress and in the queue that
// drift when grants, releases and cancellations of many goroutines race.
func TestGateNothingLost(t *testing.T) {
	Convey("A gate that many goroutines pass is empty afterwards", t, func() {
		g := NewGate(OrderFair, 3, 3)
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithCancel(context.Background())
				if i%7 == 0 {
					cancel()
				}
				defer cancel()
				it := &Item{Account: fmt.Sprint(i % 5), Weight: 1, Priority: i % 10, LatestStart: time.Now().Add(time.Hour)}
				if g.Enter(ctx, it) == nil {
					g.Leave(0)
				}
			}()
		}
		wg.Wait()
		So(g.inflight.Load(), ShouldEqual, 0)
		So(g.queued.Load(), ShouldEqual, 0)
	})
}

// TestGateWindow guards against a window that does not follow the waits at targets, leaves
// its bounds, or shrinks repeatedly for one congestion.
func TestGateWindow(t *testing.T) {
	Convey("A window", t, func() {
		now := time.Unix(1e9, 0)
		g := NewGate(OrderFair, 4, 16)
		Convey("grows while calls do not wait at targets and it is used up", func() {
			for range 4 {
				So(g.tryEnter(), ShouldBeTrue)
			}
			So(g.tryEnter(), ShouldBeFalse)
			for range 8 {
				g.Feedback(0, time.Second, now)
			}
			So(g.limit.Load(), ShouldBeGreaterThan, 4)
		})
		Convey("shrinks when they do, at most once per run time, but not below its lower bound", func() {
			g.Resize(8, 16)
			g.mu.Lock()
			g.setWindow(12)
			g.mu.Unlock()
			g.Feedback(time.Second, time.Second, now)
			g.Feedback(time.Second, time.Second, now)
			So(g.limit.Load(), ShouldEqual, 10)
			for i := range 50 {
				g.Feedback(time.Second, time.Second, now.Add(time.Duration(i+2)*time.Second*2))
			}
			So(g.limit.Load(), ShouldEqual, 8)
		})
	})
}

// equal fails the test unless got and want print alike.
func equal[T any](t *testing.T, got, want T) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// benchAccounts is the number of client accounts in the benchmarks.
const benchAccounts = 8200

// benchItem returns the i-th call, of one of benchAccounts accounts.
func benchItem(i int) *Item {
	return &Item{Account: fmt.Sprintf("account-%d", i%benchAccounts), Weight: 1, Priority: i % 10, LatestStart: time.Now().Add(time.Hour), Cost: 1}
}

// BenchmarkGateOpen measures Enter and Leave while the window is open.
func BenchmarkGateOpen(b *testing.B) {
	g := NewGate(OrderFair, 1e6, 1e6)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		it := benchItem(1)
		for pb.Next() {
			if g.Enter(context.Background(), it) == nil {
				g.Leave(time.Millisecond)
			}
		}
	})
}

// BenchmarkQueue measures a push and a pop in a queue with a waiting call of each of 8,200
// accounts.
func BenchmarkQueue(b *testing.B) {
	var q queue
	items := make([]*Item, benchAccounts)
	for i := range items {
		items[i] = benchItem(i)
		q.push(items[i])
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		it := q.pop()
		it.LatestStart = it.LatestStart.Add(time.Second)
		q.push(it)
	}
}

// BenchmarkWait measures the estimate of a wait behind 8,200 accounts, which every
// admission makes.
func BenchmarkWait(b *testing.B) {
	g := fullGate(OrderFair)
	g.observeServiceTime(time.Millisecond)
	for i := range benchAccounts {
		g.queue.push(benchItem(i))
	}
	g.queued.Store(benchAccounts)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		now := time.Now()
		for pb.Next() {
			g.EstimateWait("account-77", 1, 7, now)
		}
	})
}
