// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
)

// shareTime bounds telling one peer.
const shareTime = 400 * time.Millisecond

// Peers lists the other gateways.
type Peers interface {
	Self() hookhall.Member
	List(now time.Time) []hookhall.Member
}

// Spreader passes this process's readings of the store on to its peers, so that
// not every process has to read everything.
//
// TODO: each reading goes to each peer whole; CAPACITY.md tells at which size
// that has to become changes along a tree.
type Spreader struct {
	Peers   Peers
	Clients *Clients
	Catalog *catalog.Catalog

	known sync.Map // address to the revision of the table that the peer has
}

// Spread tells all peers, without waiting for them.
func (s *Spreader) Spread(r catalog.Reading) {
	n := &pb.News{From: s.Peers.Self().Instance, TargetsRevision: r.Revision}
	for _, i := range r.Items {
		n.Targets = append(n.Targets, &pb.TargetNews{Key: i.Key, Value: i.Value})
	}
	table, revision := s.Catalog.RawTable()
	for _, m := range s.Peers.List(time.Now()) {
		if m.Address == s.Peers.Self().Address {
			continue
		}
		own := &pb.News{
			From: n.From, TargetsRevision: n.TargetsRevision, Targets: n.Targets,
			ConfigRevision: revision, AgeMs: time.Since(r.Began).Milliseconds() + 1,
		}
		if has, ok := s.known.Load(m.Address); ok && has.(uint64) < revision {
			own.Config = table
		}
		go s.tell(m.Address, own)
	}
}

func (s *Spreader) tell(address string, n *pb.News) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTime)
	defer cancel()
	reply, err := s.Clients.Client(address).Share(ctx, n)
	if err != nil {
		return // it reads for itself
	}
	s.known.Store(address, reply.GetConfigRevision())
}
