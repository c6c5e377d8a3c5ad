// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package admission limits the calls in progress in a pool, and decides which waiting
// call starts next.
//
// # Model
//
// Each pool has a Gate with a window: the number of calls that this entry may
// have in progress there. A call that finds the window open and the queue empty
// passes without taking a lock. Otherwise it waits in the gate's queue, which has
// three levels:
//
//	priority class      weighted fair queuing, weights by ClassWeight
//	client account      weighted start-time fair queuing within the class
//	request             earliest latest start first within the account
//
// Class p has four times the weight of class p-1. In practice it is served first,
// and the lower class still gets a small share.
//
// The window follows the queuing times that targets report with their answers. It
// grows by one call per window of answers while calls hardly wait at the targets,
// and shrinks by a tenth when they do. So calls wait here, where the table's
// priorities and weights apply, and entries that do not communicate converge on
// sharing a pool.
//
// # Invariants
//
//   - A waiting call is granted, refused or canceled exactly once.
//   - A call leaves the queue as soon as its latest start passes, not when it comes to
//     the head.
//   - A call costs O(log n) in the number of waiting accounts and requests.
package admission

import (
	"container/heap"
	"math"
	"time"
)

// numPriorities is the number of priority classes. Priorities are 0 to 9, the highest.
const numPriorities = 10

// ClassWeight returns the weight of a priority class relative to the other classes.
func ClassWeight(priority int) float64 { return math.Pow(4, float64(priority)) }

// Item describes one call for Gate.Enter.
type Item struct {
	// Account is the client account that the call is queued under.
	Account string
	// Weight is the account's share within its priority class; 0 or less means 1.
	Weight float64
	// Priority is 0 to 9, the highest; other values are clamped.
	Priority int
	// LatestStart is the latest time, by package clock, at which the call can start and still
	// meet its deadline.
	LatestStart time.Time
	// Cost is the expected work, in any unit common to a pool's calls; 0 or less means 1.
	Cost float64

	granted chan struct{} // closed when the call may start
	shed    chan struct{} // closed when the call is refused by Shed
	timer   *time.Timer   // fires at the latest start
	state   itemState     // guarded by the gate's mu
	index   int           // in the account's heap, or in the arrival heap
	arrival uint64        // sequence number of the push
	flow    *flow         // nil in OrderArrival
}

// itemState is the state of a queued item.
type itemState int

const (
	itemWaiting itemState = iota
	itemGranted
	itemRemoved // timed out, canceled or shed
)

// Order is how a queue orders its items.
type Order int

// OrderFair orders by priority class, account and latest start. OrderArrival is first
// come, first served, the baseline for experiments.
const (
	OrderFair Order = iota
	OrderArrival
)

// queue holds the waiting calls of a gate. It is not safe for concurrent use; the gate's
// mu must be held.
type queue struct {
	order  Order
	length int
	// waitingByPriority counts the items of each class.
	waitingByPriority [numPriorities]int
	classes           [numPriorities]class
	// virtualTime is the finish tag of the item served last.
	virtualTime float64
	// arrivals counts all items ever pushed.
	arrivals uint64
	// fifo holds the items in OrderArrival.
	fifo itemHeap
}

// class is the set of accounts with waiting items of one priority.
type class struct {
	// finishTag is that of the class's next item, lastTag that of the item served last.
	// The order of classes goes by finish tags because with start tags a low class that
	// becomes backlogged would be served second.
	finishTag float64
	lastTag   float64
	// virtualTime is the start tag of the flow served last.
	virtualTime float64
	// flowsByAccount holds the backlogged flows, and those that have been served ahead of
	// virtualTime, so that their next items wait accordingly.
	flowsByAccount map[string]*flow
	// backlog orders the flows with waiting items.
	backlog flowHeap
	// totalWeight sums the weights of the backlogged flows.
	totalWeight float64
}

// flow is one account's waiting items.
type flow struct {
	account string
	// weight is that of the item which began the backlog.
	weight   float64
	startTag float64 // of the next item
	items    itemHeap
	index    int // in the class's backlog
}

// push adds an item, and sets its defaults: the priority is clamped, weight and cost are 1
// unless positive.
func (q *queue) push(it *Item) {
	it.Priority = clamp(it.Priority)
	if it.Weight <= 0 {
		it.Weight = 1
	}
	if it.Cost <= 0 {
		it.Cost = 1
	}
	q.arrivals++
	it.arrival = q.arrivals
	q.length++
	q.waitingByPriority[it.Priority]++
	if q.order == OrderArrival {
		q.fifo.byArrival = true
		heap.Push(&q.fifo, it)
		return
	}
	c := &q.classes[it.Priority]
	if len(c.backlog) == 0 {
		c.finishTag = max(c.lastTag, q.virtualTime) + it.Cost/ClassWeight(it.Priority)
	}
	f := c.flow(it.Account)
	it.flow = f
	heap.Push(&f.items, it)
	if len(f.items.items) == 1 {
		f.startTag, f.weight = max(f.startTag, c.virtualTime), it.Weight
		c.totalWeight += f.weight
		heap.Push(&c.backlog, f)
	}
}

