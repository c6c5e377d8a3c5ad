// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// repairTimeout bounds reading the differing targets of a peer. 100 KB take 0.2 s on the
	// slowest link, which has 10 Mbit/s and is shared.
	repairTimeout = time.Second
	// minRepairPause and maxRepairPause bound the pause, before jitter, after a repair that failed.
	// Updates arrive up to ten times a second, and each shows the gap again.
	minRepairPause = 250 * time.Millisecond
	maxRepairPause = 4 * time.Second
	// maxLargeRepairs is the number of peers that are sent whole buckets or more than
	// minLargeRepair targets at a time. All targets of a large fleet take a weak instance some
	// tenths of a second to compress.
	maxLargeRepairs = 2
	minLargeRepair  = 1000
)

// errBusy is returned to peers while maxLargeRepairs are being sent.
var errBusy = status.Error(codes.Unavailable, "too many peers are being sent targets")

// repairs is the state of the repairs of this process's targets.
type repairs struct {
	running atomic.Bool

	mu        sync.Mutex
	pause     time.Duration // after the next failure, before jitter
	notBefore time.Time     // no repair that an update asks for begins earlier
}

// isDue reports whether a repair that an update asks for may begin.
func (r *repairs) isDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.notBefore)
}

// record records the outcome of a repair.
func (r *repairs) record(repaired bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if repaired {
		r.pause, r.notBefore = 0, time.Time{}
		return
	}
	r.pause = min(max(2*r.pause, minRepairPause), maxRepairPause)
	r.notBefore = now.Add(retry.Jitter(r.pause))
}

// repairTargets begins to read what the targets lack from the sender of an update. Only one repair
// runs at a time. If none succeeds, this process reads the store once its targets are too old.
func (s *Broadcaster) repairTargets(peer string) {
	if !s.repairs.isDue(clock.Now()) {
		return
	}
	go func() {
		if outcome := s.repairFrom(context.Background(), peer); outcome != repairSkipped {
			s.repairs.record(outcome >= repairedToOlder, clock.Now())
		}
	}()
}

// PullTargets asks a peer for changes of the targets, or for a later confirmation of them.
func (s *Broadcaster) PullTargets(ctx context.Context) {
	peer, ok := s.targetsPull.next(s, clock.Now())
	if !ok {
		return
	}
	if outcome := s.repairFrom(ctx, peer); outcome != repairSkipped {
		s.targetsPull.record(outcome == repairedToRecent, clock.Now())
	}
}

// repairOutcome is the outcome of asking a peer for what the targets lack.
type repairOutcome int

const (
	repairSkipped    repairOutcome = iota // another repair is running
	repairFailed                          // the peer did not answer
	repairUseless                         // the peer's targets are older, or changed too much meanwhile
	repairedToOlder                       // the targets are as recent as the peer's, which updates do not reach
	repairedToRecent                      // the targets are as recent as those of a peer that updates reach
)

// repairFrom reads what the targets lack from a peer.
func (s *Broadcaster) repairFrom(ctx context.Context, peer string) repairOutcome {
	if !s.repairs.running.CompareAndSwap(false, true) {
		return repairSkipped
	}
	defer s.repairs.running.Store(false)
	ctx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	outcome := s.askForRepair(ctx, peer, s.Catalog.RepairRequest())
	if request := s.Catalog.RepairRequest(); outcome == repairUseless && request.Since == 0 {
		return s.askForRepair(ctx, peer, request) // the changes were not enough
	}
	return outcome
}

// askForRepair asks a peer for a repair and applies it.
func (s *Broadcaster) askForRepair(ctx context.Context, peer string, request catalog.RepairRequest) repairOutcome {
	askedAt := clock.Now()
	r, err := s.Clients.Client(peer).FetchRepair(ctx, request)
	if err != nil {
		s.Clients.Log.Info("targets not read from peer", "peer", peer, "after", clock.Since(askedAt), "error", err.Error())
		return repairFailed
	}
	switch {
	case !s.Catalog.ApplyRepair(r, hostOf(peer)):
		s.Clients.Log.Debug("targets of peer are older, or leave a gap", "peer", peer, "after", clock.Since(askedAt), "since", r.Since, "buckets", len(r.Buckets), "targets", len(r.Items), "revision", r.Revision)
		return repairUseless
	case askedAt.Sub(r.Began) > maxHelpfulAge:
		return repairedToOlder
	}
	return repairedToRecent
}

// GetTargets implements pb.FleetServer.
func (s *Server) GetTargets(_ context.Context, r *pb.TargetsRequest) (*pb.Targets, error) {
	request := catalog.RepairRequest{Since: hookhall.Revision(r.GetSince())}
	copy(request.Digests[:], r.GetDigests())
	d := s.Broadcaster.Catalog.RepairFor(request)
	if d.Revision == 0 {
		return nil, errNoState
	}
	if len(d.Buckets) > 0 || len(d.Items) > minLargeRepair {
		defer s.largeRepairs.Add(-1)
		if s.largeRepairs.Add(1) > maxLargeRepairs {
			return nil, errBusy
		}
	}
	items, err := packBulk(d.Items, nil)
	if err != nil {
		return nil, err
	}
	out := &pb.Targets{
		Revision: uint64(d.Revision), AgeMs: ageMS(clock.Since(d.Began)), Digest: d.Digest, Items: items,
		Since: uint64(d.Since), Gone: d.Gone,
	}
	for _, b := range d.Buckets {
		out.Buckets = append(out.Buckets, int32(b))
	}
	return out, nil
}

// FetchRepair reads what the peer's targets have beyond those of the request.
func (c *Client) FetchRepair(ctx context.Context, request catalog.RepairRequest) (catalog.Repair, error) {
	if c.err != nil {
		return catalog.Repair{}, c.err
	}
	askedAt := clock.Now()
	t, err := c.rpc().GetTargets(ctx, &pb.TargetsRequest{Digests: request.Digests[:], Since: uint64(request.Since)}, allowLargeReply)
	if err != nil {
		return catalog.Repair{}, err
	}
	items, _, err := unpackBulk(t.GetItems())
	r := catalog.Repair{
		Reading: catalog.Reading{Revision: hookhall.Revision(t.GetRevision()), Items: items, Began: askedAt.Add(-milliseconds(t.GetAgeMs()))},
		Since:   hookhall.Revision(t.GetSince()), Gone: t.GetGone(), Digest: t.GetDigest(),
	}
	for _, b := range t.GetBuckets() {
		r.Buckets = append(r.Buckets, int(b))
	}
	return r, errors.Wrap(err, "targets of "+c.address)
}
