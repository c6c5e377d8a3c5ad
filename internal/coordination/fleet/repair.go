// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/claim"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
)

const (
	// repairPause is between rounds while something is missing.
	repairPause = 100 * time.Millisecond
	fetchTime   = 2 * time.Second
	// fetchSlots bounds the slots of one Fetch, and so its size.
	fetchSlots = 128
)

// repairLoop fetches claims that this process should hold and does not.
func (f *Fleet) repairLoop(ctx context.Context) {
	for {
		for f.Repair(ctx) > 0 {
			if !retry.Sleep(ctx, retry.Jitter(repairPause)) {
				return
			}
		}
		select {
		case <-f.repair:
		case <-ctx.Done():
			return
		}
	}
}

// Repair makes one round and returns how many slots still miss something. A
// round goes on while it makes progress.
func (f *Fleet) Repair(ctx context.Context) int {
	for {
		before := f.store.Missing()
		if len(before) == 0 || ctx.Err() != nil {
			return len(before)
		}
		f.fetchAll(ctx, before)
		after := f.store.Missing()
		if !progress(before, after) {
			return len(after)
		}
	}
}

func progress(before, after []claim.Need) bool {
	if len(before) != len(after) {
		return true
	}
	for i := range before {
		if before[i] != after[i] {
			return true
		}
	}
	return false
}

// fetchAll asks, for each needed layer, the pair that served it.
func (f *Fleet) fetchAll(ctx context.Context, needs []claim.Need) {
	v := f.View()
	now := clock.Now()
	history := map[uint64][]hookhall.Member{}
	sources := map[string][]uint32{}
	address := map[string]string{}
	for _, n := range needs {
		members, ok := history[n.Epoch]
		if !ok {
			members, ok = view.At(v, n.Epoch)
			if !ok {
				f.beforeHistory(v, n, now)
				continue
			}
			history[n.Epoch] = members
		}
		pair := view.PairOf(members, n.Slot).Members()
		for _, m := range pair {
			if m.ID != f.self.ID {
				sources[m.ID] = append(sources[m.ID], n.Slot)
				address[m.ID] = m.Address
			}
		}
		if allGone(v, pair) {
			f.store.Lost(n, now)
		}
	}
	f.fetchFrom(ctx, v, sources, address)
}

func (f *Fleet) fetchFrom(ctx context.Context, v *hookhall.View, sources map[string][]uint32, address map[string]string) {
	ids := make([]string, 0, len(sources))
	for id := range sources {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	encoded := view.Encode(v)
	for _, id := range ids {
		for slots := sources[id]; len(slots) > 0; {
			part := slots[:min(fetchSlots, len(slots))]
			slots = slots[len(part):]
			if !f.fetch(ctx, address[id], hookhall.FetchRequest{Epoch: v.Epoch, Slots: part, View: encoded}) {
				break
			}
		}
	}
}

func (f *Fleet) fetch(ctx context.Context, address string, q hookhall.FetchRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	reply, err := f.peers.Peer(address).Fetch(ctx, q)
	if err != nil || reply.Epoch < q.Epoch {
		return false
	}
	for _, s := range reply.Slots {
		f.store.Merge(s)
	}
	return true
}

// HandleFetch moves on to the asker's view first: what it reads then can't
// grow by another grant of an earlier epoch.
func (f *Fleet) HandleFetch(q hookhall.FetchRequest) hookhall.FetchReply {
	f.takeView(q.View)
	return f.store.Records(q.Epoch, q.Slots)
}

// allGone tells whether no member of a pair can grant any more: none is a
// member now, and none is unfenced.
func allGone(v *hookhall.View, pair []hookhall.Member) bool {
	for _, m := range pair {
		if _, ok := view.Find(v, m.ID); ok {
			return false
		}
		for _, u := range v.Unfenced {
			if u.ID == m.ID {
				return false
			}
		}
	}
	return true
}

// beforeHistory settles an epoch that the view no longer tells the members of:
// with nobody unfenced, all of them are gone or have moved on, and what they
// granted expires within the retention.
func (f *Fleet) beforeHistory(v *hookhall.View, n claim.Need, now time.Time) {
	if len(v.Unfenced) > 0 {
		return
	}
	if f.store.Lost(n, now) {
		f.store.Forget(n.Slot, n.Epoch+1)
	}
}
