// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// repairTimeout bounds reading the differing targets of a peer. 100 KB take 0.2 s on the
// slowest link, which has 10 Mbit/s and is shared.
const repairTimeout = time.Second

// repairTargets reads the targets that differ from those of the sender of an update. Only
// one repair runs at a time. If it fails, this process reads the store once its targets
// are too old.
func (s *Broadcaster) repairTargets(peer string) {
	if !s.repairing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.repairing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
		defer cancel()
		own := s.Catalog.Digests()
		askedAt := clock.Now()
		t, err := s.Clients.Client(peer).FetchTargets(ctx, own)
		if err != nil {
			s.Clients.Log.Info("gap not repaired", "peer", peer, "after", clock.Since(askedAt), "error", err.Error())
			return // the next update starts another repair
		}
		items, _, err := unpackBulk(t.GetItems())
		if err != nil {
			s.Clients.Log.Error("peer target list not readable", "peer", peer, "error", err.Error())
			return
		}
		r := catalog.Repair{Reading: catalog.Reading{Revision: hookhall.Revision(t.GetRevision()), Items: items, Began: askedAt.Add(-milliseconds(t.GetAgeMs()))}, Digest: t.GetDigest()}
		for _, b := range t.GetBuckets() {
			r.Buckets = append(r.Buckets, int(b))
		}
		if !s.Catalog.ApplyRepair(r, hostOf(peer)) {
			s.Clients.Log.Info("gap not repaired: the lists changed meanwhile, or the peer's is older", "peer", peer, "after", clock.Since(askedAt), "buckets", len(r.Buckets), "targets", len(items))
		}
	}()
}

// GetTargets implements pb.FleetServer.
func (s *Server) GetTargets(_ context.Context, r *pb.TargetsRequest) (*pb.Targets, error) {
	var theirs catalog.Digests
	copy(theirs[:], r.GetDigests())
	d := s.Broadcaster.Catalog.RepairFor(theirs)
	if d.Revision == 0 {
		return nil, errNoState
	}
	items, err := packBulk(d.Items, nil)
	if err != nil {
		return nil, err
	}
	out := &pb.Targets{Revision: uint64(d.Revision), AgeMs: ageMS(clock.Since(d.Began)), Digest: d.Digest, Items: items}
	for _, b := range d.Buckets {
		out.Buckets = append(out.Buckets, int32(b))
	}
	return out, nil
}

// FetchTargets reads the peer's targets in the buckets whose digests differ from own.
func (c *Client) FetchTargets(ctx context.Context, own catalog.Digests) (*pb.Targets, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetTargets(ctx, &pb.TargetsRequest{Digests: own[:]}, allowLargeReply)
}
