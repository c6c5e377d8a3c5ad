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
	"google.golang.org/grpc"
)

// startServer starts a gateway's server, whose catalog has n targets as of a revision, and
// returns its broadcaster and address.
func startServer(t *testing.T, n int, revision hookhall.Revision) (*Broadcaster, string) {
	t.Helper()
	b := &Broadcaster{Peers: newFixedPeers(1), Clients: NewClients(log.New(io.Discard)), Catalog: readyCatalog(t), Crashes: quarantine.New(nil, nil, nil, log.New(io.Discard)), Rollouts: &rollouts.Rollouts{}}
	r := catalog.Reading{Revision: revision, Began: time.Now()}
	for i := range n {
		value := fmt.Sprintf(`{"service":"pool","address":"10.0.%d.%d:80","state":"ready"}`, i/250, i%250)
		r.Items = append(r.Items, hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte(value)})
	}
	b.Catalog.ApplyReading(r, "store")
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

// TestGapIsRepairedByPeer guards against a process that reads the store after each update
// that it missed. An update whose digest differs makes it read the targets of the sender,
// after which its list is complete.
func TestGapIsRepairedByPeer(t *testing.T) {
	sender, address := startServer(t, 3000, 11)
	other, _ := startServer(t, 2900, 10)
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
