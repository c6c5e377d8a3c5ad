// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slots limits how many calls run at once. Further calls wait; a free slot goes to the
// waiting call of the highest priority, and among equals to the one that came first.
type slots struct {
	mu        sync.Mutex
	available int // free slots
	queue     waiterHeap
	enqueued  int // calls that ever waited
}

// waiter is a call that waits for a slot.
type waiter struct {
	priority  int
	sequence  int           // order of arrival
	heapIndex int           // position in waiterHeap
	granted   chan struct{} // closed when the call has its slot
}

// newSlots returns n free slots, but at least one.
func newSlots(n int) *slots { return &slots{available: max(n, 1)} }

// waiting returns the number of calls that wait for a slot.
func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// acquire waits for a slot and reports whether it got one before ctx ended. After true,
// the caller must call release.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.available > 0 {
		s.available--
		s.mu.Unlock()
		return true
	}
	s.enqueued++
	w := &waiter{priority: priority, sequence: s.enqueued, granted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.granted: // the slot was granted while ctx ended
		s.grantNext()
	default:
		heap.Remove(&s.queue, w.heapIndex)
	}
	return false
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

// grantNext passes a slot to the first waiting call, if any. s.mu must be held.
func (s *slots) grantNext() {
	if len(s.queue) == 0 {
		s.available++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

// waiterHeap implements heap.Interface; the call that gets the next slot is its first
// element.
type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }
func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].sequence < w[j].sequence
}
func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}
func (w *waiterHeap) Push(x any) {
	n := x.(*waiter)
	n.heapIndex = len(*w)
	*w = append(*w, n)
}
func (w *waiterHeap) Pop() any {
	last := len(*w) - 1
	n := (*w)[last]
	*w = (*w)[:last]
	return n
}
