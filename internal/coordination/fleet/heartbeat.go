// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/view"
)

const (
	// requiredWitnesses is the number of other members that must confirm that a member does
	// not answer. Up to maxWitnesses are asked, since some of them may not answer either.
	requiredWitnesses = 2
	maxWitnesses      = 5
	// isolatedSuspectFactor multiplies the time for which a member must fail to answer when
	// too few witnesses answer this process. If the others are alive, this process is the
	// isolated one, and they remove it meanwhile.
	isolatedSuspectFactor = 6
)

// heartbeatLoop probes this process's successors, all at once, about every
// Timing.HeartbeatInterval.
func (f *Fleet) heartbeatLoop(ctx context.Context) {
	for retry.Sleep(ctx, retry.Jitter(f.timing.HeartbeatInterval)) {
		var wg sync.WaitGroup
		for _, m := range successors(f.View().Members, f.self.ID, SuccessorCount) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				f.checkMember(ctx, m)
			}()
		}
		wg.Wait()
	}
}

// successors returns the n members that follow self on a ring ordered by hash, or all
// others if there are fewer. Self need not be a member: its place is given by its hash.
func successors(members []hookhall.Member, self string, n int) []hookhall.Member {
	ring := make([]hookhall.Member, 0, len(members))
	for _, m := range members {
		if m.ID != self {
			ring = append(ring, m)
		}
	}
	start := xxhash.Sum64String(self)
	sort.Slice(ring, func(i, j int) bool {
		// This compares distances from start; unsigned subtraction wraps around the ring.
		return xxhash.Sum64String(ring[i].ID)-start < xxhash.Sum64String(ring[j].ID)-start
	})
	return ring[:min(n, len(ring))]
}

// checkMember probes one member, and removes it after repeated failures that witnesses
// confirm. A process that is not a member removes none: it may be the one that is cut off.
func (f *Fleet) checkMember(ctx context.Context, m hookhall.Member) {
	s := f.countProbeResult(m, f.Probe(ctx, m))
	if s.failedProbes < f.timing.SuspectThreshold || ctx.Err() != nil || f.leaving.Load() || !f.isMember() {
		return
	}
	reached, isolated := f.askWitnesses(ctx, m)
	if reached || isolated && !f.isUnlisted(m) && !f.couldHaveBeenRemoved(ctx, s) {
		return
	}
	f.removeMember(ctx, m)
}

// couldHaveBeenRemoved reports whether the other members, which may suspect this process in
// turn, have had the time and an available key-value service to remove it, and have not done
// so. It reads the stored view to check, and returns false if that fails.
func (f *Fleet) couldHaveBeenRemoved(ctx context.Context, s suspicion) bool {
	entry, err := f.kv.Get(ctx, tables.ViewKey)
	if err == nil {
		err = f.adoptStored(entry)
	}
	if err != nil {
		f.recordServiceFailure()
		return false
	}
	since := s.since
	if failedAt := f.serviceFailedAt.Load(); failedAt != nil && failedAt.After(since) {
		since = *failedAt
	}
	return f.isMember() && clock.Since(since) >= isolatedSuspectFactor*time.Duration(f.timing.SuspectThreshold)*f.timing.HeartbeatInterval
}

// recordServiceFailure records that a watch or read of the view failed now.
func (f *Fleet) recordServiceFailure() {
	now := clock.Now()
	f.serviceFailedAt.Store(&now)
}

// suspicion holds how many probes of a member have failed in a row, and the time of the
// first one.
type suspicion struct {
	failedProbes int
	since        time.Time
}

// countProbeResult counts the result of one probe of a member, and returns its suspicion. A
// probe that succeeded, or was sent by a process that is not a member, resets it.
func (f *Fleet) countProbeResult(m hookhall.Member, err error) suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || !f.isMember() {
		delete(f.suspicions, m.ID)
		return suspicion{}
	}
	s := f.suspicions[m.ID]
	if s.failedProbes == 0 {
		s.since = clock.Now()
	}
	s.failedProbes++
	f.suspicions[m.ID] = s
	return s
}

