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
	// compareTimeout bounds reading all crashes of a peer. 4,096 contents take some 400 KB.
	compareTimeout = time.Second
	// comparePause is the pause after a comparison that changed neither side. Two full
	// ledgers may differ for long, and would otherwise be compared at every update.
	comparePause = 5 * time.Second
)

// Crashes stores the crashes of targets under requests.
type Crashes interface {
	// Merge adds the crashes that a peer reported and returns those that were new; from
	// names the peer in logs.
	Merge(list []crashes.Crash, from string) (fresh []crashes.Crash)
	// All returns all crashes.
	All() []crashes.Crash
	// Checksum returns a checksum of all crashes, 0 for none.
	Checksum(now time.Time) uint64
}

// ReportCrashes sends crashes that this process found to all other gateways, without
// waiting for them.
func (s *Broadcaster) ReportCrashes(list []crashes.Crash) {
	s.relayCrashes(&pb.Ends{Reporter: s.Peers.Self().Address, Ends: wireCrashes(list, clock.Now())}, clock.Now())
}

// relayCrashes sends crashes that were received at receivedAt to the peers below this
// process in the tree.
func (s *Broadcaster) relayCrashes(m *pb.Ends, receivedAt time.Time) {
	s.sendToSubtree(m.GetReporter(), int(m.GetPosition()), func(address string, position int) bool {
		own := &pb.Ends{Reporter: m.GetReporter(), Position: int32(position), Ends: addAge(m.GetEnds(), clock.Since(receivedAt))}
		return s.sendCrashes(address, own)
	})
}

// sendCrashes sends crashes to one peer and reports whether it answered.
func (s *Broadcaster) sendCrashes(address string, m *pb.Ends) bool {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return s.Clients.Client(address).SendCrashes(ctx, m) == nil
}

// HandleCrashes adds the crashes that a peer reported and forwards the message if any
// was new. It does not forward the result of a comparison, which has no reporter.
func (s *Broadcaster) HandleCrashes(m *pb.Ends) {
	receivedAt := clock.Now()
	if len(s.Crashes.Merge(readCrashes(m.GetEnds(), receivedAt), hostOf(m.GetReporter()))) > 0 && m.GetReporter() != "" {
		s.relayCrashes(m, receivedAt)
	}
}

// compareCrashes starts a comparison with the sender of update m if the checksums of their
// crashes differ. Only one comparison runs at a time.
func (s *Broadcaster) compareCrashes(m *pb.News, now time.Time) {
	if m.GetFrom() == "" || m.GetEndsSum() == s.Crashes.Checksum(now) || clock.Stamp(now) < s.nextComparison.Load() {
		return
	}
	if !s.comparing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.comparing.Store(false)
		if !s.exchangeCrashes(m.GetFrom()) {
			s.nextComparison.Store(clock.Stamp(clock.Now().Add(comparePause)))
		}
	}()
}

// exchangeCrashes reads all crashes that a peer knows and sends it those that it lacks. It
// reports whether either side got new ones, or the call failed.
func (s *Broadcaster) exchangeCrashes(peer string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), compareTimeout)
	defer cancel()
	theirs, err := s.Clients.Client(peer).FetchCrashes(ctx)
	if err != nil {
		return true // the next update starts another comparison
	}
	now := clock.Now()
	list := readCrashes(theirs.GetEnds(), now)
	fresh := s.Crashes.Merge(list, hostOf(peer))
	missing := missingFrom(s.Crashes.All(), list)
	if len(missing) > 0 {
		s.sendCrashes(peer, &pb.Ends{Ends: wireCrashes(missing, now)})
	}
	return len(fresh)+len(missing) > 0
}

