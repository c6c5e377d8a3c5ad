// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

import (
	"math"
	"math/bits"
	"slices"
)

// This file decides which waiting jobs are deferred. The loads that it addresses are a burst
// of 2.4 times of one route for 6 s on a pool at 88 %, in which all jobs would start late if
// they were served by latest start alone, and a client account that sends ten times the work
// of another one. The decision is a pure function of its arguments.

// minimumShare is the share of the pieces that goes to deferred and late jobs: a route whose
// requests are never served is useless to its callers, and an eighth costs the others less
// than one call within a latency objective of 1.4 to 2 s.
const minimumShare = 1.0 / 8

// waitingJob is a job with waiting pieces in one dispatch.
type waitingJob struct {
	job     *Job
	latest  int64 // nanoseconds until the latest start; negative if the job is late
	urgency int   // Job.Urgency
	level   int32 // index of the urgency among those of all jobs, in order
	pieces  int32 // that wait
	served  int32 // work served for the client account recently
	// isLocal is set if the job waits for a target in the hall of its data.
	isLocal    bool
	isStarted  bool // the job has results
	isDeferred bool
	// hasReserved is set if the job waits for the memory of a target, where jobs that are not
	// more urgent are not started.
	hasReserved bool
}

// capacitySteps is the number of steps of a full call in a capacity.
const capacitySteps = 16

// capacity is how many pieces can start in the time from now on, if full calls follow each
// other at all targets.
type capacity struct {
	now float64 // pieces that can start at once
	// byStep[i] is the number of pieces that can start within i sixteenths of a full call after
	// now, without those that can start at once. It repeats with each full call.
	byStep   [capacitySteps + 1]float64
	fullCall int64 // nanoseconds, more than 0
	// perNanosecond is the number of steps in a nanosecond.
	perNanosecond float64
	// margin is by how many nanoseconds a later start than that of this model is allowed for.
	margin int64
}

// add includes a slot that can start a number of pieces after a delay in nanoseconds.
// accumulate must be called after the last add.
func (c *capacity) add(delay int64, pieces float64) {
	step := capacitySteps
	if delay < c.fullCall {
		step = max(int((delay*capacitySteps+c.fullCall-1)/c.fullCall), 1)
	}
	c.byStep[step] += pieces
}

// accumulate makes byStep cumulative, with the rate multiplied by factor.
func (c *capacity) accumulate(factor float64) {
	c.perNanosecond = capacitySteps / float64(c.fullCall)
	for i := 1; i <= capacitySteps; i++ {
		c.byStep[i] = c.byStep[i]*factor + c.byStep[i-1]
	}
}

// until returns how many pieces can start within a number of nanoseconds after now.
func (c *capacity) until(latest int64) float64 {
	if latest < 0 {
		return 0
	}
	steps := int(float64(max(latest-c.margin, 0)) * c.perNanosecond)
	return c.now + float64(steps/capacitySteps)*c.byStep[capacitySteps] + c.byStep[steps%capacitySteps]
}

// deferral chooses the jobs to defer. Its slices are reused from one dispatch to the next.
type deferral struct {
	capacity capacity
	levels   int     // of urgency, in waitingJob.level
	ahead    int     // pieces of jobs that have started and go first
	others   int     // pieces of late and deferred jobs, 0 while the minimum share is not in force
	credit   float64 // pieces that the minimum share may start at once
	fullCall float64 // pieces of a full call
	next     float64 // pieces for which the minimum share must have the credit; at least 1

	byLatest, merged []int32 // indexes of the jobs in the order of their latest start
	ends             []int32
	byRank           groups  // the first to be deferred last
	positions        []int32 // in byLatest, by index of the job
	spare            spare
	deferredCount    int
}

// available returns how many pieces of jobs in time can start until latest, beside the jobs
// that have started and the minimum share of the others.
func (d *deferral) available(latest int64) float64 {
	pieces := d.capacity.until(latest)
	// The credit for a call is added after it.
	share := math.Floor(d.credit + max(pieces-d.fullCall, 0)*minimumShare)
	if share < d.next {
		share = 0
	}
	return pieces - min(share, float64(d.others)) - float64(d.ahead)
}

