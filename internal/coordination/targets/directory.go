// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package targets keeps the pools: which targets there are, how loaded, and
// which are leaving.
//
// # Model
//
// The platform's list names the targets; the table's cells and the targets' own
// reports and refusals say which are leaving, and whoever says so first wins.
// Reports come with every answer and, for targets that are not called, by a
// poll. In a pool of more than SubsetSize targets an entry works with the
// SubsetSize that rank highest by the hash of both names, so that neither its
// polls nor its connections grow with the pool.
//
// # Invariants
//
//   - Pools are read through one atomic pointer; a refresh never blocks calls.
//   - While the list can't be read the last one stays in force.
package targets

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/fleet"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/admission"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/routing"
)

// SubsetSize is how many targets of a pool one entry works with at most.
const SubsetSize = 32

const (
	refreshEvery = 200 * time.Millisecond
	// pollEvery is between polls of a target, and pollShare for each entry of
	// the fleet if that is more: a target answers some ten polls a second in
	// all. What a poll tells, its answers and refusals tell sooner.
	pollEvery = time.Second
	pollShare = 100 * time.Millisecond
	// shedEvery is how often hopeless calls are looked for in the queues.
	// shedIdle is the same while nobody waits.
	shedEvery = 10 * time.Millisecond
	shedIdle  = 50 * time.Millisecond
	pollTime  = 500 * time.Millisecond
	// pollers bounds the polls in progress at once.
	pollers = 16
	// windowShare is a window's begin against an even share of the pool: a little
	// waiting at targets keeps their slots from idling while answers travel.
	windowShare = 1.25
	// windowRoom is how far above the pool's capacity a window may grow.
	windowRoom = 1.5
)

// Policy is what experiments vary; the zero value is the product's.
type Policy struct {
	Order    admission.Order
	Choice   routing.Choice
	NoWindow bool
	NoPrefix bool
}

// Pool is one pool with its gate.
type Pool struct {
	*routing.Pool
	Gate *admission.Gate
}

// Directory is all pools.
type Directory struct {
	fleet   *fleet.Fleet
	tables  *tables.Keeper
	backend hookhall.Backend
	policy  Policy
	log     *log.Logger
	pools   atomic.Pointer[map[string]*Pool]
}

// New makes a Directory without pools.
func New(f *fleet.Fleet, t *tables.Keeper, b hookhall.Backend, p Policy, l *log.Logger) *Directory {
	d := &Directory{fleet: f, tables: t, backend: b, policy: p, log: l}
	d.pools.Store(&map[string]*Pool{})
	return d
}

// Pool finds a pool; nil when no target of it has been listed.
func (d *Directory) Pool(name string) *Pool { return (*d.pools.Load())[name] }

// Pools returns all pools, sorted by name.
func (d *Directory) Pools() []*Pool {
	pools := make([]*Pool, 0, len(*d.pools.Load()))
	for _, p := range *d.pools.Load() {
		pools = append(pools, p)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}

// Run refreshes and polls until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		for retry.Sleep(ctx, retry.Jitter(d.pollPause())) {
			d.Poll(ctx)
		}
	}()
	go func() {
		defer wg.Done()
		d.shed(ctx)
	}()
	var last seen
	for {
		if now := d.sees(); now != last {
			last = now
			d.Refresh(clock.Now())
		}
		if !retry.Sleep(ctx, refreshEvery) {
			wg.Wait()
			return
		}
	}
}

// seen is what the pools are made from. It is compared, so that nothing is
// built anew while nothing has changed but once a second, for what fades.
type seen struct {
	listing *fleet.Listing
	table   *tables.InForce
	view    *hookhall.View
	second  int64
}

func (d *Directory) sees() seen {
	return seen{d.fleet.Listed(), d.tables.Current(), d.fleet.View(), clock.Stamp(clock.Now()) / int64(time.Second)}
}

// shed looks for hopeless calls in queues, often while any call waits.
func (d *Directory) shed(ctx context.Context) {
	pause := shedIdle
	for retry.Sleep(ctx, pause) {
		pause = shedIdle
		for _, p := range *d.pools.Load() {
			if p.Gate.Queued() > 0 {
				pause = shedEvery
				p.Gate.Shed(clock.Now())
			}
		}
	}
}

// Refresh rebuilds the pools from the list and the table.
func (d *Directory) Refresh(now time.Time) {
	listing := d.fleet.Listed()
	if listing == nil {
		return
	}
	leaving := d.tables.Current().Snapshot.Leaving
	byPool := map[string][]hookhall.Target{}
	for _, i := range listing.Instances {
		if i.Role != hookhall.RoleTarget {
			continue
		}
		byPool[i.Pool] = append(byPool[i.Pool], hookhall.Target{
			ID: i.ID, Pool: i.Pool, Hall: i.Hall, Address: i.Address, Streams: i.Streams,
			Leaving: i.State == hookhall.InstanceLeaving || leaving[i.ID] || d.fleet.HeardLeaving(i.ID, now),
		})
	}
	old := *d.pools.Load()
	next := make(map[string]*Pool, len(byPool))
	for name, list := range byPool {
		p := old[name]
		if p == nil {
			p = d.newPool(name)
		}
		p.Update(subset(list, d.fleet.Self().ID))
		d.resize(p, now)
		next[name] = p
	}
	for name, p := range old {
		if next[name] == nil {
			p.Update(nil) // the pool stays, so that its queue can empty
			next[name] = p
		}
	}
	d.pools.Store(&next)
}

func (d *Directory) newPool(name string) *Pool {
	return &Pool{
		Pool: routing.NewPool(name, d.policy.Choice, !d.policy.NoPrefix),
		Gate: admission.NewGate(d.policy.Order, 1, 0),
	}
}

// resize bounds the gate's window by what the pool can run at once; an even
// share of it among the entries is where a window begins.
func (d *Directory) resize(p *Pool, now time.Time) {
	if d.policy.NoWindow {
		return
	}
	capacity := float64(p.Capacity(now))
	entries := float64(max(len(d.fleet.View().Members), 1))
	p.Gate.Resize(capacity/entries*windowShare+1, capacity*windowRoom+1)
}

// subset keeps the targets that rank highest for this entry.
func subset(list []hookhall.Target, self string) []hookhall.Target {
	if len(list) <= SubsetSize {
		return list
	}
	rank := func(t hookhall.Target) uint64 { return xxhash.Sum64String(self + "/" + t.ID) }
	sort.Slice(list, func(i, j int) bool { return rank(list[i]) > rank(list[j]) })
	return list[:SubsetSize]
}

func (d *Directory) pollPause() time.Duration {
	return max(pollEvery, time.Duration(len(d.fleet.View().Members))*pollShare)
}

// Poll asks every target that has not been heard of lately for its report.
func (d *Directory) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, pollers)
	for _, p := range d.Pools() {
		for _, t := range p.Targets() {
			if t.HeardWithin(d.pollPause()*3/4, clock.Now()) {
				continue
			}
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				if r, err := d.backend.Load(ctx, t.Target); err == nil {
					t.Report(r, clock.Now())
				}
			}()
		}
	}
	wg.Wait()
}

// MarkLeaving notes that a target refused work because it is leaving.
func (d *Directory) MarkLeaving(t *routing.Target) {
	if !t.IsLeaving(clock.Now()) {
		d.log.Info("Target is leaving.", "target", t.ID)
	}
	t.Refused(clock.Now())
}
