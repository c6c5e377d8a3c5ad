// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// storeTimeout is how long a starting process waits for the store before it asks
	// peers.
	storeTimeout = 400 * time.Millisecond
	// askInterval is the pause before the next peer is asked.
	askInterval = 200 * time.Millisecond
	// askTimeout bounds reading the complete state of one peer.
	askTimeout = 2 * time.Second
)

// MemberList accepts the members that a peer listed.
type MemberList interface {
	// AddFromPeer adds the members of a peer's list until the store's own list replaces them.
	AddFromPeer(list []hookhall.Member)
}

// Bootstrapper lets a process start while the store is unavailable: it fetches the state
// of the peers that its settings name, with its age. What the store returns later
// replaces that state. The fields are set before the first call.
type Bootstrapper struct {
	Clients *Clients
	Catalog *catalog.Catalog
	Members MemberList
	Crashes Crashes
	// Advisories stores the advisories that peers received from targets.
	Advisories Advisories
	Log        *log.Logger
	// StartedAt is when the process started.
	StartedAt time.Time
}

// Run asks the peers at the addresses in seeds in turn, until the catalog has a table
// and targets or ctx ends.
func (s *Bootstrapper) Run(ctx context.Context, seeds []string) {
	retry.Sleep(ctx, storeTimeout)
	for i := 0; len(seeds) > 0 && ctx.Err() == nil && !s.Catalog.Ready(); i++ {
		s.Ask(ctx, seeds[i%len(seeds)])
		retry.Sleep(ctx, askInterval)
	}
}

// Ask fetches the state of the peer at an address. It does nothing within storeTimeout
// of the start, while the store may still answer, and once the catalog is ready.
func (s *Bootstrapper) Ask(ctx context.Context, peer string) {
	if clock.Since(s.StartedAt) < storeTimeout || s.Catalog.Ready() {
		return
	}
	if err := s.fetchState(ctx, peer); err != nil {
		s.Log.Info("state not fetched from peer", "peer", peer, "error", err.Error())
		return
	}
	s.Log.Info("state fetched from peer", "peer", peer)
}

// fetchState fetches and applies the state of the peer at an address.
func (s *Bootstrapper) fetchState(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := clock.Now()
	state, err := s.Clients.Client(peer).FetchState(ctx)
	if err != nil {
		return err
	}
	if state.GetHallsRevision() > 0 {
		s.Catalog.ApplyHalls(catalog.Halls{Revision: hookhall.Revision(state.GetHallsRevision()), Evacuated: state.GetEvacuated()}, hostOf(peer))
	}
	s.Crashes.Merge(readCrashes(state.GetEnds().GetEnds(), clock.Now()), hostOf(peer))
	s.Advisories.Merge(readAdvisories(state.GetAdvisories(), began), hostOf(peer))
	applyTable(s.Catalog, state.GetTable(), peer, began)
	r := catalog.Reading{Revision: hookhall.Revision(state.GetTargetsRevision()), Began: began.Add(-milliseconds(state.GetAgeMs()))}
	if r.Items, _, err = unpackBulk(state.GetTargets()); err != nil {
		return err
	}
	s.Catalog.ApplyReading(r, hostOf(peer))
	s.Members.AddFromPeer(readMembers(state.GetMembers()))
	return nil
}

// readMembers decodes members as they are stored. It omits values that are not valid.
func readMembers(values [][]byte) []hookhall.Member {
	var list []hookhall.Member
	for _, v := range values {
		var m hookhall.Member
		if json.Unmarshal(v, &m) == nil {
			list = append(list, m)
		}
	}
	return list
}

// GetBeliefs implements pb.FleetServer.
func (s *Server) GetBeliefs(context.Context, *pb.BeliefsRequest) (*pb.Beliefs, error) {
	b := s.Broadcaster
	table := wireTable(b.Catalog)
	r := b.Catalog.Reading()
	if table.GetRevision() == 0 || r.Revision == 0 {
		return nil, errNoState
	}
	out := &pb.Beliefs{
		Table:           table,
		TargetsRevision: uint64(r.Revision), AgeMs: ageMS(clock.Since(r.Began)),
	}
	h := b.Catalog.Halls()
	out.HallsRevision, out.Evacuated = uint64(h.Revision), h.Evacuated
	out.Ends = &pb.Ends{Ends: wireCrashes(b.Crashes.All(), clock.Now())}
	out.Advisories = wireAdvisories(b.Advisories.All(), clock.Now())
	var err error
	if out.Targets, err = packBulk(r.Items, nil); err != nil {
		return nil, err
	}
	for _, m := range b.Peers.All() {
		if v, err := json.Marshal(m); err == nil {
			out.Members = append(out.Members, v)
		}
	}
	return out, nil
}

// FetchState reads the complete state that the peer knows.
func (c *Client) FetchState(ctx context.Context) (*pb.Beliefs, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetBeliefs(ctx, &pb.BeliefsRequest{}, allowLargeReply)
}