// allInTime reports whether all jobs that are not deferred start in time in the order given.
func (d *deferral) allInTime(jobs []waitingJob) bool {
	sum := 0
	for i := range jobs {
		if jobs[i].isDeferred {
			continue
		}
		sum += int(jobs[i].pieces)
		if float64(sum) > d.available(jobs[i].latest) {
			return false
		}
	}
	return true
}

// choose sets isDeferred of the jobs that are to be deferred, so that the others start in
// time if they go in the order of their latest start. The jobs are not late, and in the
// normal order. Each job is kept if it can start in time together with the jobs kept before
// it: the most urgent first, among equals those of the client account with the least work
// served, then those with the fewest pieces. So nothing that could start in time is deferred
// for something less urgent.
//
// late is the number of pieces of late jobs. choose returns false if no job is deferred.
func (d *deferral) choose(jobs []waitingJob, late int) bool {
	d.byRank.set(jobs, d.levels)
	d.sortByLatest(jobs)
	d.byRank.sort(jobs, func(j *waitingJob) uint64 {
		return uint64(min(j.served, 1<<servedBits-1))<<piecesBits | uint64(min(j.pieces, 1<<piecesBits-1))
	})
	d.positions = slices.Grow(d.positions[:0], len(jobs))[:len(jobs)]
	for position, i := range d.byLatest {
		d.positions[i] = int32(position)
	}
	sum, excess := 0, 0.0
	for _, i := range d.byLatest {
		sum += int(jobs[i].pieces)
		excess = max(excess, float64(sum)-d.available(jobs[i].latest))
	}
	d.others, d.deferredCount = 0, 0
	if excess == 0 {
		return false
	}
	// The minimum share of the late jobs and those that must be deferred leaves less for the
	// others.
	d.others = late + int(excess)
	d.keep(jobs)
	return true
}

// keep sets isDeferred of all jobs and deferredCount.
func (d *deferral) keep(jobs []waitingJob) {
	d.spare.reset(len(jobs))
	for position, i := range d.byLatest {
		d.spare.set(position, int32(min(max(math.Floor(d.available(jobs[i].latest)), -maxSpare), maxSpare)))
	}
	d.spare.build()
	d.deferredCount = 0
	for _, i := range d.byRank.indexes {
		j := &jobs[i]
		j.isDeferred = !d.spare.use(int(d.positions[i]), j.pieces)
		if j.isDeferred {
			d.deferredCount++
		}
	}
}

// maxSpare limits the numbers in a spare, so that sums of them don't overflow.
const maxSpare = 1 << 28

// spare has, for each position in the order of latest start, how many more pieces could
// start up to there. It is a tree whose leaves are the differences between neighbors, so
// that a use changes all later positions in logarithmic time.
type spare struct {
	nodes    []spareNode // the children of i are 2i and 2i+1
	leaves   int
	previous int32
}

// spareNode is a range of positions.
type spareNode struct {
	sum     int32 // of the differences
	minimum int32 // of the sums from the start of the range to each position in it
}

// reset empties the tree for n positions.
func (s *spare) reset(n int) {
	s.leaves = 1 << bits.Len(uint(max(n-1, 0)))
	s.nodes = slices.Grow(s.nodes[:0], 2*s.leaves)[:2*s.leaves]
	clear(s.nodes)
	s.previous = 0
}

// set sets the spare pieces of the next position. build must be called after the last one.
func (s *spare) set(position int, pieces int32) {
	difference := pieces - s.previous
	s.previous = pieces
	s.nodes[s.leaves+position] = spareNode{difference, difference}
}

// build sets the inner nodes.
func (s *spare) build() {
	for i := s.leaves - 1; i > 0; i-- {
		s.update(i)
	}
}

// update sets an inner node from its children.
func (s *spare) update(i int) {
	left, right := &s.nodes[2*i], &s.nodes[2*i+1]
	s.nodes[i] = spareNode{left.sum + right.sum, min(left.minimum, left.sum+right.minimum)}
}

// use takes pieces from a position and all later ones. It returns false and does nothing if
// one of them has fewer.
func (s *spare) use(position int, pieces int32) bool {
	if s.nodes[1].sum < pieces { // the last position, as for most jobs that are deferred
		return false
	}
	i := s.leaves + position
	least := s.nodes[i].minimum
	for ; i > 1; i /= 2 {
		if i%2 == 0 {
			least = min(least, s.nodes[i].sum+s.nodes[i+1].minimum)
		} else {
			least += s.nodes[i-1].sum
		}
	}
	if least < pieces {
		return false
	}
	i = s.leaves + position
	s.nodes[i].sum -= pieces
	s.nodes[i].minimum = s.nodes[i].sum
	for i /= 2; i > 0; i /= 2 {
		s.update(i)
	}
	return true
}

