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

// plainPlatform keeps tables as JSON.
type plainPlatform struct{}

func (plainPlatform) OperatorPrefix() string { return "op/" }
func (plainPlatform) RoutingKey() string     { return "op/table" }
func (plainPlatform) TargetPrefix() string   { return "t/" }
func (plainPlatform) EvacuatedHall(key string) (string, bool) {
	return strings.CutPrefix(key, "op/out/")
}
func (plainPlatform) ReadRouting(b []byte) (*hookhall.Routing, error) {
	r := &hookhall.Routing{}
	return r, json.Unmarshal(b, r)
}
func (plainPlatform) ReadTarget(key string, _ []byte) (hookhall.Target, error) {
	return hookhall.Target{ID: key[2:], Pool: "pool"}, nil
}

// silentStore answers nothing.
type silentStore struct{ hookhall.Store }

func (silentStore) RangeStale(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 0, hookhall.ErrUnavailable
}

func (silentStore) Range(context.Context, string) ([]hookhall.Item, hookhall.Revision, error) {
	return nil, 0, hookhall.ErrUnavailable
}

// fixedPeers is a list that the test changes; the first is this process.
type fixedPeers struct{ list []hookhall.Member }

func newPeers(n int) *fixedPeers {
	p := &fixedPeers{}
	for i := range n {
		p.list = append(p.list, hookhall.Member{Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return p
}

func (p *fixedPeers) Self() hookhall.Member             { return p.list[0] }
func (p *fixedPeers) All() []hookhall.Member            { return p.list }
func (p *fixedPeers) News(time.Time) members.News       { return members.News{} }
func (p *fixedPeers) LearnNews(members.News, time.Time) {}

func newCatalog() *catalog.Catalog {
	return catalog.New(silentStore{}, plainPlatform{}, log.New(io.Discard))
}

// readyCatalog has a table and a target.
func readyCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	c := newCatalog()
	b, err := json.Marshal(hookhall.Routing{Version: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.LearnTable(b, 1, "test", time.Now())
	c.Learn(catalog.Reading{Revision: 1, Items: []hookhall.Item{{Key: "t/a"}}, Began: time.Now()}, "test")
	if !c.Ready() {
		t.Fatal("the catalog is not ready")
	}
	return c
}

// TestLost: who is looked for, and until when.
func TestLost(t *testing.T) {
	inviter := func(p *fixedPeers, c *catalog.Catalog) *Inviter {
		return &Inviter{Broadcaster: &Broadcaster{Peers: p, Catalog: c}, listed: map[string]time.Time{}}
	}
	now := time.Now()
	t.Run("nobody in calm", func(t *testing.T) {
		if got := inviter(newPeers(4), readyCatalog(t)).lost(now); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("one that left the list, for a minute", func(t *testing.T) {
		p := newPeers(4)
		v := inviter(p, readyCatalog(t))
		v.lost(now)
		gone := p.list[3].Address
		p.list = p.list[:3]
		if got := v.lost(now.Add(time.Second)); !slices.Equal(got, []string{gone}) {
			t.Errorf("%v, not %s", got, gone)
		}
		if got := v.lost(now.Add(remember + time.Second)); len(got) != 0 {
			t.Errorf("%v after a minute", got)
		}
	})
	t.Run("one that came back is not looked for", func(t *testing.T) {
		p := newPeers(4)
		v := inviter(p, readyCatalog(t))
		v.lost(now)
		all := p.list
		p.list = all[:3]
		v.lost(now.Add(time.Second))
		p.list = all
		if got := v.lost(now.Add(2 * time.Second)); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("a process that knows nothing looks for nobody", func(t *testing.T) {
		p := newPeers(4)
		v := inviter(p, newCatalog())
		v.lost(now)
		p.list = p.list[:3]
		if got := v.lost(now.Add(time.Second)); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
	t.Run("all others while the store is silent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := readyCatalog(t)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { c.Run(ctx); close(done) }()
			time.Sleep(5 * time.Second)
			got := inviter(newPeers(4), c).lost(time.Now())
			cancel()
			<-done
			slices.Sort(got)
			if want := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"}; !slices.Equal(got, want) {
				t.Errorf("%v, not %v", got, want)
			}
		})
	})
}
