// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/advisory"
	"github.com/hookhall/hookhall/internal/state/clock"
)

// Advisories stores the advisories of targets.
type Advisories interface {
	// Merge applies the reports of a peer, and returns those that are new; from names the
	// peer in logs.
	Merge(list []advisory.Report, from string) (fresh []advisory.Report)
	// All returns reports of all targets that are leaving, limited or brittle.
	All() []advisory.Report
}

// Advise sends reports to all other gateways, without waiting for them.
func (s *Broadcaster) Advise(list []advisory.Report) {
	s.relayAdvisories(s.Peers.Self().Address, 0, list)
}

// relayAdvisories sends reports to the peers below a position in the reporter's tree.
func (s *Broadcaster) relayAdvisories(reporter string, position int, list []advisory.Report) {
	s.sendToSubtree(reporter, position, func(address string, position int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		m := &pb.Advisories{Reporter: reporter, Position: int32(position), List: wireAdvisories(list, clock.Now())}
		return s.Clients.Client(address).Advise(ctx, m) == nil
	})
}

// wireAdvisories converts reports for a message that is sent at now.
func wireAdvisories(list []advisory.Report, now time.Time) []*pb.TargetAdvisory {
	out := make([]*pb.TargetAdvisory, 0, len(list))
	for _, r := range list {
		a := &pb.TargetAdvisory{
			Target: r.Target.ID, Born: r.Target.Start, Service: r.Target.Pool, Leaving: r.Leaving,
			Limited: r.Limit.Named, Limit: r.Limit.Rate, AgeMs: limitAgeMS(r.Limit, now),
		}
		if !r.Brittle.Heard.IsZero() {
			a.HasBrittle, a.Brittle, a.MaxRejections, a.BrittleAgeMs = true, r.Brittle.Named, r.Brittle.MaxRejections, ageMS(now.Sub(r.Brittle.Heard))
		}
		out = append(out, a)
	}
	return out
}

// unknownAgeMS is the age that is sent for a limit that no target has announced.
const unknownAgeMS = -1

// limitAgeMS returns the milliseconds since a limit or its end was announced, or
// unknownAgeMS.
func limitAgeMS(l advisory.Limit, now time.Time) int64 {
	if l.Heard.IsZero() {
		return unknownAgeMS
	}
	return ageMS(now.Sub(l.Heard))
}

// readAdvisories converts the reports of a message that was received at receivedAt. It
// raises negative limits to 0.
func readAdvisories(list []*pb.TargetAdvisory, receivedAt time.Time) []advisory.Report {
	out := make([]advisory.Report, 0, len(list))
	for _, a := range list {
		r := advisory.Report{Target: hookhall.Target{ID: a.GetTarget(), Start: a.GetBorn(), Pool: a.GetService()}, Leaving: a.GetLeaving()}
		if a.GetAgeMs() >= 0 {
			r.Limit = advisory.Limit{Named: a.GetLimited(), Rate: max(a.GetLimit(), 0), Heard: receivedAt.Add(-milliseconds(a.GetAgeMs()))}
		}
		if a.GetHasBrittle() {
			r.Brittle = advisory.Brittle{Named: a.GetBrittle(), MaxRejections: max(a.GetMaxRejections(), 0), Heard: receivedAt.Add(-milliseconds(a.GetBrittleAgeMs()))}
		}
		out = append(out, r)
	}
	return out
}

// Advise implements pb.FleetServer.
func (s *Server) Advise(_ context.Context, m *pb.Advisories) (*pb.AdvisoriesReply, error) {
	b := s.Broadcaster
	fresh := b.Advisories.Merge(readAdvisories(m.GetList(), clock.Now()), hostOf(m.GetReporter()))
	if len(fresh) > 0 {
		b.relayAdvisories(m.GetReporter(), int(m.GetPosition()), fresh)
	}
	return &pb.AdvisoriesReply{}, nil
}

// Advise sends advisories to the peer.
func (c *Client) Advise(ctx context.Context, m *pb.Advisories) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Advise(ctx, m)
	c.checkAfterTimeout(err)
	return err
}
