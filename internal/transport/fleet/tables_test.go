// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/state/advisory"
)

// setTable puts a table in force that was last known to be the newest an age ago.
func setTable(t *testing.T, b *Broadcaster, revision hookhall.Revision, age time.Duration) {
	t.Helper()
	value, err := json.Marshal(hookhall.Routing{Version: int64(revision)})
	if err != nil {
		t.Fatal(err)
	}
	if !b.Catalog.ApplyTable(value, revision, "test", time.Now().Add(-age)) {
		t.Fatal("the table is not in force")
	}
}

// expectTable waits for a table of a revision, and checks that it is as old as min to max.
func expectTable(t *testing.T, b *Broadcaster, revision hookhall.Revision, min, max time.Duration) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		have, age := b.Catalog.TableAge(time.Now())
		if have == revision {
			if age < min || age > max {
				t.Errorf("the table counts as confirmed %v ago, not %v to %v", age, min, max)
			}
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the table has revision %v after 10 s, not %v", have, revision)
		}
	}
}

// noAdvisories has no reports of targets.
type noAdvisories struct{}

func (noAdvisories) Merge([]advisory.Report, string) []advisory.Report { return nil }
func (noAdvisories) All() []advisory.Report                            { return nil }

// noMembers ignores the members that peers list.
type noMembers struct{}

func (noMembers) AddFromPeer([]hookhall.Member) {}

// TestTableKeepsItsAge guards against outdated tables that count as the newest ones because a peer
// sent them just now.
func TestTableKeepsItsAge(t *testing.T) {
	const age = time.Minute
	t.Run("a table that an update announces", func(t *testing.T) {
		peer, address := startServer(t, 1, 10)
		other, _ := startServer(t, 1, 10)
		setTable(t, peer, 5, age)
		m := peer.currentUpdate(time.Now())
		m.From = address
		other.HandleUpdate(m)
		expectTable(t, other, 5, age, age+10*time.Second)
	})
	t.Run("the state that a starting process fetches", func(t *testing.T) {
		peer, address := startServer(t, 1, 10)
		other, _ := startServer(t, 1, 10)
		peer.Advisories = noAdvisories{}
		setTable(t, peer, 5, age)
		s := &Bootstrapper{Clients: other.Clients, Catalog: other.Catalog, Crashes: other.Crashes, Advisories: noAdvisories{}, Members: noMembers{}, Log: other.Clients.Log}
		if err := s.fetchState(t.Context(), address); err != nil {
			t.Fatal(err)
		}
		expectTable(t, other, 5, age, age+10*time.Second)
	})
}

// listPeers makes a process list others at the given addresses.
func listPeers(b *Broadcaster, addresses ...string) {
	list := newFixedPeers(1)
	for _, a := range addresses {
		list.list = append(list.list, hookhall.Member{Address: a})
	}
	b.Peers = list
}

// TestPullTable guards against gateways that stay with an outdated table because no update is sent
// to them, and against one call after another to peers that know nothing newer.
func TestPullTable(t *testing.T) {
	t.Run("a newer table", func(t *testing.T) {
		peer, address := startServer(t, 1, 10)
		own, _ := startServer(t, 1, 10)
		listPeers(own, address)
		setTable(t, peer, 5, 200*time.Millisecond)
		own.PullTable(t.Context())
		expectTable(t, own, 5, 200*time.Millisecond, 5*time.Second)
	})
	t.Run("a confirmation of the same table", func(t *testing.T) {
		peer, address := startServer(t, 1, 10)
		own, _ := startServer(t, 1, 10)
		listPeers(own, address)
		setTable(t, peer, 5, 200*time.Millisecond)
		setTable(t, own, 5, time.Minute)
		own.PullTable(t.Context())
		expectTable(t, own, 5, 200*time.Millisecond, 5*time.Second)
	})
	t.Run("a peer with an outdated table, then one that does not answer, then none for a time", func(t *testing.T) {
		peer, address := startServer(t, 1, 10)
		own, _ := startServer(t, 1, 10)
		setTable(t, peer, 5, time.Minute)
		listPeers(own, address)
		own.PullTable(t.Context())
		expectTable(t, own, 5, time.Minute, time.Hour)
		if _, ok := own.tablePull.next(own, time.Now()); ok {
			t.Error("a peer is asked again at once")
		}
		later := time.Now().Add(2 * pullPause)
		if next, ok := own.tablePull.next(own, later); !ok || next != address {
			t.Errorf("asks %q after the pause", next)
		}
		own.unresponsiveSince.Store(address, later)
		own.tablePull.record(false, time.Now())
		if next, ok := own.tablePull.next(own, later); ok {
			t.Errorf("asks %q, which did not answer", next)
		}
	})
	t.Run("the peer that helped is asked again", func(t *testing.T) {
		var addresses []string
		for range 8 {
			peer, address := startServer(t, 1, 10)
			setTable(t, peer, 5, 0)
			addresses = append(addresses, address)
		}
		own, _ := startServer(t, 1, 10)
		listPeers(own, addresses...)
		own.PullTable(t.Context())
		first, _ := own.tablePull.next(own, time.Now())
		for range 20 {
			own.PullTable(t.Context())
			if next, _ := own.tablePull.next(own, time.Now()); next != first {
				t.Fatalf("asks %q after %q", next, first)
			}
		}
	})
	t.Run("without other gateways", func(t *testing.T) {
		own, _ := startServer(t, 1, 10)
		own.PullTable(t.Context())
		expectTable(t, own, 1, 0, 10*time.Second)
	})
}
