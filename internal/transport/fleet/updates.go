// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/hookhall/hookhall/internal/state/clock"
	"google.golang.org/protobuf/proto"
)

const (
	// shareTime bounds telling one peer.
	shareTime = 300 * time.Millisecond
	// skipTime is how long a peer that did not answer is passed over.
	skipTime = time.Second
	// fetchTime bounds getting a table from a peer.
	fetchTime = 3 * time.Second
	// fanOut is how many peers each process tells.
	fanOut = 4
)

// Peers lists the gateways, this one included, sorted by address.
type Peers interface {
	Self() hookhall.Member
	All() []hookhall.Member
	News(now time.Time) members.News
	LearnNews(n members.News, now time.Time)
}

// Broadcaster passes on what this process, or a peer, has read of the store, so
// that one process reads for all. News goes along a tree: the reader tells a few,
// and each of them a few more, by the receivers' places after the reader in the
// sorted list. Processes with different lists miss some; they read for
// themselves when what they know has grown old.
type Broadcaster struct {
	Peers   Peers
	Clients *Clients
	Catalog *catalog.Catalog
	// Ends knows which targets ended while they ran a request.
	Ends Ends
	// Rollouts knows the operators' orders to move services.
	Rollouts Rollouts
	// Advisories knows what targets said in answers.
	Advisories Advisories
	// Start asks a peer while this process knows nothing; nil never does.
	Start *Starter
	// Heard is told when a call of the store began that somebody had an answer to;
	// nil when nobody asks.
	Heard func(began time.Time)

	repairing atomic.Bool  // a gap is being repaired
	starting  atomic.Bool  // a peer is being asked for all that it believes
	fetching  atomic.Bool  // a table is being fetched
	silent    sync.Map     // address to when the peer did not answer
	comparing atomic.Bool  // the ends are being compared with a peer's
	compareAt atomic.Int64 // no comparison before, as clock.Stamp
}

// skipped tells whether a peer did not answer a moment ago.
func (s *Broadcaster) skipped(address string, now time.Time) bool {
	at, ok := s.silent.Load(address)
	if ok && now.Sub(at.(time.Time)) > skipTime {
		s.silent.Delete(address)
		return false
	}
	return ok
}

// Broadcast tells the first peers what this process has read, without waiting for
// them.
func (s *Broadcaster) Broadcast() {
	now := clock.Now()
	s.relay(s.news(now), now)
}

// news is what this process last learned.
func (s *Broadcaster) news(now time.Time) *pb.News {
	n := s.Catalog.News(now)
	revision, age := s.Catalog.TableAge(now)
	m := &pb.News{
		Reader: s.Peers.Self().Address, TargetsRevision: uint64(n.Revision), Digest: n.Digest, Gone: n.Gone,
		AgeMs: ageMS(now.Sub(n.Began)), ConfigRevision: uint64(revision), ConfigAgeMs: ageMS(age),
	}
	h := s.Catalog.Halls()
	m.HallsRevision, m.Evacuated = uint64(h.Revision), h.Evacuated
	m.EndsSum = s.Ends.Sum(now)
	o := s.Rollouts.Orders()
	m.RolloutsRevision, m.Rollouts = uint64(o.Revision), wireOrders(o.List)
	p := s.Peers.News(now)
	m.MembersRevision, m.MembersDigest, m.MembersGone = uint64(p.Revision), p.Digest, p.Gone
	var err error
	if m.Bulk, err = packBulk(n.Changed, p.Changed); err != nil {
		s.Clients.Log.Error("News can't be packed; who lacks it reads for itself.", "error", err.Error())
	}
	return m
}

// ageMS rounds an age up.
func ageMS(d time.Duration) int64 { return d.Milliseconds() + 1 }

// relay passes news on that came in at a time.
func (s *Broadcaster) relay(m *pb.News, came time.Time) {
	s.spread(m.GetReader(), int(m.GetPosition()), func(address string, position int) bool {
		return s.tell(address, s.copyFor(m, came, position))
	})
}

// teller tells one peer, whose place in the tree is given, and whether it answered.
type teller func(address string, position int) bool

// spread tells those that come after a place in the tree that a process began.
func (s *Broadcaster) spread(root string, place int, tell teller) {
	all := s.Peers.All()
	first := sort.Search(len(all), func(i int) bool { return all[i].Address >= root })
	s.children(root, all, first, place, tell)
}

// children tells those that come after a place in the tree. Those after a peer
// that does not answer are told in its stead.
func (s *Broadcaster) children(root string, all []hookhall.Member, first, place int, tell teller) {
	for i := range fanOut {
		position := place*fanOut + i + 1
		if position >= len(all) {
			return
		}
		to := all[(first+position)%len(all)]
		if to.Address == root {
			continue
		}
		if to.Address == s.Peers.Self().Address || s.skipped(to.Address, clock.Now()) {
			s.children(root, all, first, position, tell)
			continue
		}
		go func() {
			if !tell(to.Address, position) {
				s.silent.Store(to.Address, clock.Now())
				s.children(root, all, first, position, tell)
			}
		}()
	}
}

