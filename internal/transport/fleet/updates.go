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
	// sendTimeout bounds a call that sends an update, crashes or advisories to one peer, with
	// sendTimePerByte for each byte of an update's changes: otherwise a weak peer counts as
	// unresponsive because it is sent much.
	sendTimeout     = 300 * time.Millisecond
	sendTimePerByte = 8 * time.Microsecond
	// maxSends is the number of peers to which a process sends one message, those in place of
	// unresponsive ones included. Without it, a process whose peers are all slow sends to the whole
	// fleet and is slow itself. Gateways that get no update ask for one.
	maxSends = 32
	// skipDuration is how long no calls are sent to a peer that did not answer. Its
	// children in the tree receive the calls directly.
	skipDuration = time.Second
	// tableFetchTimeout bounds reading the table of a peer.
	tableFetchTimeout = 3 * time.Second
	// fanOut is the number of peers to which each process forwards an update.
	fanOut = 4
)

// Peers is the list of gateways.
type Peers interface {
	// Self returns this process.
	Self() hookhall.Member
	// All returns all gateways, including this process, sorted by address.
	All() []hookhall.Member
	// OutgoingUpdate returns the recent changes of the list that this process read from
	// the store, or the zero value if another process reads the list.
	OutgoingUpdate(now time.Time) members.Update
	// ApplyUpdate applies the changes that a peer read.
	ApplyUpdate(n members.Update, now time.Time)
	// NeedsList reports whether this process lacks the list of the sender of an applied update
	// and can't read it from the store.
	NeedsList(n members.Update) bool
	// CompleteList returns the list that this process knows.
	CompleteList() members.CompleteList
	// AdoptList replaces the list by a newer one of a peer.
	AdoptList(list members.CompleteList, from string, now time.Time) (bool, error)
}

// Broadcaster forwards what this process or a peer has read from the store, so that
// one process reads for all. An update is sent along a tree whose root is the reader:
// each process sends it to fanOut others, by the receivers' positions after the reader
// in the sorted list of gateways. Processes with different lists may miss an update;
// they read the store themselves when their state is too old.
//
// The exported fields are set before the first call. All methods are safe for
// concurrent use.
type Broadcaster struct {
	Peers   Peers
	Clients *Clients
	Catalog *catalog.Catalog
	// Crashes stores the crashes of targets under requests.
	Crashes Crashes
	// Rollouts stores the rollouts that operators ordered.
	Rollouts Rollouts
	// Advisories stores the advisories of targets.
	Advisories Advisories
	// Bootstrapper fetches the state of a peer while this process has none; nil
	// disables that.
	Bootstrapper *Bootstrapper
	// OnUpdate is called for each update that is newer than the known state, with
	// the time at which the reader of the update began to read the store; nil
	// disables that.
	OnUpdate func(began time.Time)

	tablePull         pull         // of the table
	targetsPull       pull         // of the targets
	repairs           repairs      // of gaps in the targets
	bootstrapping     atomic.Bool  // whether the state of a peer is being fetched
	fetchingTable     atomic.Bool  // whether a table is being fetched
	fetchingMembers   atomic.Bool  // whether a list of members is being fetched
	unresponsiveSince sync.Map     // time.Time of the call that failed, by address
	comparing         atomic.Bool  // whether crashes are being compared with a peer's
	nextComparison    atomic.Int64 // earliest time of the next comparison, as clock.Stamp
}

// recentlyUnresponsive reports whether a peer did not answer within skipDuration before now.
func (s *Broadcaster) recentlyUnresponsive(address string, now time.Time) bool {
	at, ok := s.unresponsiveSince.Load(address)
	if ok && now.Sub(at.(time.Time)) > skipDuration {
		s.unresponsiveSince.Delete(address)
		return false
	}
	return ok
}

// Broadcast sends the current update to the peers below the root of the tree, without
// waiting for them.
func (s *Broadcaster) Broadcast() {
	now := clock.Now()
	s.relayUpdate(s.updateOf(s.Catalog.NextUpdate(now), now), now)
}

// currentUpdate returns the most recent update that this process knows, for a single peer.
func (s *Broadcaster) currentUpdate(now time.Time) *pb.News {
	return s.updateOf(s.Catalog.RecentUpdate(now), now)
}

