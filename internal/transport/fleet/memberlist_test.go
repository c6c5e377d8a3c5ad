// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/members"
	"github.com/hookhall/hookhall/internal/coordination/quarantine"
	"github.com/hookhall/hookhall/internal/coordination/rollouts"
	pb "github.com/hookhall/hookhall/internal/protocol/fleetpb"
	"google.golang.org/grpc"
)

// listStore is a store with a list of gateways that does not change.
type listStore struct {
	hookhall.Store
	items []hookhall.Item
}

func (s *listStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.items, 1000, nil
}

func (s *listStore) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.Range(ctx, prefix)
}

func (s *listStore) Watch(ctx context.Context, _ string, since hookhall.Revision, _ time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	<-ctx.Done()
	return nil, since, ctx.Err()
}

func (s *listStore) Grant(context.Context, time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{Number: 1}, nil
}
func (s *listStore) Renew(context.Context, hookhall.Lease) error               { return nil }
func (s *listStore) Put(context.Context, string, []byte, hookhall.Lease) error { return nil }

// startGateway starts a gateway's server whose list of members is kept by store, and returns
// its broadcaster.
func startGateway(t *testing.T, name string, store hookhall.Store) (*Broadcaster, *members.Members) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	logger := log.New(io.Discard)
	m := members.New(hookhall.Member{Instance: name, Address: l.Addr().String(), RelativeCapacity: 1}, store, logger)
	b := &Broadcaster{Peers: m, Clients: NewClients(logger), Catalog: readyCatalog(t), Crashes: quarantine.New(nil, nil, nil, logger), Rollouts: &rollouts.Rollouts{}}
	s := grpc.NewServer()
	pb.RegisterFleetServer(s, &Server{Broadcaster: b})
	go func() { _ = s.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { s.Stop(); cancel(); <-done })
	return b, m
}

// TestCutOffGatewayFetchesList guards against a gateway that the store does not answer and that
// never learns of the other gateways' list: a leader's update, which lacks older changes, has
// to make it fetch the whole list, which may be large.
func TestCutOffGatewayFetchesList(t *testing.T) {
	store := &listStore{}
	for i := range 330 {
		o := hookhall.Member{ID: fmt.Sprint("gateway-", i), Instance: fmt.Sprint("gateway-", i), Hall: "hall-1", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), RelativeCapacity: 1}
		value, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		store.items = append(store.items, hookhall.Item{Key: "hookhall/gateways/" + o.Instance, Value: value, Revision: hookhall.Revision(i + 1)})
	}
	leader, leaderMembers := startGateway(t, "leader", store)
	cutOff, cutOffMembers := startGateway(t, "cut-off", silentStore{})
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not %s within 10 s", what)
			}
		}
	}
	waitFor("read by the leader", func() bool { return leaderMembers.Count() == 331 })
	waitFor("adopted", func() bool {
		leader.notifyLostPeer(cutOffMembers.Self().Address)
		return cutOffMembers.Count() == 331
	})
	later := time.Now().Add(time.Hour)
	for i := range 50 {
		key := fmt.Sprint("k", i)
		skip := map[string]bool{leaderMembers.Self().Address: true, cutOffMembers.Self().Address: true}
		if a, b := leaderMembers.Owner(key, skip, later).Address, cutOffMembers.Owner(key, skip, later).Address; a != b {
			t.Errorf("%s is owned by %s, and by %s at the cut-off gateway", key, a, b)
		}
	}
	packed, err := packBulk(nil, cutOff.Peers.CompleteList().Items)
	if err != nil || len(packed) > 26<<10 {
		t.Errorf("the list takes %d bytes, %v; want a second's share of control traffic, 26 KB, at most", len(packed), err)
	}
	t.Logf("the list of 330 gateways takes %d bytes", len(packed))
}

// TestRemovedAreNotifiedByLeader guards against removed gateways that keep their old list for
// longer than a second because the leader sends its update to others, and against a leader that
// sends more than 20 updates a second or a process that is no leader and sends any.
func TestRemovedAreNotifiedByLeader(t *testing.T) {
	run := func(removed int, isLeader bool) (sent map[string]int, longest time.Duration) {
		p := newFixedPeers(removed + 3)
		if isLeader {
			p.update.Revision = 7
		}
		n := &LostPeerNotifier{Broadcaster: &Broadcaster{Peers: p, Catalog: readyCatalog(t), Clients: NewClients(log.New(io.Discard))}, lastListed: map[string]time.Time{}, notifiedAt: map[string]time.Time{}}
		now := time.Now()
		n.lostAddresses(now)
		p.list = p.list[:3]
		sent, lastAt := map[string]int{}, map[string]time.Time{}
		begin := now
		for end := now.Add(10 * time.Second); now.Before(end); {
			now = now.Add(minRemovedPause)
			n.lostAddresses(now)
			if a := n.nextRemoved(now); a != "" {
				if at, ok := lastAt[a]; ok {
					longest = max(longest, now.Sub(at))
				} else {
					longest = max(longest, now.Sub(begin))
				}
				sent[a]++
				lastAt[a] = now
			}
		}
		return sent, longest
	}
	total := func(sent map[string]int) (sum int) {
		for _, n := range sent {
			sum += n
		}
		return sum
	}
	if sent, longest := run(20, true); len(sent) != 20 || longest > removedInterval || total(sent) > 200 {
		t.Errorf("%d of 20 were notified %d times in 10 s, with pauses of up to %s", len(sent), total(sent), longest)
	}
	if sent, longest := run(110, true); len(sent) != 110 || longest > 110*minRemovedPause || total(sent) > 200 {
		t.Errorf("%d of 110 were notified %d times in 10 s, with pauses of up to %s", len(sent), total(sent), longest)
	}
	if sent, _ := run(20, false); len(sent) != 0 {
		t.Errorf("a process that is no leader notified %d gateways", len(sent))
	}
}

// TestLeadersShareRemoved guards against two leaders that notify many removed gateways in the
// same order: the last of 80 would be sent its first update after 4 s, while owners may differ
// for 2 s.
func TestLeadersShareRemoved(t *testing.T) {
	for removed, limit := range map[int]time.Duration{80: 2 * time.Second, 110: 2750 * time.Millisecond} {
		now := time.Now()
		var leaders []*LostPeerNotifier
		for rank := range 2 {
			p := newFixedPeers(removed + 3)
			p.update.Revision = 7
			c := readyCatalog(t)
			c.ReaderRank = func() int { return rank }
			n := &LostPeerNotifier{Broadcaster: &Broadcaster{Peers: p, Catalog: c, Clients: NewClients(log.New(io.Discard))}, lastListed: map[string]time.Time{}, notifiedAt: map[string]time.Time{}}
			n.lostAddresses(now)
			p.list = p.list[:3]
			leaders = append(leaders, n)
		}
		sent := map[string]bool{}
		for after := minRemovedPause; after <= limit; after += minRemovedPause {
			for _, n := range leaders {
				n.lostAddresses(now.Add(after))
				if a := n.nextRemoved(now.Add(after)); a != "" {
					sent[a] = true
				}
			}
		}
		if len(sent) != removed {
			t.Errorf("%d of %d removed gateways were notified within %s", len(sent), removed, limit)
		}
	}
}
