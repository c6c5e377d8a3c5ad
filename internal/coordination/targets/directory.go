// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package targets maintains the pools of targets of an entry: which targets there
// are, how loaded they are, and which are leaving.
//
// # Model
//
// The platform's list of instances contains the targets. A target counts as leaving
// as soon as any source reports it: the platform's list, the table, the target's
// own load report or refusal, or another entry. Load reports come with every
// answer; targets without recent calls are polled. In a pool of more than
// SubsetSize targets an entry uses the SubsetSize targets that rank highest by the
// hash of the entry's and the target's ID, so that neither its polls nor its
// connections grow with the pool.
//
// # Invariants
//
//   - Pools are read through one atomic pointer; a refresh never blocks calls.
//   - While the list of instances can't be read, the last one stays in force.
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

// SubsetSize is the maximum number of targets of a pool that one entry uses.
const SubsetSize = 32

const (
	// refreshInterval is the time between two checks for changes that require the
	// pools to be rebuilt.
	refreshInterval = 200 * time.Millisecond
	// A target is polled by an entry every minPollInterval, or every
	// pollIntervalPerEntry times the number of entries if that is longer: all
	// entries together then send a target about ten polls a second at most. Polls may
	// be rare because answers and refusals report the same sooner.
	minPollInterval      = time.Second
	pollIntervalPerEntry = 100 * time.Millisecond
	// shedInterval is the time between two searches of the queues for calls that
	// can't start in time, and idleShedInterval the same while no call waits.
	shedInterval     = 10 * time.Millisecond
	idleShedInterval = 50 * time.Millisecond
	// pollTimeout bounds one round of polls.
	pollTimeout = 500 * time.Millisecond
	// maxConcurrentPolls bounds the polls in progress at the same time.
	maxConcurrentPolls = 16
	// initialWindowFactor is the ratio of a gate's initial window to this entry's
	// even share of the pool's capacity. It is above 1 so that a short queue at the
	// targets keeps their slots busy while answers travel.
	initialWindowFactor = 1.25
	// maxWindowFactor is the ratio of a gate's maximum window to the capacity of the
	// whole pool.
	maxWindowFactor = 1.5
)

// Policy holds settings that are varied in experiments. The zero value is the policy
// for production.
type Policy struct {
	// Order is the order in which a gate's queue is served.
	Order admission.Order
	// Choice is how a target of a pool is chosen.
	Choice routing.Choice
	// NoWindow leaves the number of calls in progress per pool unbounded.
	NoWindow bool
	// NoPrefix disables the preference for a target by the prefix of a call's input.
	NoPrefix bool
}

// Pool is a pool of targets with the admission gate that its calls pass.
type Pool struct {
	*routing.Pool
	Gate *admission.Gate
}

// Directory holds all pools of an entry. Its methods are safe for concurrent use.
type Directory struct {
	fleet       *fleet.Fleet
	tables      *tables.Follower
	backend     hookhall.Backend
	policy      Policy
	log         *log.Logger
	refreshMu   sync.Mutex // held by Refresh
	poolsByName atomic.Pointer[map[string]*Pool]
}

// New returns a Directory without pools; Refresh and Run add them.
func New(f *fleet.Fleet, follower *tables.Follower, backend hookhall.Backend, policy Policy, logger *log.Logger) *Directory {
	d := &Directory{fleet: f, tables: follower, backend: backend, policy: policy, log: logger}
	d.poolsByName.Store(&map[string]*Pool{})
	return d
}

// Pool returns the pool with a name, or nil if no target of it was ever listed.
func (d *Directory) Pool(name string) *Pool { return (*d.poolsByName.Load())[name] }

// Pools returns all pools, sorted by name.
func (d *Directory) Pools() []*Pool {
	pools := make([]*Pool, 0, len(*d.poolsByName.Load()))
	for _, pool := range *d.poolsByName.Load() {
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}

// Run rebuilds the pools when their inputs change, polls the targets and sheds
// queued calls until ctx ends. It returns after its goroutines have ended.
func (d *Directory) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		for retry.Sleep(ctx, retry.Jitter(d.pollInterval())) {
			d.Poll(ctx)
		}
	}()
	go func() {
		defer wg.Done()
		d.shedQueues(ctx)
	}()
	var lastBuilt poolInputs
	for {
		if current := d.currentInputs(); current != lastBuilt {
			lastBuilt = current
			d.Refresh(clock.Now())
		}
		if !retry.Sleep(ctx, refreshInterval) {
			wg.Wait()
			return
		}
	}
}

// poolInputs is what the pools are built from. Run rebuilds them only if it has
// changed. Second changes once a second, because reports that a target is leaving
// expire and the capacity of a pool changes without any other input.
type poolInputs struct {
	listing *fleet.Listing
	table   *tables.ActiveTable
	view    *hookhall.View
	second  int64
}

