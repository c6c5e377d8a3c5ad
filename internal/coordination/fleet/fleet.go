// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/follow"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
	"github.com/pkg/errors"
)

// SuccessorCount is the number of members that each member sends heartbeats to.
const SuccessorCount = 3

const (
	// viewWriteTimeout bounds one change of the view, retries included.
	viewWriteTimeout = 3 * time.Second
	// handoverPollInterval is the time between two checks of a leaving member whether the
	// remaining ones hold all its claims.
	handoverPollInterval = 50 * time.Millisecond
)

// Timing holds the settings of failure detection.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats to one member, and their timeout.
	HeartbeatInterval time.Duration
	// SuspectThreshold is the number of failed heartbeats in a row after which other members
	// are asked to probe the member.
	SuspectThreshold int
	// ListInterval is the time between reads of the platform's instance list.
	ListInterval time.Duration
}

// DefaultTiming detects a dead member within some two seconds.
var DefaultTiming = Timing{HeartbeatInterval: 500 * time.Millisecond, SuspectThreshold: 3, ListInterval: 2 * time.Second}

// Fleet maintains the membership of this process, and this process's copy of the
// view. It is safe for concurrent use.
type Fleet struct {
	self         hookhall.Member
	kv           hookhall.KeyValue
	instanceList hookhall.InstanceList
	peers        hookhall.Peers
	store        *claim.Store
	tables       *tables.Follower
	timing       Timing
	log          *log.Logger

	// wantsMembership is set once Join has been called; from then on the process joins
	// again whenever it was removed.
	wantsMembership atomic.Bool
	// leaving is set once Leave has been called: the process then removes no member and
	// doesn't rejoin.
	leaving atomic.Bool
	// listing is the instance list as last read; nil before the first read.
	listing atomic.Pointer[Listing]
	// serviceFailedAt is the time at which this process last failed to watch or read the
	// view in the key-value service; nil if it never did.
	serviceFailedAt atomic.Pointer[time.Time]
	// mu guards suspicions.
	mu sync.Mutex
	// suspicions has, by member ID, the members whose heartbeats fail.
	suspicions map[string]suspicion
	// leavingReports has the leaving targets that peers have reported.
	leavingReports leavingReports
	// repairRequested starts another round of the repair loop.
	repairRequested chan struct{}
	// viewWrites counts the attempted writes of the view.
	viewWrites atomic.Int64
}

// Listing is one read of the platform's instance list.
type Listing struct {
	Instances []hookhall.Instance
	// ReadAt is the time of the read, by package clock.
	ReadAt time.Time
}

