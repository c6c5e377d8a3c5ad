// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slots lets in as many calls as run at once; the others wait, higher
// priorities first.
type slots struct {
	mu    sync.Mutex
	open  int
	queue waiters
	count int
}

type waiter struct {
	priority int
	order    int
	index    int
	granted  chan struct{}
}

func newSlots(n int) *slots { return &slots{open: max(n, 1)} }

func (s *slots) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// take waits for a slot; false when ctx ended first.
func (s *slots) take(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.open > 0 {
		s.open--
		s.mu.Unlock()
		return true
	}
	s.count++
	w := &waiter{priority: priority, order: s.count, granted: make(chan struct{})}
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
	case <-w.granted:
		s.give()
	default:
		heap.Remove(&s.queue, w.index)
	}
	return false
}

func (s *slots) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.give()
}

func (s *slots) give() {
	if len(s.queue) == 0 {
		s.open++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).granted)
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority > w[j].priority
	}
	return w[i].order < w[j].order
}
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiters) Push(x any) {
	n := x.(*waiter)
	n.index = len(*w)
	*w = append(*w, n)
}
func (w *waiters) Pop() any {
	last := len(*w) - 1
	n := (*w)[last]
	*w = (*w)[:last]
	return n
}
