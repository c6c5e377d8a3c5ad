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
	// repairInterval is the time between two rounds while claims are missing.
	repairInterval = 100 * time.Millisecond
	// fetchTimeout bounds one Fetch call.
	fetchTimeout = 2 * time.Second
	// maxFetchSlots bounds the slots of one Fetch call, and so the size of its reply.
	maxFetchSlots = 128
)

// repairLoop fetches the claims that this process should hold and lacks, after each change
// of the view.
func (f *Fleet) repairLoop(ctx context.Context) {
	for {
		for f.Repair(ctx) > 0 {
			if !retry.Sleep(ctx, retry.Jitter(repairInterval)) {
				return
			}
		}
		select {
		case <-f.repairRequested:
		case <-ctx.Done():
			return
		}
	}
}

// Repair fetches missing claims as long as that makes progress, and returns the number
// of slots that still lack claims.
func (f *Fleet) Repair(ctx context.Context) int {
	for {
		before := f.store.MissingEpochs()
		if len(before) == 0 || ctx.Err() != nil {
			return len(before)
		}
		f.fetchMissing(ctx, before)
		after := f.store.MissingEpochs()
		if !madeProgress(before, after) {
			return len(after)
		}
	}
}

// madeProgress reports whether the list of missing layers has changed.
func madeProgress(before, after []claim.MissingEpoch) bool {
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

// fetchMissing fetches each needed layer (the grants of one epoch for one slot) from the
// owner and the standby of that epoch, the pair. A layer whose pair is gone is marked as lost
// in the store.
func (f *Fleet) fetchMissing(ctx context.Context, missing []claim.MissingEpoch) {
	v := f.View()
	now := clock.Now()
	membersByEpoch := map[uint64][]hookhall.Member{}
	slotsByMember := map[string][]uint32{}
	addressByMember := map[string]string{}
	for _, n := range missing {
		members, ok := membersByEpoch[n.Epoch]
		if !ok {
			members, ok = view.MembersAt(v, n.Epoch)
			if !ok {
				f.expireBeforeHistory(v, n, now)
				continue
			}
			membersByEpoch[n.Epoch] = members
		}
		pair := view.PairOf(members, n.Slot).Members()
		for _, m := range pair {
			slots := slotsByMember[m.ID]
			// missing is in the order of slots.
			if m.ID != f.self.ID && (len(slots) == 0 || slots[len(slots)-1] != n.Slot) {
				slotsByMember[m.ID] = append(slots, n.Slot)
				addressByMember[m.ID] = m.Address
			}
		}
		if isPairGone(v, pair) {
			f.store.MarkPairLost(n, now)
		}
	}
	f.fetchFromMembers(ctx, v, slotsByMember, addressByMember)
}

// fetchFromMembers fetches slots from the members that may hold them, at most maxFetchSlots
// per call. The maps are keyed by member ID.
func (f *Fleet) fetchFromMembers(ctx context.Context, v *hookhall.View, slotsByMember map[string][]uint32, addressByMember map[string]string) {
	ids := make([]string, 0, len(slotsByMember))
	for id := range slotsByMember {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	encoded := view.Encode(v)
	for _, id := range ids {
		for slots := slotsByMember[id]; len(slots) > 0; {
			part := slots[:min(maxFetchSlots, len(slots))]
			slots = slots[len(part):]
			if !f.fetch(ctx, addressByMember[id], hookhall.FetchRequest{Epoch: v.Epoch, Slots: part, View: encoded}) {
				break
			}
		}
	}
}

// fetch makes one Fetch call and merges the records of its reply. It returns false if the
// call failed or the member is not yet at the epoch of the request.
func (f *Fleet) fetch(ctx context.Context, address string, request hookhall.FetchRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := f.peers.Peer(address).Fetch(ctx, request)
	if err != nil || reply.Epoch < request.Epoch {
		return false
	}
	for _, s := range reply.Slots {
		f.store.Merge(s)
	}
	return true
}

// HandleFetch returns the records of slots to a member that lacks them. It adopts the
// sender's view first, so that this process makes no grant of an earlier epoch after the read.
func (f *Fleet) HandleFetch(request hookhall.FetchRequest) hookhall.FetchReply {
	f.adoptEncoded(request.View)
	return f.store.Records(request.Epoch, request.Slots)
}

// isPairGone reports whether no member of a pair can make grants any more: none is in the
// view, and none is unfenced.
func isPairGone(v *hookhall.View, pair []hookhall.Member) bool {
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

// expireBeforeHistory handles a missing layer of an epoch whose members the view's history
// no longer has. If no member is unfenced, all members of that epoch are gone or have
// advanced to a later one, and their grants expire within the retention of the claims. After
// that time, the layer and all earlier ones of the slot count as complete.
func (f *Fleet) expireBeforeHistory(v *hookhall.View, n claim.MissingEpoch, now time.Time) {
	if len(v.Unfenced) > 0 {
		return
	}
	if f.store.MarkPairLost(n, now) {
		f.store.MarkCompleteBefore(n.Slot, n.Epoch+1)
	}
}