// copyFor makes the news for a place in the tree; the time that it was held here
// is part of its ages.
func (s *Broadcaster) copyFor(m *pb.News, came time.Time, position int) *pb.News {
	held := ageMS(clock.Since(came))
	return &pb.News{
		Reader: m.GetReader(), From: s.Peers.Self().Address, Position: int32(position),
		ConfigRevision: m.GetConfigRevision(), ConfigAgeMs: m.GetConfigAgeMs() + held,
		TargetsRevision: m.GetTargetsRevision(), AgeMs: m.GetAgeMs() + held,
		Digest: m.GetDigest(), Bulk: m.GetBulk(), Gone: m.GetGone(),
		MembersRevision: m.GetMembersRevision(), MembersDigest: m.GetMembersDigest(), MembersGone: m.GetMembersGone(),
		HallsRevision: m.GetHallsRevision(), Evacuated: m.GetEvacuated(), EndsSum: m.GetEndsSum(),
		RolloutsRevision: m.GetRolloutsRevision(), Rollouts: m.GetRollouts(),
	}
}

// tell tells one peer, and whether it answered.
func (s *Broadcaster) tell(address string, n *pb.News) bool {
	ctx, cancel := context.WithTimeout(context.Background(), shareTime)
	defer cancel()
	return s.Clients.Client(address).Share(ctx, n) == nil
}

// Take takes news in and passes on what was new.
func (s *Broadcaster) Take(m *pb.News) {
	came := clock.Now()
	if s.Catalog.Picture() == nil {
		s.start(m)
		return
	}
	targets, changed, err := unpackBulk(m.GetBulk())
	if err != nil {
		s.Clients.Log.Error("A peer's news can't be unpacked.", "peer", m.GetFrom(), "error", err.Error())
		return
	}
	s.Peers.LearnNews(members.News{
		Revision: hookhall.Revision(m.GetMembersRevision()), Digest: m.GetMembersDigest(), Changed: changed, Gone: m.GetMembersGone(),
	}, came)
	n := catalog.News{
		Revision: hookhall.Revision(m.GetTargetsRevision()), Began: came.Add(-milliseconds(m.GetAgeMs())), Digest: m.GetDigest(),
		Changed: targets, Gone: m.GetGone(),
	}
	from := instance(m.GetReader())
	// Before the table, which is confirmed by the same news.
	hallsChanged := m.GetHallsRevision() > 0 && s.Catalog.LearnHalls(catalog.Halls{Revision: hookhall.Revision(m.GetHallsRevision()), Evacuated: m.GetEvacuated()}, from)
	s.Rollouts.Learn(rollouts.Orders{Revision: hookhall.Revision(m.GetRolloutsRevision()), List: readOrders(m.GetRollouts())}, from)
	s.compareEnds(m, came)
	fresh, gap := s.Catalog.LearnNews(n, from)
	if gap && m.GetFrom() != "" {
		s.repair(m.GetFrom())
	}
	if fresh && s.Heard != nil {
		s.Heard(n.Began)
	}
	told := hookhall.Revision(m.GetConfigRevision())
	if told > 0 && !s.Catalog.ConfirmTable(told, came.Add(-milliseconds(m.GetConfigAgeMs()))) {
		if s.fetching.CompareAndSwap(false, true) {
			go s.fetch(proto.Clone(m).(*pb.News), came)
		}
		// Those further along are told of the table once it can be had here.
		m = proto.Clone(m).(*pb.News)
		m.ConfigRevision, m.ConfigAgeMs = 0, 0
	}
	if fresh || hallsChanged {
		s.relay(m, came)
	}
}

// instance shortens an address for the log.
func instance(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// fetch gets a table from the peer that told of it, and tells those further along.
func (s *Broadcaster) fetch(m *pb.News, came time.Time) {
	defer s.fetching.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
	began := clock.Now()
	t, err := s.Clients.Client(m.GetFrom()).Table(ctx)
	if err != nil {
		return // the store, or the next news, will bring it
	}
	if s.Catalog.LearnPacked(t.GetPacked(), hookhall.Revision(t.GetRevision()), instance(m.GetFrom()), began) {
		revision, age := s.Catalog.TableAge(clock.Now())
		m.ConfigRevision, m.ConfigAgeMs = uint64(revision), ageMS(age)
		m.AgeMs += ageMS(clock.Since(came))
		s.relay(m, clock.Now())
	}
}