// Probe sends one heartbeat to a member. It adopts a newer view and the reports of leaving
// targets from the reply, and fetches the table if the member has a newer one. If the member's
// epoch is older, it sends a second heartbeat with the view.
func (f *Fleet) Probe(ctx context.Context, m hookhall.Member) error {
	return f.probe(ctx, m, nil)
}

// Push sends a heartbeat with the view to a member whose epoch is older.
func (f *Fleet) Push(ctx context.Context, m hookhall.Member) error {
	return f.probe(ctx, m, view.Encode(f.View()))
}

// probe sends one heartbeat, with the encoded view unless that is nil.
func (f *Fleet) probe(ctx context.Context, m hookhall.Member, encoded []byte) error {
	timeout := f.timing.HeartbeatInterval
	probeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := f.peers.Peer(m.Address)
	sentEpoch := f.View().Epoch
	reply, err := peer.Probe(probeCtx, hookhall.Probe{
		From: f.self.ID, Epoch: sentEpoch, TableVersion: f.tables.Version(), View: encoded, LeavingTargets: f.listedLeaving(),
	})
	if err != nil {
		return err
	}
	f.leavingReports.add(reply.LeavingTargets, clock.Now())
	f.adoptEncoded(reply.View)
	f.tables.PullIfNewer(ctx, reply.TableVersion, peer)
	if reply.Epoch < sentEpoch && encoded == nil {
		return f.Push(ctx, m)
	}
	return nil
}

// FetchNewestTable fetches the newest table among this process's successors. It is called before
// the process serves, since the key-value service may have returned an older one.
func (f *Fleet) FetchNewestTable(ctx context.Context) {
	for _, m := range successors(f.View().Members, f.self.ID, SuccessorCount) {
		probeCtx, cancel := context.WithTimeout(ctx, f.timing.HeartbeatInterval)
		peer := f.peers.Peer(m.Address)
		reply, err := peer.Probe(probeCtx, hookhall.Probe{From: f.self.ID, Epoch: f.View().Epoch, TableVersion: f.tables.Version()})
		cancel()
		if err != nil || reply.TableVersion <= f.tables.Version() {
			continue
		}
		if err := f.tables.Pull(ctx, peer); err != nil {
			f.log.Warn("could not fetch a newer table from a member", "member", m.ID, "error", err.Error())
		}
	}
}

// adoptEncoded adopts a view that a peer sent; an empty one is ignored.
func (f *Fleet) adoptEncoded(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	v, err := view.Decode(encoded)
	if err != nil {
		f.log.Warn("peer sent an invalid view", "error", err.Error())
		return
	}
	f.Adopt(v)
}

// HandleProbe answers a heartbeat. The reply carries the view if the sender's epoch is
// older.
func (f *Fleet) HandleProbe(ctx context.Context, p hookhall.Probe) hookhall.ProbeReply {
	f.adoptEncoded(p.View)
	f.leavingReports.add(p.LeavingTargets, clock.Now())
	v := f.View()
	if m, ok := view.Find(v, p.From); ok {
		f.tables.PullIfNewer(context.WithoutCancel(ctx), p.TableVersion, f.peers.Peer(m.Address))
	}
	reply := hookhall.ProbeReply{ID: f.self.ID, Epoch: v.Epoch, TableVersion: f.tables.Version(), LeavingTargets: f.listedLeaving()}
	// An admin process sends epoch 0 and keeps no view.
	if p.Epoch < v.Epoch && p.From != "admin" {
		reply.View = view.Encode(v)
	}
	return reply
}

// HandleProbeFor probes an address for another member, and reports whether it answered.
func (f *Fleet) HandleProbeFor(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, f.timing.HeartbeatInterval)
	defer cancel()
	_, err := f.peers.Peer(address).Probe(ctx, hookhall.Probe{From: f.self.ID, Epoch: f.View().Epoch})
	return err == nil
}

