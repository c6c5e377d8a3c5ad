// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// servedSlots times servedSlot is the time for which the work served counts against a
	// client account: 5 s, some ten calls.
	servedSlots = 10
	servedSlot  = 500 * time.Millisecond
)

// accounts has the work served by client account.
type accounts struct {
	byName  map[string]*account
	slot    int64 // the time of the dispatch in units of servedSlot
	sweptAt int64 // the slot of the last removal of unused accounts
}

// account is the work served for one client account.
type account struct {
	jobs   int                  // jobs in the queue
	pieces [servedSlots]float64 // by slot modulo servedSlots
	sum    float64              // of pieces
	slot   int64                // the last one included
}

// get returns the account of a name.
func (a *accounts) get(name string) *account {
	c := a.byName[name]
	if c == nil {
		c = &account{slot: a.slot}
		a.byName[name] = c
	}
	return c
}

// advance sets the time of the dispatch, in nanoseconds since the queue's epoch; steps of the
// wall clock don't affect it. Once in the time that work counts, it removes the accounts
// without jobs and served work, and returns true.
func (a *accounts) advance(now int64) bool {
	a.slot = max(a.slot, now/int64(servedSlot))
	if a.slot-a.sweptAt < servedSlots {
		return false
	}
	a.sweptAt = a.slot
	for name, c := range a.byName {
		if c.jobs == 0 && c.served(a.slot) == 0 {
			delete(a.byName, name)
		}
	}
	return true
}

// served returns the pieces served in the slots until slot.
func (c *account) served(slot int64) float64 {
	if slot-c.slot >= servedSlots {
		c.pieces, c.sum, c.slot = [servedSlots]float64{}, 0, slot
	}
	for c.slot < slot {
		c.slot++
		c.sum -= c.pieces[c.slot%servedSlots]
		c.pieces[c.slot%servedSlots] = 0
	}
	return c.sum
}

// add counts pieces that are put into a call.
func (c *account) add(slot int64, pieces int) {
	c.served(slot)
	c.pieces[c.slot%servedSlots] += float64(pieces)
	c.sum += float64(pieces)
}

// level is one urgency of jobs in the queue. There are few, but they may have any value.
type level struct {
	urgency int
	index   int32 // in the order of urgency
	jobs    int   // in the queue
}

// levels has the urgencies in their order.
type levels struct{ list []*level }

// get returns the level of an urgency.
func (l *levels) get(urgency int) *level {
	i, isFound := slices.BinarySearchFunc(l.list, urgency, func(v *level, u int) int { return cmp.Compare(v.urgency, u) })
	if !isFound {
		l.list = slices.Insert(l.list, i, &level{urgency: urgency})
		l.number()
	}
	return l.list[i]
}

// removeUnused removes the levels without jobs.
func (l *levels) removeUnused() {
	l.list = slices.DeleteFunc(l.list, func(v *level) bool { return v.jobs == 0 })
	l.number()
}

// number sets the indexes.
func (l *levels) number() {
	for i, v := range l.list {
		v.index = int32(i)
	}
}