// updateOf returns an update of the targets together with all else that this process knows.
func (s *Broadcaster) updateOf(targets catalog.Update, now time.Time) *pb.News {
	revision, age := s.Catalog.TableAge(now)
	m := &pb.News{
		Reader: s.Peers.Self().Address, TargetsRevision: uint64(targets.Revision), Digest: targets.Digest, Gone: targets.Gone,
		AgeMs: ageMS(now.Sub(targets.Began)), ConfigRevision: uint64(revision), ConfigAgeMs: ageMS(age),
	}
	halls := s.Catalog.Halls()
	m.HallsRevision, m.Evacuated = uint64(halls.Revision), halls.Evacuated
	m.EndsSum = s.Crashes.Checksum(now)
	snapshot := s.Rollouts.Snapshot()
	m.RolloutsRevision, m.Rollouts = uint64(snapshot.Revision), wireRollouts(snapshot.List)
	peers := s.Peers.OutgoingUpdate(now)
	m.MembersRevision, m.MembersDigest, m.MembersGone = uint64(peers.Revision), peers.Digest, peers.Gone
	var err error
	if m.Bulk, err = packBulk(targets.Changed, peers.Changed); err != nil {
		s.Clients.Log.Error("update not packed; peers have to read the store", "error", err.Error())
	}
	return m
}

// ageMS returns an age in milliseconds, rounded up, so that no receiver treats data as newer
// than it is.
func ageMS(d time.Duration) int64 { return d.Milliseconds() + 1 }

// relayUpdate forwards an update that was received at receivedAt to the peers below this
// process in the tree.
func (s *Broadcaster) relayUpdate(m *pb.News, receivedAt time.Time) {
	s.sendToSubtree(m.GetReader(), int(m.GetPosition()), func(address string, position int) bool {
		return s.sendUpdate(address, s.updateFor(m, receivedAt, position))
	})
}

// sendFunc sends a message to the peer at a position in the tree and reports whether it
// answered.
type sendFunc func(address string, position int) bool

// sendToSubtree sends to the peers below a position in the tree with a root, without
// waiting for them.
func (s *Broadcaster) sendToSubtree(root string, parent int, send sendFunc) {
	all := s.Peers.All()
	first := sort.Search(len(all), func(i int) bool { return all[i].Address >= root })
	var sends atomic.Int64
	s.sendToChildren(root, all, first, parent, func(address string, position int) bool {
		return sends.Add(1) > maxSends || send(address, position)
	})
}

// sendToChildren sends to the children of a position in the tree; first is the root's
// index in all. The children of a peer that does not answer are sent to directly.
func (s *Broadcaster) sendToChildren(root string, all []hookhall.Member, first, parent int, send sendFunc) {
	for i := range fanOut {
		position := parent*fanOut + i + 1
		if position >= len(all) {
			return
		}
		to := all[(first+position)%len(all)]
		if to.Address == root {
			continue
		}
		if to.Address == s.Peers.Self().Address || s.recentlyUnresponsive(to.Address, clock.Now()) {
			s.sendToChildren(root, all, first, position, send)
			continue
		}
		go func() {
			if !send(to.Address, position) {
				s.unresponsiveSince.Store(to.Address, clock.Now())
				s.sendToChildren(root, all, first, position, send)
			}
		}()
	}
}

// updateFor returns the update for a position in the tree. Its ages include the time
// since this process received it.
func (s *Broadcaster) updateFor(m *pb.News, receivedAt time.Time, position int) *pb.News {
	heldMS := ageMS(clock.Since(receivedAt))
	return &pb.News{
		Reader: m.GetReader(), From: s.Peers.Self().Address, Position: int32(position),
		ConfigRevision: m.GetConfigRevision(), ConfigAgeMs: m.GetConfigAgeMs() + heldMS,
		TargetsRevision: m.GetTargetsRevision(), AgeMs: m.GetAgeMs() + heldMS,
		Digest: m.GetDigest(), Bulk: m.GetBulk(), Gone: m.GetGone(),
		MembersRevision: m.GetMembersRevision(), MembersDigest: m.GetMembersDigest(), MembersGone: m.GetMembersGone(),
		HallsRevision: m.GetHallsRevision(), Evacuated: m.GetEvacuated(), EndsSum: m.GetEndsSum(),
		RolloutsRevision: m.GetRolloutsRevision(), Rollouts: m.GetRollouts(),
	}
}

// sendUpdate sends an update to one peer and reports whether it answered.
func (s *Broadcaster) sendUpdate(address string, m *pb.News) bool {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout+time.Duration(len(m.GetBulk()))*sendTimePerByte)
	defer cancel()
	return s.Clients.Client(address).SendUpdate(ctx, m) == nil
}

