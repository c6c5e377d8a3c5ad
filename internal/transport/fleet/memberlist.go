// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/members"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// listFetchTimeout bounds reading the list of members of a peer, 5 KB for 330 gateways.
const listFetchTimeout = time.Second

// fetchMembers reads the complete list of members of the sender of an update and adopts it if
// it is newer. Only one fetch runs at a time; after a failure the next update starts another.
func (s *Broadcaster) fetchMembers(peer string) {
	if !s.fetchingMembers.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetchingMembers.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), listFetchTimeout)
		defer cancel()
		list, err := s.Clients.Client(peer).FetchMembers(ctx)
		if err != nil {
			s.Clients.Log.Debug("gateway list not fetched", "peer", peer, "error", err.Error())
			return
		}
		if _, err := s.Peers.AdoptList(list, hostOf(peer), clock.Now()); err != nil {
			s.Clients.Log.Error("peer gateway list not valid", "peer", peer, "error", err.Error())
		}
	}()
}

// GetMembers implements pb.FleetServer.
func (s *Server) GetMembers(context.Context, *pb.MembersRequest) (*pb.MemberList, error) {
	list := s.Broadcaster.Peers.CompleteList()
	if list.Revision == 0 {
		return nil, errNoState
	}
	items, err := packBulk(nil, list.Items)
	if err != nil {
		return nil, err
	}
	return &pb.MemberList{Revision: uint64(list.Revision), Digest: list.Digest, Items: items}, nil
}

// FetchMembers reads the complete list of members that the peer knows.
func (c *Client) FetchMembers(ctx context.Context) (members.CompleteList, error) {
	if c.err != nil {
		return members.CompleteList{}, c.err
	}
	reply, err := c.rpc().GetMembers(ctx, &pb.MembersRequest{}, allowLargeReply)
	if err != nil {
		return members.CompleteList{}, err
	}
	_, items, err := unpackBulk(reply.GetItems())
	return members.CompleteList{Revision: hookhall.Revision(reply.GetRevision()), Digest: reply.GetDigest(), Items: items}, err
}
