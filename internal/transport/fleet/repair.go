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

// repairTime bounds a repair: 100 KB take 0.2 s on the weakest link of 10 Mbit/s that
// others use as well.
const repairTime = time.Second

// repair closes a gap with what the peer that told the news believes, one at a time.
// Without success this process reads the store when its beliefs have grown old.
func (s *Broadcaster) repair(peer string) {
	if !s.repairing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.repairing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), repairTime)
		defer cancel()
		own := s.Catalog.Digests()
		came := clock.Now()
		t, err := s.Clients.Client(peer).Targets(ctx, own)
		if err != nil {
			return // the store, or the next news, will bring it
		}
		items, _, err := unpackBulk(t.GetItems())
		if err != nil {
			s.Clients.Log.Error("A peer's list can't be unpacked.", "peer", peer, "error", err.Error())
			return
		}
		r := catalog.Repair{Reading: catalog.Reading{Revision: hookhall.Revision(t.GetRevision()), Items: items, Began: came.Add(-milliseconds(t.GetAgeMs()))}, Digest: t.GetDigest()}
		for _, b := range t.GetBuckets() {
			r.Buckets = append(r.Buckets, int(b))
		}
		s.Catalog.LearnRepair(r, instance(peer))
	}()
}

// GetTargets implements the service.
func (s *Server) GetTargets(_ context.Context, r *pb.TargetsRequest) (*pb.Targets, error) {
	var theirs catalog.Digests
	copy(theirs[:], r.GetDigests())
	d := s.Broadcaster.Catalog.Differing(theirs)
	if d.Revision == 0 {
		return nil, errNothingYet
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

// Targets reads what the peer believes of the buckets that differ from own.
func (c *Client) Targets(ctx context.Context, own catalog.Digests) (*pb.Targets, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetTargets(ctx, &pb.TargetsRequest{Digests: own[:]}, largeReply)
}
