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

// Successors is how many members each member sends heartbeats to.
const Successors = 3

const (
	writeTime = 3 * time.Second
	// settlePoll is how often a leaving member asks whether others are whole.
	settlePoll = 50 * time.Millisecond
)

// Timing is the pace of heartbeats.
type Timing struct {
	// Heartbeat is the time between heartbeats to one member.
	Heartbeat time.Duration
	// Suspect is how many in a row may fail.
	Suspect int
	// List is the time between reads of the instance list.
	List time.Duration
}

// DefaultTiming finds a dead member within some two seconds.
var DefaultTiming = Timing{Heartbeat: 500 * time.Millisecond, Suspect: 3, List: 2 * time.Second}

// Fleet is this process's part in the membership.
type Fleet struct {
	self   hookhall.Member
	kv     hookhall.KeyValue
	list   hookhall.InstanceList
	peers  hookhall.Peers
	store  *claim.Store
	tables *tables.Keeper
	timing Timing
	log    *log.Logger

	// joined is set while this process wants to be a member.
	joined  atomic.Bool
	leaving atomic.Bool
	// listed is the platform's list as last read; nil before.
	listed atomic.Pointer[Listing]
	// unserved is when the service last failed this process; nil before.
	unserved atomic.Pointer[time.Time]
	mu       sync.Mutex
	// suspected are members whose heartbeats fail.
	suspected map[string]suspicion
	// heard are leaving targets that peers have told of.
	heard peerWord
	// repair wakes the repair loop.
	repair chan struct{}
	writes atomic.Int64
}

// Listing is the instance list as read at a time.
type Listing struct {
	Instances []hookhall.Instance
	At        time.Time
}

// Has tells whether the list has an instance.
func (l *Listing) Has(id string) bool {
	for _, i := range l.Instances {
		if i.ID == id {
			return true
		}
	}
	return false
}

// Parts are what a Fleet works with.
type Parts struct {
	Self   hookhall.Member
	KV     hookhall.KeyValue
	List   hookhall.InstanceList
	Peers  hookhall.Peers
	Store  *claim.Store
	Tables *tables.Keeper
	Timing Timing
	Log    *log.Logger
}

// New makes a Fleet that is not yet a member.
func New(p Parts) *Fleet {
	if p.Timing.Heartbeat == 0 {
		p.Timing = DefaultTiming
	}
	return &Fleet{
		self: p.Self, kv: p.KV, list: p.List, peers: p.Peers, store: p.Store,
		tables: p.Tables, timing: p.Timing, log: p.Log,
		suspected: map[string]suspicion{}, repair: make(chan struct{}, 1),
	}
}

// Self is this process as a member.
func (f *Fleet) Self() hookhall.Member { return f.self }

// View is the view in force.
func (f *Fleet) View() *hookhall.View { return f.store.Placement().View }

// Listed is the instance list as last read, nil before the first read.
func (f *Fleet) Listed() *Listing { return f.listed.Load() }

// Writes is how many view writes this process has tried.
func (f *Fleet) Writes() int64 { return f.writes.Load() }

// Adopt takes in a view that came from anywhere; an older one is ignored.
func (f *Fleet) Adopt(v *hookhall.View) {
	if !f.store.Advance(v) {
		return
	}
	f.log.Info("View in force.", "epoch", v.Epoch, "members", len(v.Members))
	f.wakeRepair()
}

func (f *Fleet) wakeRepair() {
	select {
	case f.repair <- struct{}{}:
	default:
	}
}

// Run follows and looks after the view until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){f.watch, f.heartbeats, f.rejoin, f.readList, f.repairLoop, f.sweep} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	wg.Wait()
}

// watch follows the view's key.
func (f *Fleet) watch(ctx context.Context) {
	follow.Key(ctx, f.kv, tables.ViewKey, f.follow, func(err error) {
		f.noteUnserved()
		f.log.Warn("Can't follow the view.", "error", err.Error())
	})
}

func (f *Fleet) follow(e hookhall.Entry) error {
	v, err := view.Decode(e.Value)
	if err != nil {
		return err
	}
	f.Adopt(v)
	return nil
}

func (f *Fleet) member() bool { return f.store.Placement().Alive(f.self.ID) }

// Join adds this process to the view, and again whenever it was taken out.
func (f *Fleet) Join(ctx context.Context) error {
	f.joined.Store(true)
	return f.change(ctx, "join", func(v *hookhall.View) *hookhall.View { return view.Join(v, f.self) })
}

// change writes one change to the view; a change that gives the same view is
// not written. A lost answer is settled by reading again.
func (f *Fleet) change(ctx context.Context, what string, edit func(*hookhall.View) *hookhall.View) error {
	ctx, cancel := context.WithTimeout(ctx, writeTime)
	defer cancel()
	pause := retry.New()
	for {
		e, err := f.kv.Get(ctx, tables.ViewKey)
		if err != nil {
			return errors.Wrapf(err, "view: %s", what)
		}
		v, err := view.Decode(e.Value)
		if err != nil {
			return err
		}
		next := edit(v)
		if next == v {
			f.Adopt(v)
			return nil
		}
		f.writes.Add(1)
		ok, err := f.kv.CompareAndSwap(ctx, tables.ViewKey, view.Encode(next), e.Index)
		if ok {
			f.Adopt(next)
			return nil
		}
		if err != nil {
			f.log.Warn("The service did not answer.", "change", what, "error", err.Error())
		}
		pause.Wait(ctx)
		if ctx.Err() != nil {
			return errors.Wrapf(hookhall.ErrUnavailable, "view: %s", what)
		}
	}
}

// Leave takes this process out of the view, and waits until the members that
// follow it hold all its claims. Until then it goes on answering them.
func (f *Fleet) Leave(ctx context.Context) error {
	f.leaving.Store(true)
	pause := retry.New()
	for {
		err := f.change(ctx, "leave", func(v *hookhall.View) *hookhall.View { return view.Leave(v, f.self.ID, true) })
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "still in the view")
		}
		pause.Wait(ctx)
	}
	return f.awaitHandover(ctx)
}

func (f *Fleet) awaitHandover(ctx context.Context) error {
	epoch := f.View().Epoch
	waiting := append([]hookhall.Member(nil), f.View().Members...)
	for len(waiting) > 0 {
		var next []hookhall.Member
		for _, m := range waiting {
			if !f.store.Placement().Alive(m.ID) {
				continue // it has left or is gone: others hold its slots now
			}
			if whole, err := f.askWhole(ctx, m, epoch); err != nil || !whole {
				next = append(next, m)
			}
		}
		waiting = next
		if len(waiting) > 0 && !retry.Sleep(ctx, settlePoll) {
			return errors.Errorf("%d members may not hold all claims yet", len(waiting))
		}
	}
	return nil
}

func (f *Fleet) askWhole(ctx context.Context, m hookhall.Member, epoch uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timing.Heartbeat)
	defer cancel()
	return f.peers.Peer(m.Address).Whole(ctx, epoch)
}

// sweep drops expired claims, a little at a time.
func (f *Fleet) sweep(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(5*time.Second)) {
		f.store.Sweep(clock.Now())
	}
}
