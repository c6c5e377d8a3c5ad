// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/quarantine"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// startServer starts a gateway's server, whose catalog has n targets as of a revision, and
// returns its broadcaster and address.
func startServer(t *testing.T, n int, revision hookhall.Revision) (*Broadcaster, string) {
	t.Helper()
	b := &Broadcaster{Peers: newFixedPeers(1), Clients: NewClients(log.New(io.Discard)), Catalog: readyCatalog(t), Crashes: quarantine.New(nil, nil, nil, log.New(io.Discard)), Rollouts: &rollouts.Rollouts{}}
	b.Catalog.ApplyReading(catalog.Reading{Revision: revision, Items: targetItems(0, n, 1), Began: time.Now()}, "store")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	pb.RegisterFleetServer(s, &Server{Broadcaster: b})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return b, l.Addr().String()
}

// targetItems returns n targets from a number on that were written at a revision.
func targetItems(from, n int, revision hookhall.Revision) []hookhall.Item {
	var items []hookhall.Item
	for i := from; i < from+n; i++ {
		value := fmt.Sprintf(`{"service":"pool","address":"10.0.%d.%d:80","state":"ready"}`, i/250, i%250)
		items = append(items, hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte(value), Revision: revision})
	}
	return items
}

// TestGapIsRepairedByPeer guards against a process that reads the store after each update
// that it missed. An update whose digest differs makes it read the targets of the sender,
// after which its list is complete.
func TestGapIsRepairedByPeer(t *testing.T) {
	repair := func(t *testing.T, sender, other *Broadcaster, address string) {
		t.Helper()
		now := time.Now()
		m := sender.currentUpdate(now)
		m.From, m.Bulk, m.ConfigRevision = address, nil, 0
		other.HandleUpdate(m)
		want := sender.Catalog.Snapshot().Digest
		for end := now.Add(10 * time.Second); other.Catalog.Snapshot().Digest != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the gap was not repaired within 10 s")
			}
		}
		if n := len(other.Catalog.Reading().Items); n != 3000 {
			t.Errorf("%d targets are listed, want 3000", n)
		}
	}
	t.Run("by a sender that knows the changes", func(t *testing.T) {
		sender, address := startServer(t, 2910, 10)
		other, _ := startServer(t, 2910, 10)
		removeTargets(t, sender, 11, 10, 100)
		repair(t, sender, other, address)
	})
	t.Run("by a sender that began after them", func(t *testing.T) {
		sender, address := startServer(t, 3000, 11)
		other, _ := startServer(t, 2900, 10)
		repair(t, sender, other, address)
	})
}

// TestBulk guards against updates that fill the slowest links: 3,000 targets must take at
// most 100 KB. Bytes that are no bulk must give an error.
func TestBulk(t *testing.T) {
	sender, _ := startServer(t, 3000, 10)
	items := sender.Catalog.Reading().Items
	packed, err := packBulk(items, items[:1])
	if err != nil {
		t.Fatal(err)
	}
	targets, members, err := unpackBulk(packed)
	if err != nil || len(targets) != len(items) || len(members) != 1 {
		t.Fatalf("%d targets, %d members, %v", len(targets), len(members), err)
	}
	if len(packed) > 100<<10 {
		t.Errorf("%d bytes for %d targets, want 100 KB at most", len(packed), len(items))
	}
	if _, _, err := unpackBulk([]byte("no bulk")); err == nil {
		t.Error("invalid bytes were accepted as a bulk")
	}
}

// removeTargets removes targets of a server at a revision, and adds others.
func removeTargets(t *testing.T, b *Broadcaster, revision hookhall.Revision, removed, added int) {
	t.Helper()
	r := b.Catalog.Reading()
	r.Revision, r.Began = revision, time.Now()
	r.Items = append(r.Items[removed:], targetItems(len(r.Items), added, revision)...)
	if !b.Catalog.ApplyReading(r, "store") {
		t.Fatal("the changes were not applied")
	}
}

// TestPullTargets guards against gateways that list all targets because no update reaches them,
// while a peer knows the few that changed.
func TestPullTargets(t *testing.T) {
	peer, address := startServer(t, 3000, 11)
	own, _ := startServer(t, 3000, 11)
	listPeers(own, address)
	removeTargets(t, peer, 12, 30, 20)
	repair, err := own.Clients.Client(address).FetchRepair(t.Context(), own.Catalog.RepairRequest())
	if err != nil || len(repair.Items) != 20 || len(repair.Gone) != 30 || repair.Since != 11 {
		t.Fatalf("%d targets and %d removed keys since %v, %v", len(repair.Items), len(repair.Gone), repair.Since, err)
	}
	own.PullTargets(t.Context())
	if own.Catalog.Snapshot().Digest != peer.Catalog.Snapshot().Digest || own.Catalog.Snapshot().Revision != 12 {
		t.Error("the lists differ")
	}
	if next, ok := own.targetsPull.next(own, time.Now()); !ok || next != address {
		t.Errorf("asks %q next", next)
	}
}

// TestRepairsPause guards against repairs that are asked for again with each update although the
// last one failed.
func TestRepairsPause(t *testing.T) {
	var r repairs
	now := time.Now()
	pause := time.Duration(0)
	for range 10 {
		r.record(false, now)
		pause = min(max(2*pause, minRepairPause), maxRepairPause)
		if r.isDue(now.Add(pause/2)) || !r.isDue(now.Add(2*pause)) {
			t.Fatalf("the pause is not %v", pause)
		}
	}
	r.record(true, now)
	if !r.isDue(now) {
		t.Error("a repair that succeeded is followed by a pause")
	}
}

// TestLargeRepairsAreLimited guards against a gateway that compresses all targets for many peers at
// the same time and does nothing else meanwhile.
func TestLargeRepairsAreLimited(t *testing.T) {
	peer, _ := startServer(t, 100, 11)
	server := &Server{Broadcaster: peer}
	ask := func() error {
		_, err := server.GetTargets(t.Context(), &pb.TargetsRequest{})
		return err
	}
	server.largeRepairs.Store(maxLargeRepairs)
	if err := ask(); !errors.Is(err, errBusy) {
		t.Errorf("beside %d others: %v", maxLargeRepairs, err)
	}
	server.largeRepairs.Store(maxLargeRepairs - 1)
	if err := ask(); err != nil {
		t.Error(err)
	}
	if n := server.largeRepairs.Load(); n != maxLargeRepairs-1 {
		t.Errorf("%d repairs count as running", n)
	}
}