// missingFrom returns the crashes of own that are not in theirs, and those that only own knows to be
// cleared or of a recently served content.
func missingFrom(own, theirs []crashes.Crash) []crashes.Crash {
	type key struct {
		content     crashes.Digest
		incarnation hookhall.Incarnation
		account     string
	}
	known := map[key]crashes.Crash{}
	for _, crash := range theirs {
		known[key{crash.Content, crash.Incarnation, crash.Account}] = crash
	}
	var missing []crashes.Crash
	for _, crash := range own {
		their, isKnown := known[key{crash.Content, crash.Incarnation, crash.Account}]
		if !isKnown || (crash.Cleared && !their.Cleared) || (crash.RecentlyServed && !their.RecentlyServed) {
			missing = append(missing, crash)
		}
	}
	return missing
}

// wireCrashes converts crashes for a message that is sent at now.
func wireCrashes(list []crashes.Crash, now time.Time) []*pb.End {
	out := make([]*pb.End, 0, len(list))
	for _, e := range list {
		out = append(out, &pb.End{
			Content: e.Content[:], Part: e.Part, Account: e.Account, Target: e.Incarnation.ID, Born: e.Incarnation.Start, Software: e.Software,
			Served: e.RecentlyServed, Cleared: e.Cleared, AgeMs: ageMS(now.Sub(e.ReportedAt)),
		})
	}
	return out
}

// readDigest converts a digest of a message. It returns the zero digest for a wrong
// length.
func readDigest(b []byte) crashes.Digest {
	if len(b) != len(crashes.Digest{}) {
		return crashes.Digest{}
	}
	return crashes.Digest(b)
}

// readCrashes converts the crashes of a message that was received at receivedAt. It omits
// those whose digest has a wrong length, and treats negative ages as 0.
func readCrashes(list []*pb.End, receivedAt time.Time) []crashes.Crash {
	var out []crashes.Crash
	for _, e := range list {
		if len(e.GetContent()) != len(crashes.Digest{}) {
			continue
		}
		out = append(out, crashes.Crash{
			Content: crashes.Digest(e.GetContent()), Part: e.GetPart(), Account: e.GetAccount(), Incarnation: hookhall.Incarnation{ID: e.GetTarget(), Start: e.GetBorn()},
			Software: e.GetSoftware(), RecentlyServed: e.GetServed(), Cleared: e.GetCleared(), ReportedAt: receivedAt.Add(-milliseconds(max(e.GetAgeMs(), 0))),
		})
	}
	return out
}

// addAge returns copies of crashes whose ages include the time that this process held them.
func addAge(list []*pb.End, heldFor time.Duration) []*pb.End {
	aged := make([]*pb.End, 0, len(list))
	for _, e := range list {
		aged = append(aged, &pb.End{
			Content: e.GetContent(), Part: e.GetPart(), Account: e.GetAccount(), Target: e.GetTarget(), Born: e.GetBorn(), Software: e.GetSoftware(),
			Served: e.GetServed(), Cleared: e.GetCleared(), AgeMs: e.GetAgeMs() + ageMS(heldFor),
		})
	}
	return aged
}

// Report implements pb.FleetServer.
func (s *Server) Report(_ context.Context, m *pb.Ends) (*pb.EndsReply, error) {
	s.Broadcaster.HandleCrashes(m)
	return &pb.EndsReply{}, nil
}

// GetEnds implements pb.FleetServer.
func (s *Server) GetEnds(context.Context, *pb.EndsRequest) (*pb.Ends, error) {
	return &pb.Ends{Ends: wireCrashes(s.Broadcaster.Crashes.All(), clock.Now())}, nil
}

// SendCrashes sends crashes to the peer.
func (c *Client) SendCrashes(ctx context.Context, m *pb.Ends) error {
	if c.err != nil {
		return c.err
	}
	_, err := c.rpc().Report(ctx, m)
	c.checkAfterTimeout(err)
	return err
}

// FetchCrashes reads all crashes that the peer knows.
func (c *Client) FetchCrashes(ctx context.Context) (*pb.Ends, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.rpc().GetEnds(ctx, &pb.EndsRequest{}, allowLargeReply)
}
