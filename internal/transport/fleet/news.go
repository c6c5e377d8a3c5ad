// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"sort"
	"strings"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
)

const (
	// shareTime bounds telling one peer.
	shareTime = 400 * time.Millisecond
	// fanOut is how many peers each process tells.
	fanOut = 4
)

// Peers lists the gateways, this one included, sorted by address.
type Peers interface {
	Self() hookhall.Member
	All() []hookhall.Member
}

// Spreader passes on what this process, or a peer, has read of the store, so
// that one process reads for all. News goes along a tree: the reader tells a few,
// and each of them a few more, by the receivers' places after the reader in the
// sorted list. Processes with different lists miss some; they read for
// themselves when what they know has grown old.
type Spreader struct {
	Peers   Peers
	Clients *Clients
	Catalog *catalog.Catalog
}

// Spread tells the first peers what this process has read, without waiting for
// them.
func (s *Spreader) Spread() {
	now := time.Now()
	n := s.Catalog.News(now)
	revision, age := s.Catalog.TableAge(now)
	m := &pb.News{
		Reader: s.Peers.Self().Address, TargetsRevision: n.Revision, Digest: n.Digest, Gone: n.Gone,
		AgeMs: milliage(now.Sub(n.Began)), ConfigRevision: revision, ConfigAgeMs: milliage(age),
	}
	for _, i := range n.Changed {
		m.Changed = append(m.Changed, &pb.TargetNews{Key: i.Key, Value: i.Value})
	}
	s.relay(m, now)
}

// milliage rounds an age up.
func milliage(d time.Duration) int64 { return d.Milliseconds() + 1 }

// relay passes news on that came in at a time.
func (s *Spreader) relay(m *pb.News, came time.Time) {
	all := s.Peers.All()
	reader := sort.Search(len(all), func(i int) bool { return all[i].Address >= m.GetReader() })
	for i := range fanOut {
		position := int(m.GetPosition())*fanOut + i + 1
		if position >= len(all) {
			return
		}
		to := all[(reader+position)%len(all)]
		if to.Address == s.Peers.Self().Address || to.Address == m.GetReader() {
			continue
		}
		held := milliage(time.Since(came)) // part of the age
		own := &pb.News{
			Reader: m.GetReader(), From: s.Peers.Self().Address, Position: int32(position),
			ConfigRevision: m.GetConfigRevision(), ConfigAgeMs: m.GetConfigAgeMs() + held,
			TargetsRevision: m.GetTargetsRevision(), AgeMs: m.GetAgeMs() + held,
			Digest: m.GetDigest(), Changed: m.GetChanged(), Gone: m.GetGone(),
		}
		go s.tell(to.Address, own)
	}
}

func (s *Spreader) tell(address string, n *pb.News) {
	ctx, cancel := context.WithTimeout(context.Background(), shareTime)
	defer cancel()
	_ = s.Clients.Client(address).Share(ctx, n) // who is not told reads
}

// Take takes news in and passes on what was new.
func (s *Spreader) Take(m *pb.News) {
	came := time.Now()
	n := catalog.News{
		Revision: m.GetTargetsRevision(), Began: came.Add(-milliseconds(m.GetAgeMs())), Digest: m.GetDigest(), Gone: m.GetGone(),
	}
	for _, t := range m.GetChanged() {
		n.Changed = append(n.Changed, hookhall.Item{Key: t.GetKey(), Value: t.GetValue()})
	}
	from := instance(m.GetReader())
	fresh := s.Catalog.LearnNews(n, from)
	had, _ := s.Catalog.TableAge(came)
	if !s.Catalog.ConfirmTable(m.GetConfigRevision(), came.Add(-milliseconds(m.GetConfigAgeMs()))) && m.GetConfigRevision() > 0 {
		go s.fetch(m.GetFrom(), m.GetConfigRevision())
	}
	if fresh || had < m.GetConfigRevision() {
		s.relay(m, came)
	}
}

// instance shortens an address for the log.
func instance(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// fetch gets a table from the peer that told of it, unless the store has brought
// it in the meantime.
func (s *Spreader) fetch(address string, revision uint64) {
	if have, _ := s.Catalog.TableAge(time.Now()); have >= revision {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shareTime)
	defer cancel()
	began := time.Now()
	t, err := s.Clients.Client(address).Table(ctx)
	if err != nil {
		return // the store, or the next news, will bring it
	}
	if s.Catalog.LearnTable(t.GetValue(), t.GetRevision(), instance(address), began) {
		s.Catalog.Read()
	}
}
