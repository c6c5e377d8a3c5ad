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

// serving is a gateway's server with a catalog that has n targets as of a revision.
func serving(t *testing.T, n int, revision hookhall.Revision) (*Broadcaster, string) {
	t.Helper()
	b := &Broadcaster{Peers: newPeers(1), Clients: NewClients(log.New(io.Discard)), Catalog: readyCatalog(t), Ends: quarantine.New(nil, nil, nil, log.New(io.Discard)), Rollouts: &rollouts.Rollouts{}}
	r := catalog.Reading{Revision: revision, Began: time.Now()}
	for i := range n {
		value := fmt.Sprintf(`{"service":"pool","address":"10.0.%d.%d:80","state":"ready"}`, i/250, i%250)
		r.Items = append(r.Items, hookhall.Item{Key: fmt.Sprint("t/target-", i), Value: []byte(value)})
	}
	b.Catalog.Learn(r, "store")
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

// TestGapIsRepaired: a process that lacks earlier changes asks the one that told it,
// and has the whole list without a call of the store.
func TestGapIsRepaired(t *testing.T) {
	teller, address := serving(t, 3000, 11)
	other, _ := serving(t, 2900, 10)
	now := time.Now()
	m := teller.news(now)
	m.From, m.Bulk, m.ConfigRevision = address, nil, 0
	other.Take(m)
	want := teller.Catalog.Picture().Digest
	for end := now.Add(10 * time.Second); other.Catalog.Picture().Digest != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the gap stays")
		}
	}
	if n := len(other.Catalog.Reading().Items); n != 3000 {
		t.Errorf("%d targets are listed", n)
	}
}

// TestBulk: news of many targets is small on its way, and bytes that are none are an
// error.
func TestBulk(t *testing.T) {
	teller, _ := serving(t, 3000, 10)
	items := teller.Catalog.Reading().Items
	packed, err := packBulk(items, items[:1])
	if err != nil {
		t.Fatal(err)
	}
	targets, members, err := unpackBulk(packed)
	if err != nil || len(targets) != len(items) || len(members) != 1 {
		t.Fatalf("%d targets, %d members, %v", len(targets), len(members), err)
	}
	if len(packed) > 100<<10 {
		t.Errorf("%d bytes for %d targets", len(packed), len(items))
	}
	if _, _, err := unpackBulk([]byte("no bulk")); err == nil {
		t.Error("rubbish was taken for news")
	}
}