// askWitnesses asks other members, in an order by hash that differs by member, whether they
// reach m, until one does or requiredWitnesses have answered. isolated is set when fewer than
// that, and fewer than half of those asked, have answered: this process may then be the one
// that is cut off. Two more than maxWitnesses are taken from the ring, since m and this
// process, which are no witnesses, may be among them.
func (f *Fleet) askWitnesses(ctx context.Context, m hookhall.Member) (reached, isolated bool) {
	asked, answered := 0, 0
	for _, witness := range successors(f.View().Members, m.ID+"/witness", maxWitnesses+2) {
		if witness.ID == m.ID || witness.ID == f.self.ID || asked == maxWitnesses {
			continue
		}
		asked++
		witnessCtx, cancel := context.WithTimeout(ctx, 2*f.timing.HeartbeatInterval)
		seen, err := f.peers.Peer(witness.Address).ProbeFor(witnessCtx, m.Address)
		cancel()
		if err == nil {
			answered++
		}
		if seen || answered == requiredWitnesses {
			return seen, false
		}
	}
	return false, answered < min(requiredWitnesses, (asked+1)/2)
}

// removeMember removes a member that doesn't answer from the view. It is left unfenced
// unless the instance list lacks its instance.
func (f *Fleet) removeMember(ctx context.Context, m hookhall.Member) {
	unlisted := f.isUnlisted(m)
	f.log.Warn("member does not answer; removing it", "member", m.ID, "gone", unlisted)
	err := f.changeView(ctx, "remove", func(v *hookhall.View) *hookhall.View { return view.Leave(v, m.ID, unlisted) })
	if err != nil {
		f.log.Warn("could not remove the member", "member", m.ID, "error", err.Error())
		return
	}
	f.mu.Lock()
	delete(f.suspicions, m.ID)
	f.mu.Unlock()
}

// isUnlisted reports whether the instance list lacks the member's instance. It returns false if
// the list is empty or was read more than three intervals ago.
func (f *Fleet) isUnlisted(m hookhall.Member) bool {
	listing := f.listing.Load()
	return listing != nil && clock.Since(listing.ReadAt) < 3*f.timing.ListInterval && len(listing.Instances) > 0 && !listing.Has(m.Instance)
}

// listLoop reads the instance list every Timing.ListInterval, and fences removed members that it
// no longer has.
func (f *Fleet) listLoop(ctx context.Context) {
	// An empty list is read again sooner: the list lags behind the start of a new fleet.
	emptyListBackoff := retry.NewWithDelays(min(retry.DefaultMinDelay, f.timing.ListInterval), f.timing.ListInterval)
	for ctx.Err() == nil {
		list, err := f.instanceList.List(ctx)
		if err == nil {
			f.listing.Store(&Listing{list, clock.Now()})
			f.fenceUnlisted(ctx)
		} else if ctx.Err() == nil {
			f.log.Warn("could not read the instance list", "error", err.Error())
		}
		if err == nil && len(list) == 0 {
			emptyListBackoff.Wait(ctx)
			continue
		}
		if !retry.Sleep(ctx, retry.Jitter(f.timing.ListInterval)) {
			return
		}
	}
}

// fenceUnlisted removes from the view's unfenced members those whose instances the list lacks.
// For each, only its first successor on the ring does so, to avoid conflicting writes.
func (f *Fleet) fenceUnlisted(ctx context.Context) {
	v := f.View()
	for _, m := range v.Unfenced {
		first := successors(v.Members, m.ID, 1)
		if len(first) == 0 || first[0].ID != f.self.ID || !f.isUnlisted(m) {
			continue
		}
		err := f.changeView(ctx, "fence", func(v *hookhall.View) *hookhall.View { return view.Fence(v, m.ID) })
		if err != nil {
			f.log.Warn("could not fence a member that is no longer listed", "member", m.ID, "error", err.Error())
		}
	}
}
