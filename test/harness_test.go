// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package test has the integration tests: real entry and admin processes,
// stand-ins of platform and targets, and fault-injecting proxies before each
// entry's peers' port and before each entry's way to the platform.
package test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/entry"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/transport/keyvalue"
	"github.com/hookhall/hookhall/internal/transport/peers"
	"github.com/rs/zerolog"
)

const (
	secret  = "the-fleet-secret"
	token   = "the-operator-token"
	patient = 20 * time.Second
	tick    = 10 * time.Millisecond
)

// binaries is where TestMain has built the programs.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hookhall")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/hookhall-entry", "../cmd/hookhall-admin", "../cmd/hookhallctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// options are what a test asks of its cluster.
type options struct {
	entries   int
	profile   load.Profile
	retention int // seconds
	notice    int // milliseconds
	settings  string
	lag       time.Duration
	pools     map[string]standin.TargetSettings
	count     int // targets a pool
	edits     []hookhall.Edit
}

// cluster is a running fleet.
type cluster struct {
	t       *testing.T
	o       options
	kv      *standin.KeyValue
	list    *standin.Instances
	kvAt    string
	listAt  string
	targets map[string]*standin.Target
	servers map[string]*standin.Server
	entries []*process
	client  *load.Client
	editor  *tables.Editor
	proxies *toxiproxy.ApiServer
	dir     string
}

func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.entries == 0 {
		o.entries = 3
	}
	if o.profile.Name == "" {
		o.profile = load.Mixed()
	}
	if o.retention == 0 {
		o.retention = 60
	}
	if o.notice == 0 {
		o.notice = 200
	}
	if o.count == 0 {
		o.count = 2
	}
	if o.lag == 0 {
		o.lag = 50 * time.Millisecond
	}
	c := &cluster{
		t: t, o: o, kv: standin.NewKeyValue(), list: standin.NewInstances(o.lag),
		targets: map[string]*standin.Target{}, servers: map[string]*standin.Server{},
		client: load.NewClient(), dir: t.TempDir(),
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	t.Cleanup(c.close)
	c.kvAt, c.listAt = c.listen("kv", c.kv), c.listen("list", c.list)
	c.editor = tables.NewEditor(keyvalue.New(c.kvAt), peers.NewClients(secret), log.New(os.Stderr))
	c.startTargets()
	c.edit(append(o.profile.Edits(), o.edits...))
	for i := 0; i < o.entries; i++ {
		c.entries = append(c.entries, c.newProcess(i))
	}
	for _, p := range c.entries {
		p.start()
	}
	c.awaitWhole(o.entries)
	return c
}

func (c *cluster) listen(name string, h http.Handler) string {
	s, err := standin.Listen("127.0.0.1:0", h)
	c.must(err)
	c.servers[name] = s
	return s.Address
}

// defaultPool is a target's settings where a test names none.
var defaultPool = standin.TargetSettings{Capacity: 16, Time: 3 * time.Millisecond}

func (c *cluster) startTargets() {
	for pool, streams := range c.o.profile.Pools() {
		s, ok := c.o.pools[pool]
		if !ok {
			s = defaultPool
			if streams {
				s.Token = time.Millisecond
			}
		}
		for i := 0; i < c.o.count; i++ {
			s.ID = fmt.Sprintf("%s-%d", pool, i)
			t := standin.NewTarget(s)
			c.targets[s.ID] = t
			c.announce(s.ID, pool, c.listen(s.ID, t), streams, hookhall.InstanceLive)
		}
	}
}

func (c *cluster) announce(id, pool, address string, streams bool, state hookhall.InstanceState) {
	c.list.Set(hookhall.Instance{
		ID: id, Role: hookhall.RoleTarget, Pool: pool, Address: address, Hall: "hall-1", Streams: streams, State: state,
	})
}

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Helper()
		c.t.Fatal(err)
	}
}

// edit puts edits in force and waits until they are accepted.
func (c *cluster) edit(edits []hookhall.Edit) tables.Outcome {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patient)
	defer cancel()
	out, err := c.editor.Apply(ctx, fmt.Sprintf("edit-%d", time.Now().UnixNano()), edits)
	c.must(err)
	return out
}

// set is one forced edit.
func set(sheet hookhall.Sheet, row, column, value string) hookhall.Edit {
	return hookhall.Edit{Sheet: sheet, Row: row, Column: column, Value: value, Force: true}
}

// await polls until a condition holds; it fails the test after a long while.
func (c *cluster) await(what string, f func() bool) {
	c.t.Helper()
	for limit := time.Now().Add(patient); !f(); time.Sleep(tick) {
		if time.Now().After(limit) {
			c.dumpLogs()
			c.t.Fatalf("not in %v: %s", patient, what)
		}
	}
}

// awaitWhole waits until n entries are ready, agree, and hold their claims.
func (c *cluster) awaitWhole(n int) {
	c.t.Helper()
	c.awaitEntries(n, true)
}

// awaitEntries waits until n entries are ready and agree. Those of a fleet that
// has lost both of a pair hold all claims only when the retention is over.
func (c *cluster) awaitEntries(n int, whole bool) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d entries, whole: %t", n, whole), func() bool {
		var states []entry.State
		for _, p := range c.entries {
			if p.running() {
				s, err := p.state()
				if err != nil || !s.Ready {
					return false
				}
				states = append(states, s)
			}
		}
		for _, s := range states {
			if len(s.Members) != n || s.Epoch != states[0].Epoch || whole && s.Claims.Missing > 0 || s.TableVersion != states[0].TableVersion {
				return false
			}
		}
		return len(states) == n
	})
}

func (c *cluster) addresses() []string {
	var a []string
	for _, p := range c.entries {
		a = append(a, p.callers)
	}
	return a
}

// kind finds a kind of request in the profile.
func (c *cluster) kind(name string) load.Kind {
	for _, k := range c.o.profile.Kinds {
		if k.Name == name {
			return k
		}
	}
	c.t.Fatalf("no kind %q", name)
	return load.Kind{}
}

func accountKey(k load.Kind) string { return load.Account{Name: k.Account}.Key() }

// send runs one request at an entry.
func (c *cluster) send(i int, k load.Kind, tag, key string) *load.Outcome {
	return c.client.Send(context.Background(), c.entries[i].callers, accountKey(k), k, tag, key)
}

func (c *cluster) ledger() []standin.Run {
	var all []standin.Run
	for _, t := range c.targets {
		all = append(all, t.Ledger()...)
	}
	return all
}

// runs counts the runs of a tag at a stage.
func (c *cluster) runs(tag, stage string) int {
	n := 0
	for _, r := range c.ledger() {
		if r.Tag == tag && r.Stage == stage {
			n++
		}
	}
	return n
}

func (c *cluster) audit(outcomes []*load.Outcome) *load.Audit {
	return load.Check(c.o.profile, outcomes, c.ledger())
}

func (c *cluster) dumpLogs() {
	for _, p := range c.entries {
		c.t.Logf("--- %s\n%s", p.name, p.logs())
	}
}

func (c *cluster) close() {
	if c.t.Failed() {
		c.dumpLogs()
	}
	var wg sync.WaitGroup
	for _, p := range c.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.kill()
			p.cutPeers.Stop()
			p.cutKV.Stop()
			p.cutList.Stop()
		}()
	}
	wg.Wait()
	for _, s := range c.servers {
		s.Close()
	}
	c.client.Close()
}
