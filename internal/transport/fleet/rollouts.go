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
	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Rollouts stores the rollouts that operators ordered.
type Rollouts interface {
	// Snapshot returns all known rollouts, with the store's revision at which they were read.
	Snapshot() rollouts.Snapshot
	// ApplySnapshot applies the rollouts that a peer knows; from names the peer in logs.
	ApplySnapshot(latest rollouts.Snapshot, from string)
	// MergeReport stores the counts that a process reported to this one, as the owner of the
	// rollouts, and returns the progress of these rollouts.
	MergeReport(r rollouts.Report) []rollouts.Progress
}

// Tally implements pb.FleetServer.
func (s *Server) Tally(_ context.Context, r *pb.RolloutReport) (*pb.RolloutReply, error) {
	report := rollouts.Report{Reporter: r.GetReporter()}
	for _, t := range r.GetTallies() {
		report.Tallies = append(report.Tallies, readTally(t))
	}
	return &pb.RolloutReply{Orders: wireRollouts(s.Broadcaster.Rollouts.MergeReport(report))}, nil
}

// Tally implements rollouts.Remote.
func (c *Client) Tally(ctx context.Context, r rollouts.Report) ([]rollouts.Progress, error) {
	if c.err != nil {
		return nil, errors.Wrap(rollouts.ErrNoAnswer, c.err.Error())
	}
	request := &pb.RolloutReport{Reporter: r.Reporter}
	for _, t := range r.Tallies {
		request.Tallies = append(request.Tallies, wireTally(t))
	}
	reply, err := c.rpc().Tally(ctx, request)
	c.checkAfterTimeout(err)
	switch status.Code(err) {
	case codes.OK:
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled: // closing a connection cancels its calls
		return nil, errors.Wrap(rollouts.ErrNoAnswer, err.Error())
	default:
		return nil, err
	}
	return readRollouts(reply.GetOrders()), nil
}

// wireRollouts converts rollouts for a message.
func wireRollouts(list []rollouts.Progress) []*pb.RolloutOrder {
	var out []*pb.RolloutOrder
	for _, p := range list {
		out = append(out, &pb.RolloutOrder{
			Service: p.Service, Version: p.Version, TimeMs: p.Time.Milliseconds(), Revision: uint64(p.Revision),
			AgeMs: p.Age.Milliseconds(), Phase: int32(p.Phase),
		})
	}
	return out
}

// readRollouts is the inverse of wireRollouts.
func readRollouts(list []*pb.RolloutOrder) []rollouts.Progress {
	var out []rollouts.Progress
	for _, o := range list {
		out = append(out, readRollout(o))
	}
	return out
}

// readRollout converts a rollout of a message. It limits the phase and the age to valid
// values.
func readRollout(o *pb.RolloutOrder) rollouts.Progress {
	return rollouts.Progress{
		Rollout: hookhall.Rollout{
			Service: o.GetService(), Version: o.GetVersion(), Time: milliseconds(o.GetTimeMs()), Revision: hookhall.Revision(o.GetRevision()),
		},
		Phase: min(max(rollout.Phase(o.GetPhase()), rollout.Unknown), rollout.RolledBack),
		Age:   max(milliseconds(o.GetAgeMs()), 0),
	}
}

// wireTally converts the counts of a process for a message.
func wireTally(t rollouts.Tally) *pb.RolloutTally {
	out := &pb.RolloutTally{Order: wireRollouts([]rollouts.Progress{t.Progress})[0], AtOld: int64(t.InFlightAtOld)}
	for route, v := range t.Evidence {
		out.Routes = append(out.Routes, &pb.RouteTally{Route: route, Old: wireVersion(v.Old), New: wireVersion(v.New)})
	}
	return out
}

// wireVersion converts the counts of one version on one route for a message.
func wireVersion(t rollout.Tally) *pb.VersionTally {
	return &pb.VersionTally{Answers: int64(t.Answers), Bad: int64(t.Bad), TookUs: t.Took.Microseconds()}
}

// readTally is the inverse of wireTally.
func readTally(t *pb.RolloutTally) rollouts.Tally {
	out := rollouts.Tally{Progress: readRollout(t.GetOrder()), InFlightAtOld: int(t.GetAtOld()), Evidence: rollout.Evidence{}}
	for _, v := range t.GetRoutes() {
		out.Evidence[v.GetRoute()] = rollout.Comparison{Old: readVersion(v.GetOld()), New: readVersion(v.GetNew())}
	}
	return out
}

// readVersion is the inverse of wireVersion.
func readVersion(t *pb.VersionTally) rollout.Tally {
	return rollout.Tally{Answers: int(t.GetAnswers()), Bad: int(t.GetBad()), Took: time.Duration(t.GetTookUs()) * time.Microsecond}
}
