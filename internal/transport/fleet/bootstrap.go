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
	// patience is how long a start waits for the store before it asks peers.
	patience = 400 * time.Millisecond
	// askEvery is how often it asks the next one.
	askEvery = 200 * time.Millisecond
	askTime  = 2 * time.Second
)

// Meeter takes in members that a peer listed.
type Meeter interface {
	Meet(list []hookhall.Member)
}

// Starter lets a process start while the store is away: it asks the peers that
// its settings name for what they believe. Whatever they say counts with its age,
// and the store's word, once it can be had, takes its place.
type Starter struct {
	Clients *Clients
	Catalog *catalog.Catalog
	Members Meeter
	Ends    Ends
	// Advisories takes in what targets said in answers to peers.
	Advisories Advisories
	Log        *log.Logger
	// Began is when the process started.
	Began time.Time
}

// Run asks until the catalog is ready or ctx ends.
func (s *Starter) Run(ctx context.Context, seeds []string) {
	retry.Sleep(ctx, patience)
	for i := 0; len(seeds) > 0 && ctx.Err() == nil && !s.Catalog.Ready(); i++ {
		s.Ask(ctx, seeds[i%len(seeds)])
		retry.Sleep(ctx, askEvery)
	}
}

// Ask asks one peer, unless the store may still be expected to answer.
func (s *Starter) Ask(ctx context.Context, peer string) {
	if clock.Since(s.Began) < patience || s.Catalog.Ready() {
		return
	}
	if err := s.ask(ctx, peer); err != nil {
		s.Log.Info("A peer could not help with the start.", "peer", peer, "error", err.Error())
		return
	}
	s.Log.Info("A peer told what it believes.", "peer", peer)
}

func (s *Starter) ask(ctx context.Context, seed string) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	began := clock.Now()
	b, err := s.Clients.Client(seed).Beliefs(ctx)
	if err != nil {
		return err
	}
	if b.GetHallsRevision() > 0 {
		s.Catalog.LearnHalls(catalog.Halls{Revision: hookhall.Revision(b.GetHallsRevision()), Evacuated: b.GetEvacuated()}, instance(seed))
	}
	s.Ends.Learn(readEnds(b.GetEnds().GetEnds(), clock.Now()), instance(seed))
	s.Advisories.Merge(readAdvisories(b.GetAdvisories(), began), instance(seed))
	s.Catalog.LearnPacked(b.GetTable().GetPacked(), hookhall.Revision(b.GetTable().GetRevision()), instance(seed), began)
	r := catalog.Reading{Revision: hookhall.Revision(b.GetTargetsRevision()), Began: began.Add(-milliseconds(b.GetAgeMs()))}
	if r.Items, _, err = unpackBulk(b.GetTargets()); err != nil {
		return err
	}
	s.Catalog.Learn(r, instance(seed))
	s.Members.Meet(listed(b.GetMembers()))
	return nil
}

// listed reads members as they stand in the store.
func listed(values [][]byte) []hookhall.Member {
	var list []hookhall.Member
	for _, v := range values {
		var m hookhall.Member
		if json.Unmarshal(v, &m) == nil {
			list = append(list, m)
		}
	}
	return list
}

// GetBeliefs implements the service.
func (s *Server) GetBeliefs(context.Context, *pb.BeliefsRequest) (*pb.Beliefs, error) {
	b := s.Broadcaster
	packed, revision := b.Catalog.PackedTable()
	r := b.Catalog.Reading()
	if revision == 0 || r.Revision == 0 {
		return nil, errNothingYet
	}
	out := &pb.Beliefs{
		Table:           &pb.Table{Packed: packed, Revision: uint64(revision)},
		TargetsRevision: uint64(r.Revision), AgeMs: ageMS(clock.Since(r.Began)),
	}
	h := b.Catalog.Halls()
	out.HallsRevision, out.Evacuated = uint64(h.Revision), h.Evacuated
	out.Ends = &pb.Ends{Ends: wireEnds(b.Ends.All(), clock.Now())}
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

// Beliefs reads what the peer believes.
func (c *Client) Beliefs(ctx context.Context) (*pb.Beliefs, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetBeliefs(ctx, &pb.BeliefsRequest{}, largeReply)
}
