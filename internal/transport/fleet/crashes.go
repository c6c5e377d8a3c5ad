// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

const (
	// compareTime bounds reading all ends of a peer: 4,096 contents take some 400 KB.
	compareTime = time.Second
	// compareAgain is how long a process waits after a comparison that brought nothing:
	// two ledgers at their bound may differ for long.
	compareAgain = 5 * time.Second
)

// Ends is what a process knows of the ends of targets under requests.
type Ends interface {
	// Learn takes in what a peer told, and returns what was new.
	Learn(ends []crashes.End, from string) (fresh []crashes.End)
	// All lists all ends, and Sum sums them up, 0 for none.
	All() []crashes.End
	Sum(now time.Time) uint64
}

// Report tells all other gateways of ends that this process found, without waiting for
// them.
func (s *Broadcaster) Report(ends []crashes.End) {
	s.relayEnds(&pb.Ends{Reporter: s.Peers.Self().Address, Ends: wireEnds(ends, clock.Now())}, clock.Now())
}

// relayEnds passes ends on that came in at a time.
func (s *Broadcaster) relayEnds(m *pb.Ends, came time.Time) {
	s.spread(m.GetReporter(), int(m.GetPosition()), func(address string, position int) bool {
		own := &pb.Ends{Reporter: m.GetReporter(), Position: int32(position), Ends: older(m.GetEnds(), clock.Since(came))}
		return s.report(address, own)
	})
}

// report tells one peer, and whether it answered.
func (s *Broadcaster) report(address string, m *pb.Ends) bool {
	ctx, cancel := context.WithTimeout(context.Background(), shareTime)
	defer cancel()
	return s.Clients.Client(address).Report(ctx, m) == nil
}

// TakeEnds takes in what a peer reported, and passes it on if something was new.
func (s *Broadcaster) TakeEnds(m *pb.Ends) {
	came := clock.Now()
	if len(s.Ends.Learn(readEnds(m.GetEnds(), came), instance(m.GetReporter()))) > 0 && m.GetReporter() != "" {
		s.relayEnds(m, came)
	}
}

// compareEnds has the ends compared with those of a peer whose news sums them up
// differently.
func (s *Broadcaster) compareEnds(m *pb.News, now time.Time) {
	if m.GetFrom() == "" || m.GetEndsSum() == s.Ends.Sum(now) || clock.Stamp(now) < s.compareAt.Load() {
		return
	}
	if !s.comparing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.comparing.Store(false)
		if !s.exchange(m.GetFrom()) {
			s.compareAt.Store(clock.Stamp(clock.Now().Add(compareAgain)))
		}
	}()
}

// exchange reads all ends that a peer knows of, and tells it those that it lacks. It
// tells whether either learned anything.
func (s *Broadcaster) exchange(peer string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), compareTime)
	defer cancel()
	theirs, err := s.Clients.Client(peer).Ends(ctx)
	if err != nil {
		return true // the next news asks again
	}
	now := clock.Now()
	list := readEnds(theirs.GetEnds(), now)
	fresh := s.Ends.Learn(list, instance(peer))
	missing := lacking(s.Ends.All(), list)
	if len(missing) > 0 {
		s.report(peer, &pb.Ends{Ends: wireEnds(missing, now)})
	}
	return len(fresh)+len(missing) > 0
}

// lacking are those of own that are not in theirs, or not as cleared there.
func lacking(own, theirs []crashes.End) []crashes.End {
	type key struct {
		content crashes.Digest
		life    hookhall.Life
		cleared bool
	}
	known := map[key]bool{}
	for _, e := range theirs {
		known[key{e.Content, e.Life, e.Cleared}] = true
	}
	var list []crashes.End
	for _, e := range own {
		if !known[key{e.Content, e.Life, e.Cleared}] && !known[key{e.Content, e.Life, true}] {
			list = append(list, e)
		}
	}
	return list
}

// wireEnds are ends as they travel.
func wireEnds(ends []crashes.End, now time.Time) []*pb.End {
	list := make([]*pb.End, 0, len(ends))
	for _, e := range ends {
		list = append(list, &pb.End{
			Content: e.Content[:], Account: e.Account, Target: e.Life.ID, Born: e.Life.Born, Software: e.Software,
			Served: e.Served, Cleared: e.Cleared, AgeMs: ageMS(now.Sub(e.At)),
		})
	}
	return list
}

// readDigest reads a digest, the zero one from what is none.
func readDigest(b []byte) crashes.Digest {
	if len(b) != len(crashes.Digest{}) {
		return crashes.Digest{}
	}
	return crashes.Digest(b)
}

// readEnds reads ends that came in at a time. What is no digest is left out.
func readEnds(list []*pb.End, came time.Time) []crashes.End {
	var ends []crashes.End
	for _, e := range list {
		if len(e.GetContent()) != len(crashes.Digest{}) {
			continue
		}
		ends = append(ends, crashes.End{
			Content: crashes.Digest(e.GetContent()), Account: e.GetAccount(), Life: hookhall.Life{ID: e.GetTarget(), Born: e.GetBorn()},
			Software: e.GetSoftware(), Served: e.GetServed(), Cleared: e.GetCleared(), At: came.Add(-milliseconds(max(e.GetAgeMs(), 0))),
		})
	}
	return ends
}

// older are ends after a further time here.
func older(list []*pb.End, held time.Duration) []*pb.End {
	aged := make([]*pb.End, 0, len(list))
	for _, e := range list {
		aged = append(aged, &pb.End{
			Content: e.GetContent(), Account: e.GetAccount(), Target: e.GetTarget(), Born: e.GetBorn(), Software: e.GetSoftware(),
			Served: e.GetServed(), Cleared: e.GetCleared(), AgeMs: e.GetAgeMs() + ageMS(held),
		})
	}
	return aged
}

// Report implements the service.
func (s *Server) Report(_ context.Context, m *pb.Ends) (*pb.EndsReply, error) {
	s.Broadcaster.TakeEnds(m)
	return &pb.EndsReply{}, nil
}

// GetEnds implements the service.
func (s *Server) GetEnds(context.Context, *pb.EndsRequest) (*pb.Ends, error) {
	return &pb.Ends{Ends: wireEnds(s.Broadcaster.Ends.All(), clock.Now())}, nil
}

// Report tells the peer of ends.
func (c *Client) Report(ctx context.Context, m *pb.Ends) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Report(ctx, m)
	c.note(err)
	return err
}

// Ends reads all ends that the peer knows of.
func (c *Client) Ends(ctx context.Context) (*pb.Ends, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetEnds(ctx, &pb.EndsRequest{}, largeReply)
}