// currentInputs returns what the pools would be built from now.
func (d *Directory) currentInputs() poolInputs {
	return poolInputs{d.fleet.LatestListing(), d.tables.Current(), d.fleet.View(), clock.Stamp(clock.Now()) / int64(time.Second)}
}

// shedQueues refuses queued calls that can't start in time, until ctx ends. It
// searches more often while any call waits.
func (d *Directory) shedQueues(ctx context.Context) {
	pause := idleShedInterval
	for retry.Sleep(ctx, pause) {
		pause = idleShedInterval
		for _, pool := range *d.poolsByName.Load() {
			if pool.Gate.Queued() > 0 {
				pause = shedInterval
				pool.Gate.Shed(clock.Now())
			}
		}
	}
}

// Refresh rebuilds the pools from the list of instances and the table. It does
// nothing as long as no list has been read.
func (d *Directory) Refresh(now time.Time) {
	d.refreshMu.Lock()
	defer d.refreshMu.Unlock()
	listing := d.fleet.LatestListing()
	if listing == nil {
		return
	}
	leaving := d.tables.Current().Snapshot.Leaving
	targetsByPool := map[string][]hookhall.Target{}
	for _, instance := range listing.Instances {
		if instance.Role != hookhall.RoleTarget {
			continue
		}
		targetsByPool[instance.Pool] = append(targetsByPool[instance.Pool], hookhall.Target{
			ID: instance.ID, Pool: instance.Pool, Hall: instance.Hall, Address: instance.Address, Streams: instance.Streams,
			Leaving: instance.State == hookhall.InstanceLeaving || leaving[instance.ID] || d.fleet.IsReportedLeaving(instance.ID, now),
		})
	}
	old := *d.poolsByName.Load()
	next := make(map[string]*Pool, len(targetsByPool))
	for name, poolTargets := range targetsByPool {
		pool := old[name]
		if pool == nil {
			pool = d.newPool(name)
		}
		pool.Update(subset(poolTargets, d.fleet.Self().ID))
		d.resizeGate(pool, now)
		next[name] = pool
	}
	for name, pool := range old {
		if next[name] == nil {
			pool.Update(nil) // the pool stays, so that calls in its queue still end
			next[name] = pool
		}
	}
	d.poolsByName.Store(&next)
}

// newPool returns an empty pool; resizeGate bounds its gate.
func (d *Directory) newPool(name string) *Pool {
	return &Pool{
		Pool: routing.NewPool(name, d.policy.Choice, !d.policy.NoPrefix),
		Gate: admission.NewGate(d.policy.Order, 1, 0),
	}
}

// resizeGate bounds the window of a pool's gate by the number of calls that the
// pool can run at the same time. The window begins at this entry's even share.
func (d *Directory) resizeGate(pool *Pool, now time.Time) {
	if d.policy.NoWindow {
		return
	}
	capacity := float64(pool.Capacity(now))
	entries := float64(max(len(d.fleet.View().Members), 1))
	pool.Gate.Resize(capacity/entries*initialWindowFactor+1, capacity*maxWindowFactor+1)
}

// subset returns the SubsetSize targets that rank highest for the entry with the ID
// self, or all if there are no more. It may reorder list.
func subset(list []hookhall.Target, self string) []hookhall.Target {
	if len(list) <= SubsetSize {
		return list
	}
	rank := func(target hookhall.Target) uint64 { return xxhash.Sum64String(self + "/" + target.ID) }
	sort.Slice(list, func(i, j int) bool { return rank(list[i]) > rank(list[j]) })
	return list[:SubsetSize]
}

// pollInterval returns the time between two polls of a target by this entry.
func (d *Directory) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(len(d.fleet.View().Members))*pollIntervalPerEntry)
}

// Poll reads the load report of every target that sent none within the last three
// quarters of a poll interval, and waits for all of the answers.
func (d *Directory) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentPolls)
	for _, pool := range d.Pools() {
		for _, target := range pool.Targets() {
			if target.ReportedWithin(d.pollInterval()*3/4, clock.Now()) {
				continue
			}
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer wg.Done()
				defer func() { <-slots }()
				if report, err := d.backend.Load(ctx, target.Target); err == nil {
					target.RecordReport(report, clock.Now())
				}
			}()
		}
	}
	wg.Wait()
}

// MarkLeaving records that a target refused a call because it is leaving. Until the
// record expires the target gets no further calls.
func (d *Directory) MarkLeaving(target *routing.Target) {
	if !target.IsLeaving(clock.Now()) {
		d.log.Info("target leaving", "target", target.ID)
	}
	target.MarkLeaving(clock.Now())
}
