// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/catalog"
	"github.com/hookhall/hookhall/internal/coordination/members"
)

// jsonPlatform is a platform whose tables are stored as JSON.
type jsonPlatform struct{}

func (jsonPlatform) OperatorPrefix() string { return "op/" }
func (jsonPlatform) RoutingKey() string     { return "op/table" }
func (jsonPlatform) TargetPrefix() string   { return "t/" }
func (jsonPlatform) EvacuatedHall(key string) (string, bool) {
	return strings.CutPrefix(key, "op/out/")
}
func (jsonPlatform) ReadRouting(b []byte) (*hookhall.Routing, error) {
	r := &hookhall.Routing{}
	return r, json.Unmarshal(b, r)
}
func (jsonPlatform) ReadTarget(key string, _ []byte) (hookhall.Target, error) {
	return hookhall.Target{ID: key[2:], Pool: "pool"}, nil
}

// silentStore is a store that is unavailable.
type silentStore struct{ hookhall.Store }

func (silentStore) RangeStale(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 0, hookhall.ErrUnavailable
}

func (silentStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 0, hookhall.ErrUnavailable
}

// fixedPeers is a list of gateways that only the test changes. The first is this process.
type fixedPeers struct {
	list   []hookhall.Member
	update members.Update // that of a leader, or empty
}

func newFixedPeers(n int) *fixedPeers {
	p := &fixedPeers{}
	for i := range n {
		p.list = append(p.list, hookhall.Member{Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return p
}

func (p *fixedPeers) Self() hookhall.Member                   { return p.list[0] }
func (p *fixedPeers) All() []hookhall.Member                  { return p.list }
func (p *fixedPeers) OutgoingUpdate(time.Time) members.Update { return p.update }
func (p *fixedPeers) ApplyUpdate(members.Update, time.Time)   {}
func (p *fixedPeers) NeedsList(members.Update) bool           { return false }
func (p *fixedPeers) CompleteList() members.CompleteList      { return members.CompleteList{} }
func (p *fixedPeers) AdoptList(members.CompleteList, string, time.Time) (bool, error) {
	return false, nil
}

func (silentStore) Grant(context.Context, time.Duration) (hookhall.Lease, error) {
	return hookhall.Lease{}, hookhall.ErrUnavailable
}

func newCatalog() *catalog.Catalog {
	return catalog.New(silentStore{}, jsonPlatform{}, log.New(io.Discard))
}

// catalogReading returns a reading of the targets with the given keys.
func catalogReading(keys ...string) catalog.Reading {
	r := catalog.Reading{Revision: 1, Began: time.Now()}
	for _, key := range keys {
		r.Items = append(r.Items, hookhall.Item{Key: key})
	}
	return r
}

// readyCatalog returns a catalog that has a table and a target.
func readyCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	c := newCatalog()
	b, err := json.Marshal(hookhall.Routing{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.ApplyTable(b, 1, "test", time.Now())
	c.ApplyReading(catalogReading("t/a"), "test")
	if !c.Ready() {
		t.Fatal("the catalog is not ready")
	}
	return c
}

// TestLostAddresses guards against gateways that stay without peers because nobody sends
// them updates, and against updates without need. Addresses count as lost for lostRetention
// after they left the list, or while the store does not answer.
func TestLostAddresses(t *testing.T) {
	newNotifier := func(p *fixedPeers, c *catalog.Catalog) *LostPeerNotifier {
		return &LostPeerNotifier{Broadcaster: &Broadcaster{Peers: p, Catalog: c, Clients: NewClients(log.New(io.Discard))}, lastListed: map[string]time.Time{}}
	}
	now := time.Now()
	t.Run("none while all are listed", func(t *testing.T) {
		if got := newNotifier(newFixedPeers(4), readyCatalog(t)).lostAddresses(now); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("one that left the list, for lostRetention", func(t *testing.T) {
		p := newFixedPeers(4)
		notifier := newNotifier(p, readyCatalog(t))
		notifier.lostAddresses(now)
		gone := p.list[3].Address
		p.list = p.list[:3]
		if got := notifier.lostAddresses(now.Add(time.Second)); !slices.Equal(got, []string{gone}) {
			t.Errorf("lost addresses %v, want %s", got, gone)
		}
		if got := notifier.lostAddresses(now.Add(lostRetention + time.Second)); len(got) != 0 {
			t.Errorf("%v after lostRetention", got)
		}
	})
	t.Run("none after one is listed again", func(t *testing.T) {
		p := newFixedPeers(4)
		notifier := newNotifier(p, readyCatalog(t))
		notifier.lostAddresses(now)
		all := p.list
		p.list = all[:3]
		notifier.lostAddresses(now.Add(time.Second))
		p.list = all
		if got := notifier.lostAddresses(now.Add(2 * time.Second)); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("none at a process without state", func(t *testing.T) {
		p := newFixedPeers(4)
		notifier := newNotifier(p, newCatalog())
		notifier.lostAddresses(now)
		p.list = p.list[:3]
		if got := notifier.lostAddresses(now.Add(time.Second)); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("all others while the store does not answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := readyCatalog(t)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { c.Run(ctx); close(done) }()
			time.Sleep(5 * time.Second)
			got := newNotifier(newFixedPeers(4), c).lostAddresses(time.Now())
			cancel()
			<-done
			slices.Sort(got)
			if want := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}; !slices.Equal(got, want) {
				t.Errorf("lost addresses %v, want %v", got, want)
			}
		})
	})
}
