// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package admission decides who goes next into a pool.
//
// # Model
//
// Each pool has a Gate with a window: the number of calls that this entry may
// have in progress there. While the window is open a call passes without a
// lock. Otherwise it waits in the gate's Queue, which is three levels deep:
//
//	class of priority   weighted start-time fairness, ClassWeight(p) apart
//	account             weighted start-time fairness within the class
//	request             least slack first within the account
//
// A class of priority p weighs four times that of p-1: it goes first for all
// practical purposes, and a lower one still gets its small share.
//
// The window follows what the targets say of their own queues: it grows by one
// a window's worth of answers while they hardly wait, and shrinks by a tenth
// when they do. So waiting happens here, where the table's order applies, and
// entries that know nothing of each other come to share a pool.
//
// # Invariants
//
//   - A waiting call is granted, refused or canceled exactly once.
//   - A call whose time is up leaves the queue at once, not when it is reached.
//   - Work per call is O(log n) in the accounts and requests waiting.
package admission

import (
	"container/heap"
	"math"
	"time"
)

// priorities is the number of classes of priority.
const priorities = 10

// ClassWeight is the weight of a class of priority against the others.
func ClassWeight(priority int) float64 { return math.Pow(4, float64(priority)) }

// Item is one call that wants to pass a gate.
type Item struct {
	Account  string
	Weight   float64
	Priority int
	// Start is the latest moment at which starting still makes sense.
	Start time.Time
	// Cost is the expected work, in any unit that a pool's calls share.
	Cost float64

	granted chan struct{}
	shed    chan struct{}
	timer   *time.Timer
	state   itemState
	index   int // in the account's heap, or in the arrival heap
	arrival uint64
	flow    *flow
}

type itemState int

const (
	itemWaiting itemState = iota
	itemGranted
	itemGone
)

// Order is how a queue orders its items.
type Order int

// The orders. Arrival is the baseline that experiments compare with.
const (
	OrderFair Order = iota
	OrderArrival
)

// queue is not safe for concurrent use; its gate locks it.
type queue struct {
	order   Order
	length  int
	waiting [priorities]int
	classes [priorities]class
	virtual float64 // of the fairness between classes
	arrived uint64
	fifo    itemHeap
}

// class is the accounts with waiting items of one priority.
type class struct {
	// tag is the finish tag of the class's next item, last that of the item
	// served last. With start tags a low class would go second at once.
	tag     float64
	last    float64
	virtual float64
	flows   map[string]*flow
	backlog flowHeap
	// weights sums the weights of the backlogged flows.
	weights float64
}

// flow is one account's waiting items.
type flow struct {
	account string
	weight  float64
	tag     float64
	items   itemHeap
	index   int
}

func (q *queue) push(it *Item) {
	it.Priority = clamp(it.Priority)
	if it.Weight <= 0 {
		it.Weight = 1
	}
	if it.Cost <= 0 {
		it.Cost = 1
	}
	q.arrived++
	it.arrival = q.arrived
	q.length++
	q.waiting[it.Priority]++
	if q.order == OrderArrival {
		q.fifo.byArrival = true
		heap.Push(&q.fifo, it)
		return
	}
	c := &q.classes[it.Priority]
	if len(c.backlog) == 0 {
		c.tag = max(c.last, q.virtual) + it.Cost/ClassWeight(it.Priority)
	}
	f := c.flow(it.Account)
	it.flow = f
	heap.Push(&f.items, it)
	if len(f.items.items) == 1 {
		f.tag, f.weight = max(f.tag, c.virtual), it.Weight
		c.weights += f.weight
		heap.Push(&c.backlog, f)
	}
}

func (c *class) flow(account string) *flow {
	if c.flows == nil {
		c.flows = map[string]*flow{}
	}
	f := c.flows[account]
	if f == nil {
		f = &flow{account: account}
		c.flows[account] = f
	}
	return f
}

// pop takes the next item, nil when none waits.
func (q *queue) pop() *Item {
	if q.length == 0 {
		return nil
	}
	if q.order == OrderArrival {
		it := heap.Pop(&q.fifo).(*Item)
		q.count(it)
		return it
	}
	p := q.nextClass()
	c := &q.classes[p]
	f := c.backlog[0]
	it := heap.Pop(&f.items).(*Item)
	q.virtual, c.virtual, c.last = c.tag, f.tag, c.tag
	c.tag += it.Cost / ClassWeight(p)
	f.tag += it.Cost / it.Weight
	c.settle(f)
	q.count(it)
	return it
}

// nextClass is the class with the least tag; of equals, the higher one.
func (q *queue) nextClass() int {
	best := -1
	for p := priorities - 1; p >= 0; p-- {
		if len(q.classes[p].backlog) > 0 && (best < 0 || q.classes[p].tag < q.classes[best].tag) {
			best = p
		}
	}
	return best
}

// settle puts a flow in its place after its items or tag changed.
func (c *class) settle(f *flow) {
	if len(f.items.items) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	heap.Remove(&c.backlog, f.index)
	c.weights -= f.weight
	if f.tag <= c.virtual {
		delete(c.flows, f.account) // it owes nothing
	}
	if len(c.backlog) == 0 {
		c.flows = nil // nobody waits: debts are forgotten
		c.virtual, c.weights = 0, 0
	}
}

// remove takes out an item that is waiting.
func (q *queue) remove(it *Item) {
	q.count(it)
	if q.order == OrderArrival {
		heap.Remove(&q.fifo, it.index)
		return
	}
	heap.Remove(&it.flow.items, it.index)
	q.classes[it.Priority].settle(it.flow)
}

func (q *queue) count(it *Item) {
	q.length--
	q.waiting[it.Priority]--
}

// above is the number of items of higher priorities.
func (q *queue) above(priority int) int {
	n := 0
	for p := priority + 1; p < priorities; p++ {
		n += q.waiting[p]
	}
	return n
}

// ahead is about how many items go before the one at a position (from 0) of an
// account's flow: those of higher priorities, and in its own class the fair
// part of the other accounts.
func (q *queue) ahead(account string, weight float64, priority, position int) float64 {
	n := float64(q.above(priority))
	if q.order == OrderArrival {
		return float64(q.length)
	}
	c := &q.classes[priority]
	weights := c.weights
	if f := c.flows[account]; f == nil || len(f.items.items) == 0 {
		weights += weight
	}
	return n + min(float64(position)*weights/weight, float64(q.waiting[priority]))
}

// queued is how many items of an account wait in a class.
func (q *queue) queued(account string, priority int) int {
	if f := q.classes[priority].flows[account]; f != nil {
		return len(f.items.items)
	}
	return 0
}

// itemHeap orders by latest start, or by arrival.
type itemHeap struct {
	items     []*Item
	byArrival bool
}

func (h *itemHeap) Len() int { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byArrival || a.Start.Equal(b.Start) {
		return a.arrival < b.arrival
	}
	return a.Start.Before(b.Start)
}
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(h.items)
	h.items = append(h.items, it)
}
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	it := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return it
}

// flowHeap orders by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	return f
}