// The decision sorts numbers that contain what is compared and the index of a job, which
// takes a quarter of the time of a sort with a function. Larger values count as the largest:
// a job of 4,095 pieces, or 1,048,575 pieces served for a client account.
const (
	indexBits    = 20
	piecesBits   = 12
	servedBits   = 20
	deadlineBits = 64 - indexBits - servedBits - 1 // in milliseconds: 2 hours
	maxJobs      = 1 << indexBits
)

// groups is a list of indexes of jobs, grouped by level of urgency.
type groups struct {
	indexes []int32
	ends    []int32 // of the groups in indexes, by level
	keys    []uint64
}

// set groups the jobs, which keep their order within a group.
func (g *groups) set(jobs []waitingJob, levels int) {
	g.ends = slices.Grow(g.ends[:0], levels)[:levels]
	clear(g.ends)
	for i := range jobs {
		g.ends[jobs[i].level]++
	}
	sum := int32(0)
	for l, n := range g.ends {
		g.ends[l] = sum // its start, until the indexes are set
		sum += n
	}
	g.indexes = slices.Grow(g.indexes[:0], len(jobs))[:len(jobs)]
	for i := range jobs {
		end := &g.ends[jobs[i].level]
		g.indexes[*end] = int32(i)
		*end++
	}
}

// sort sorts each group by a number of less than 44 bits.
func (g *groups) sort(jobs []waitingJob, key func(j *waitingJob) uint64) {
	start := int32(0)
	for _, end := range g.ends {
		list := g.indexes[start:end]
		start = end
		if len(list) < 2 {
			continue
		}
		g.keys = g.keys[:0]
		for _, i := range list {
			g.keys = append(g.keys, key(&jobs[i])<<indexBits|uint64(i))
		}
		slices.Sort(g.keys)
		for k := range list {
			list[k] = int32(g.keys[k] & (maxJobs - 1))
		}
	}
}

// sortByLatest sorts the jobs by their latest start. In the normal order the jobs of one
// urgency are in this order already, so that their groups need only be merged.
func (d *deferral) sortByLatest(jobs []waitingJob) {
	d.byLatest = append(d.byLatest[:0], d.byRank.indexes...)
	d.merged = slices.Grow(d.merged[:0], len(jobs))[:len(jobs)]
	d.ends = append(d.ends[:0], d.byRank.ends...)
	for len(d.ends) > 1 {
		merged := d.ends[:0]
		start := int32(0)
		for i := 0; i < len(d.ends); i += 2 {
			middle := d.ends[i]
			end := d.ends[min(i+1, len(d.ends)-1)]
			mergeByLatest(d.merged[start:end], d.byLatest[start:middle], d.byLatest[middle:end], jobs)
			merged = append(merged, end)
			start = end
		}
		d.ends = merged
		d.byLatest, d.merged = d.merged, d.byLatest
	}
}

// mergeByLatest merges two lists in the order of latest start.
func mergeByLatest(to, a, b []int32, jobs []waitingJob) {
	for k := range to {
		if len(b) == 0 || len(a) > 0 && jobs[a[0]].latest <= jobs[b[0]].latest {
			to[k], a = a[0], a[1:]
		} else {
			to[k], b = b[0], b[1:]
		}
	}
}

// sortDeferred returns the indexes of deferred and late jobs in their order: by urgency,
// then those whose inputs occupy memory, then those of the client account with the least
// work served, then by deadline.
func (g *groups) sortDeferred(jobs []waitingJob, levels int, now int64) []int32 {
	g.set(jobs, levels)
	g.sort(jobs, func(j *waitingJob) uint64 {
		key := uint64(min(j.served, 1<<servedBits-1))
		if len(j.job.Inputs) == 0 {
			key |= 1 << servedBits
		}
		deadline := max(j.job.deadlineAt-now, 0) / 1e6
		return key<<deadlineBits | uint64(min(deadline, 1<<deadlineBits-1))
	})
	return g.indexes
}
