// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/rollout"
)

// Rollouts stores the rollouts that operators ordered.
type Rollouts interface {
	// Snapshot returns all known orders, with the store's revision at which they were read.
	Snapshot() rollouts.Snapshot
	// ApplySnapshot applies the orders that a peer knows; from names the peer in logs.
	ApplySnapshot(o rollouts.Snapshot, from string)
	// MergeReport adds the counts of a process, at the owner of the rollouts, and returns the
	// state of the rollouts that they are for.
	MergeReport(r rollouts.Report) []rollouts.Progress
}

// Tally implements pb.FleetServer.
func (s *Server) Tally(_ context.Context, r *pb.RolloutReport) (*pb.RolloutReply, error) {
	report := rollouts.Report{Reporter: r.GetReporter()}
	for _, t := range r.GetTallies() {
		report.Tallies = append(report.Tallies, readTally(t))
	}
	return &pb.RolloutReply{Orders: wireOrders(s.Broadcaster.Rollouts.MergeReport(report))}, nil
}

// Tally implements rollouts.Remote.
func (c *Client) Tally(ctx context.Context, r rollouts.Report) ([]rollouts.Progress, error) {
	if c.err != nil {
		return nil, c.err
	}
	request := &pb.RolloutReport{Reporter: r.Reporter}
	for _, t := range r.Tallies {
		request.Tallies = append(request.Tallies, wireTally(t))
	}
	reply, err := c.rpc().Tally(ctx, request)
	c.checkAfterTimeout(err)
	if err != nil {
		return nil, err
	}
	return readOrders(reply.GetOrders()), nil
}

// wireOrders converts orders for a message.
func wireOrders(list []rollouts.Progress) []*pb.RolloutOrder {
	var out []*pb.RolloutOrder
	for _, s := range list {
		out = append(out, &pb.RolloutOrder{
			Service: s.Service, Version: s.Version, TimeMs: s.Time.Milliseconds(), Revision: uint64(s.Revision),
			AgeMs: s.Age.Milliseconds(), Phase: int32(s.Phase),
		})
	}
	return out
}

func readOrders(list []*pb.RolloutOrder) []rollouts.Progress {
	var out []rollouts.Progress
	for _, o := range list {
		out = append(out, readOrder(o))
	}
	return out
}

// readOrder converts an order of a message. It limits the phase and the age to valid
// values.
func readOrder(o *pb.RolloutOrder) rollouts.Progress {
	return rollouts.Progress{
		Rollout: hookhall.Rollout{
			Service: o.GetService(), Version: o.GetVersion(), Time: milliseconds(o.GetTimeMs()), Revision: hookhall.Revision(o.GetRevision()),
		},
		Phase: min(max(rollout.Phase(o.GetPhase()), rollout.Unknown), rollout.RolledBack),
		Age:   max(milliseconds(o.GetAgeMs()), 0),
	}
}

// wireTally converts a tally for a message.
func wireTally(t rollouts.Tally) *pb.RolloutTally {
	out := &pb.RolloutTally{Order: wireOrders([]rollouts.Progress{t.Progress})[0], AtOld: int64(t.InFlightAtOld)}
	for route, v := range t.Evidence {
		out.Routes = append(out.Routes, &pb.RouteTally{Route: route, Old: wireVersion(v.Old), New: wireVersion(v.New)})
	}
	return out
}

func wireVersion(t rollout.Tally) *pb.VersionTally {
	return &pb.VersionTally{Answers: int64(t.Answers), Bad: int64(t.Bad), TookUs: t.Took.Microseconds()}
}

// readTally is the inverse of wireTally.
func readTally(t *pb.RolloutTally) rollouts.Tally {
	out := rollouts.Tally{Progress: readOrder(t.GetOrder()), InFlightAtOld: int(t.GetAtOld()), Evidence: rollout.Evidence{}}
	for _, v := range t.GetRoutes() {
		out.Evidence[v.GetRoute()] = rollout.Comparison{Old: readVersion(v.GetOld()), New: readVersion(v.GetNew())}
	}
	return out
}

func readVersion(t *pb.VersionTally) rollout.Tally {
	return rollout.Tally{Answers: int(t.GetAnswers()), Bad: int(t.GetBad()), Took: time.Duration(t.GetTookUs()) * time.Microsecond}
}