// Has reports whether the list has an instance with the given ID.
func (l *Listing) Has(id string) bool {
	for _, i := range l.Instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

// Config holds the dependencies and settings of a Fleet.
type Config struct {
	// Self is this process as a member.
	Self hookhall.Member
	// KV stores the view.
	KV hookhall.KeyValue
	// InstanceList is the platform's instance list.
	InstanceList hookhall.InstanceList
	// Peers gives the clients of other members.
	Peers hookhall.Peers
	// Store holds the claims and the view in force.
	Store *claim.Store
	// Tables holds the routing table, whose versions heartbeats carry.
	Tables *tables.Follower
	// Timing is replaced by DefaultTiming if its HeartbeatInterval is 0.
	Timing Timing
	Log    *log.Logger
}

// New returns a Fleet whose process is not yet a member of the view.
func New(config Config) *Fleet {
	if config.Timing.HeartbeatInterval == 0 {
		config.Timing = DefaultTiming
	}
	return &Fleet{
		self: config.Self, kv: config.KV, instanceList: config.InstanceList, peers: config.Peers, store: config.Store,
		tables: config.Tables, timing: config.Timing, log: config.Log,
		suspicions: map[string]suspicion{}, repairRequested: make(chan struct{}, 1),
	}
}

// Self returns this process as a member; it need not be in the view.
func (f *Fleet) Self() hookhall.Member { return f.self }

// View returns the view in force, which must not be modified.
func (f *Fleet) View() *hookhall.View { return f.store.Placement().View }

// LatestListing returns the instance list as last read, nil before the first read.
func (f *Fleet) LatestListing() *Listing { return f.listing.Load() }

// ViewWrites returns the number of view writes that this process has attempted since its
// start, failed ones included.
func (f *Fleet) ViewWrites() int64 { return f.viewWrites.Load() }

// Adopt puts a view in force, whatever its source; an older one is ignored.
func (f *Fleet) Adopt(v *hookhall.View) {
	if !f.store.Advance(v) {
		return
	}
	f.log.Info("view in force", "epoch", v.Epoch, "members", len(v.Members))
	f.triggerRepair()
}

// triggerRepair makes the repair loop start another round; it never blocks.
func (f *Fleet) triggerRepair() {
	select {
	case f.repairRequested <- struct{}{}:
	default:
	}
}

// Run follows the view and detects failed members until ctx ends. It also reads the
// instance list, fetches missing claims and drops expired ones.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.watchView, f.heartbeatLoop, f.rejoinLoop, f.listLoop, f.repairLoop, f.sweepLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// watchView adopts each new version of the view in the key-value service.
func (f *Fleet) watchView(ctx context.Context) {
	follow.Key(ctx, f.kv, tables.ViewKey, f.adoptStored, func(err error) {
		f.recordServiceFailure()
		f.log.Warn("could not watch the view", "error", err.Error())
	})
}

// adoptStored adopts a view as read from the key-value service.
func (f *Fleet) adoptStored(entry hookhall.KeyValueEntry) error {
	v, err := view.Decode(entry.Value)
	if err != nil {
		return err
	}
	f.Adopt(v)
	return nil
}

// isMember reports whether this process is in the view in force.
func (f *Fleet) isMember() bool { return f.store.Placement().IsMember(f.self.ID) }

// Join adds this process to the view. Run adds it again whenever it was removed,
// also if this call returns an error.
func (f *Fleet) Join(ctx context.Context) error {
	f.wantsMembership.Store(true)
	return f.changeView(ctx, "join", func(v *hookhall.View) *hookhall.View { return view.Join(v, f.self) })
}

// changeView applies one change to the view in the key-value service, and adopts the
// result. If edit returns its argument, nothing is written. When the reply to a write
// is lost, the next read shows whether it took effect. operation names the change in
// log and error messages.
func (f *Fleet) changeView(ctx context.Context, operation string, edit func(*hookhall.View) *hookhall.View) error {
	ctx, cancel := context.WithTimeout(ctx, viewWriteTimeout)
	defer cancel()
	backoff := retry.New()
	for {
		entry, err := f.kv.Get(ctx, tables.ViewKey)
		if err != nil {
			return errors.Wrapf(err, "can't read the view for operation %s", operation)
		}
		v, err := view.Decode(entry.Value)
		if err != nil {
			return err
		}
		next := edit(v)
		if next == v {
			f.Adopt(v)
			return nil
		}
		f.viewWrites.Add(1)
		ok, err := f.kv.CompareAndSwap(ctx, tables.ViewKey, view.Encode(next), entry.Index)
		if ok {
			f.Adopt(next)
			return nil
		}
		if err != nil {
			f.log.Warn("key-value service did not answer", "change", operation, "error", err.Error())
		}
		backoff.Wait(ctx)
		if ctx.Err() != nil {
			return errors.Wrapf(hookhall.ErrUnavailable, "can't write the view for operation %s", operation)
		}
	}
}

// Leave removes this process from the view, and waits until the members that are
// left hold all claims that it held. Until then this process must keep answering
// their Fetch calls. An error means that it is still in the view, or that claims may
// be lost if it stops now.
func (f *Fleet) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	backoff := retry.New()
	for {
		err := f.changeView(ctx, "leave", func(v *hookhall.View) *hookhall.View { return view.Leave(v, f.self.ID, true) })
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "can't leave; this process is still in the view")
		}
		backoff.Wait(ctx)
	}
	return f.awaitHandover(ctx)
}

// awaitHandover waits until all members of the view in force are complete at its
// epoch, or are no longer members.
func (f *Fleet) awaitHandover(ctx context.Context) error {
	epoch := f.View().Epoch
	waiting := append([]hookhall.Member(nil), f.View().Members...)
	for len(waiting) > 0 {
		var next []hookhall.Member
		for _, m := range waiting {
			if !f.store.Placement().IsMember(m.ID) {
				continue // it has left or was removed: others now own its slots
			}
			if complete, err := f.askComplete(ctx, m, epoch); err != nil || !complete {
				next = append(next, m)
			}
		}
		waiting = next
		if len(waiting) > 0 && !retry.Sleep(ctx, handoverPollInterval) {
			return errors.Errorf("%d members may not hold all claims yet; claims may be lost if this process stops", len(waiting))
		}
	}
	return nil
}

// askComplete asks a member whether it holds a complete copy of the records of its
// slots, at the epoch or a later one.
func (f *Fleet) askComplete(ctx context.Context, m hookhall.Member, epoch uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.HeartbeatInterval)
	defer cancel()
	return f.peers.Peer(m.Address).IsComplete(ctx, epoch)
}

// sweepLoop drops expired claims about every five seconds.
func (f *Fleet) sweepLoop(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(5*time.Second)) {
		f.store.Sweep(clock.Now())
	}
}