// HandleUpdate applies an update of a peer and forwards it if it was newer than the
// known state. A process without state fetches the sender's state instead.
func (s *Broadcaster) HandleUpdate(m *pb.News) {
	receivedAt := clock.Now()
	if s.Catalog.Snapshot() == nil {
		s.bootstrap(m)
		return
	}
	targets, changed, err := unpackBulk(m.GetBulk())
	if err != nil {
		s.Clients.Log.Error("peer update not readable", "peer", m.GetFrom(), "error", err.Error())
		return
	}
	peers := members.Update{
		Revision: hookhall.Revision(m.GetMembersRevision()), Digest: m.GetMembersDigest(), Changed: changed, Gone: m.GetMembersGone(),
	}
	s.Peers.ApplyUpdate(peers, receivedAt)
	if m.GetFrom() != "" && s.Peers.NeedsList(peers) {
		s.fetchMembers(m.GetFrom())
	}
	update := catalog.Update{
		Revision: hookhall.Revision(m.GetTargetsRevision()), Began: receivedAt.Add(-milliseconds(m.GetAgeMs())), Digest: m.GetDigest(),
		Changed: targets, Gone: m.GetGone(),
	}
	from := hostOf(m.GetReader())
	// The halls come before the table, so that a table isn't confirmed while the halls
	// of the same update are unknown.
	hallsChanged := m.GetHallsRevision() > 0 && s.Catalog.ApplyHalls(catalog.Halls{Revision: hookhall.Revision(m.GetHallsRevision()), Evacuated: m.GetEvacuated()}, from)
	s.Rollouts.ApplySnapshot(rollouts.Snapshot{Revision: hookhall.Revision(m.GetRolloutsRevision()), List: readRollouts(m.GetRollouts())}, from)
	s.compareCrashes(m, receivedAt)
	fresh, gap := s.Catalog.ApplyUpdate(update, from)
	if gap && m.GetFrom() != "" {
		s.repairTargets(m.GetFrom())
	}
	if fresh && s.OnUpdate != nil {
		s.OnUpdate(update.Began)
	}
	configRevision := hookhall.Revision(m.GetConfigRevision())
	if configRevision > 0 && !s.Catalog.ConfirmTable(configRevision, receivedAt.Add(-milliseconds(m.GetConfigAgeMs()))) {
		if s.fetchingTable.CompareAndSwap(false, true) {
			go s.fetchTable(proto.Clone(m).(*pb.News), receivedAt)
		}
		// Peers below this process are notified of the table once they can fetch it here.
		m = proto.Clone(m).(*pb.News)
		m.ConfigRevision, m.ConfigAgeMs = 0, 0
	}
	if fresh || hallsChanged {
		s.relayUpdate(m, receivedAt)
	}
}

// hostOf returns the host of an address, which is how logs name a peer.
func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// fetchTable reads the table from the sender of update m and then forwards m with it.
func (s *Broadcaster) fetchTable(m *pb.News, receivedAt time.Time) {
	defer s.fetchingTable.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), tableFetchTimeout)
	defer cancel()
	began := clock.Now()
	have, _ := s.Catalog.TableAge(began)
	t, err := s.Clients.Client(m.GetFrom()).FetchTable(ctx, have)
	if err != nil {
		return // the table comes from the store, or is fetched after the next update
	}
	if applyTable(s.Catalog, t, m.GetFrom(), began) {
		revision, age := s.Catalog.TableAge(clock.Now())
		m.ConfigRevision, m.ConfigAgeMs = uint64(revision), ageMS(age)
		m.AgeMs += ageMS(clock.Since(receivedAt))
		s.relayUpdate(m, clock.Now())
	}
}

// applyTable applies a table that a peer sent in answer to a call that began at a given time, and
// reports whether it is newer than the one in force. The table is as old as it is to the peer:
// otherwise an outdated table would count as the newest one.
func applyTable(c *catalog.Catalog, t *pb.Table, peer string, began time.Time) bool {
	revision, confirmed := hookhall.Revision(t.GetRevision()), began.Add(-milliseconds(t.GetAgeMs()))
	if len(t.GetPacked()) == 0 {
		c.ConfirmTable(revision, confirmed)
		return false
	}
	return c.ApplyPackedTable(t.GetPacked(), revision, hostOf(peer), confirmed)
}