// flow returns the account's flow, and creates it if need be.
func (c *class) flow(account string) *flow {
	if c.flowsByAccount == nil {
		c.flowsByAccount = map[string]*flow{}
	}
	f := c.flowsByAccount[account]
	if f == nil {
		f = &flow{account: account}
		c.flowsByAccount[account] = f
	}
	return f
}

// pop removes and returns the next item, or nil if the queue is empty.
func (q *queue) pop() *Item {
	if q.length == 0 {
		return nil
	}
	if q.order == OrderArrival {
		it := heap.Pop(&q.fifo).(*Item)
		q.decrement(it)
		return it
	}
	p := q.nextClass()
	c := &q.classes[p]
	f := c.backlog[0]
	it := heap.Pop(&f.items).(*Item)
	q.virtualTime, c.virtualTime, c.lastTag = c.finishTag, f.startTag, c.finishTag
	c.finishTag += it.Cost / ClassWeight(p)
	f.startTag += it.Cost / it.Weight
	c.reposition(f)
	q.decrement(it)
	return it
}

// nextClass returns the backlogged class with the smallest finish tag, the higher one of
// equals, or -1 if there is none.
func (q *queue) nextClass() int {
	best := -1
	for p := numPriorities - 1; p >= 0; p-- {
		if len(q.classes[p].backlog) > 0 && (best < 0 || q.classes[p].finishTag < q.classes[best].finishTag) {
			best = p
		}
	}
	return best
}

// reposition restores the order of the backlog after a change of f's items or tag, and
// removes f from it when f has no items left.
func (c *class) reposition(f *flow) {
	if len(f.items.items) > 0 {
		heap.Fix(&c.backlog, f.index)
		return
	}
	heap.Remove(&c.backlog, f.index)
	c.totalWeight -= f.weight
	if f.startTag <= c.virtualTime {
		delete(c.flowsByAccount, f.account) // it was not served ahead of its share
	}
	if len(c.backlog) == 0 {
		c.flowsByAccount = nil // no competitors: earlier service no longer counts
		c.virtualTime, c.totalWeight = 0, 0
	}
}

// remove removes a waiting item.
func (q *queue) remove(it *Item) {
	q.decrement(it)
	if q.order == OrderArrival {
		heap.Remove(&q.fifo, it.index)
		return
	}
	heap.Remove(&it.flow.items, it.index)
	q.classes[it.Priority].reposition(it.flow)
}

// decrement uncounts an item that leaves the queue.
func (q *queue) decrement(it *Item) {
	q.length--
	q.waitingByPriority[it.Priority]--
}

// waitingAbove returns the number of waiting items of higher priorities.
func (q *queue) waitingAbove(priority int) int {
	n := 0
	for p := priority + 1; p < numPriorities; p++ {
		n += q.waitingByPriority[p]
	}
	return n
}

// itemsAhead estimates how many items are served before the one at a position (from 0) of
// an account's flow: all of higher priorities, and in its own class those of the other
// accounts according to their weights. In OrderArrival it is the whole queue.
func (q *queue) itemsAhead(account string, weight float64, priority, position int) float64 {
	n := float64(q.waitingAbove(priority))
	if q.order == OrderArrival {
		return float64(q.length)
	}
	c := &q.classes[priority]
	totalWeight := c.totalWeight
	if f := c.flowsByAccount[account]; f == nil || len(f.items.items) == 0 {
		totalWeight += weight
	}
	return n + min(float64(position)*totalWeight/weight, float64(q.waitingByPriority[priority]))
}

// accountLength returns the number of an account's items that wait in a class.
func (q *queue) accountLength(account string, priority int) int {
	if f := q.classes[priority].flowsByAccount[account]; f != nil {
		return len(f.items.items)
	}
	return 0
}

// itemHeap is a heap of items by latest start, equal ones by arrival, or by arrival alone.
// It keeps each item's index.
type itemHeap struct {
	items     []*Item
	byArrival bool
}

func (h *itemHeap) Len() int { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if h.byArrival || a.LatestStart.Equal(b.LatestStart) {
		return a.arrival < b.arrival
	}
	return a.LatestStart.Before(b.LatestStart)
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

// flowHeap is a heap of flows by start tag. It keeps each flow's index.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].startTag < h[j].startTag }
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
