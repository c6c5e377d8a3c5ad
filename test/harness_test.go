// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package test has the integration tests. They run real entry and admin processes with
// stand-ins for the platform and the targets. Fault-injecting proxies are on the
// connections to each entry's peer port and from each entry to the platform.
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
	fleetSecret   = "the-fleet-secret"
	operatorToken = "the-operator-token"
	// awaitTimeout limits the wait for a condition, after which the test fails.
	awaitTimeout = 20 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// binaryDir is the directory that TestMain builds the programs into.
var binaryDir string

// TestMain builds the programs under test and removes them after the tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hookhall")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/hookhall-entry", "../cmd/hookhall-admin", "../cmd/hookhallctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", out, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// options configures a cluster. newCluster replaces zero values by the defaults.
type options struct {
	entries          int                               // default 3
	profile          load.Profile                      // default load.Mixed()
	retentionSeconds int                               // claim retention; default 60
	noticeMS         int                               // the setting stop.notice_ms; default 200
	extraSettings    string                            // TOML that is appended to each entry's configuration file
	listLag          time.Duration                     // delay until a change shows in the instance list; default 50 ms
	settingsByPool   map[string]standin.TargetSettings // other pools use defaultTargetSettings
	targetsPerPool   int                               // default 2
	extraEdits       []hookhall.Edit                   // applied with those of the profile
}

// cluster is a running fleet with its stand-ins and proxies.
type cluster struct {
	t             *testing.T
	options       options
	kv            *standin.KeyValue
	list          *standin.Instances
	kvAddress     string
	listAddress   string
	targetsByID   map[string]*standin.Target
	serversByName map[string]*standin.Server
	entries       []*process
	client        *load.Client
	editor        *tables.Editor
	proxies       *toxiproxy.ApiServer
	dir           string
}

// newCluster starts a fleet and waits until its entries are ready, agree on the view and
// the table, and hold all claims. The test's cleanup closes it.
func newCluster(t *testing.T, o options) *cluster {
	t.Helper()
	if o.entries == 0 {
		o.entries = 3
	}
	if o.profile.Name == "" {
		o.profile = load.Mixed()
	}
	if o.retentionSeconds == 0 {
		o.retentionSeconds = 60
	}
	if o.noticeMS == 0 {
		o.noticeMS = 200
	}
	if o.targetsPerPool == 0 {
		o.targetsPerPool = 2
	}
	if o.listLag == 0 {
		o.listLag = 50 * time.Millisecond
	}
	c := &cluster{
		t: t, options: o, kv: standin.NewKeyValue(), list: standin.NewInstances(o.listLag),
		targetsByID: map[string]*standin.Target{}, serversByName: map[string]*standin.Server{},
		client: load.NewClient(), dir: t.TempDir(),
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
	}
	t.Cleanup(c.close)
	c.kvAddress, c.listAddress = c.listen("kv", c.kv), c.listen("list", c.list)
	c.editor = tables.NewEditor(keyvalue.New(c.kvAddress), peers.NewClients(fleetSecret), log.New(os.Stderr))
	c.startTargets()
	c.edit(append(o.profile.TableEdits(), o.extraEdits...))
	for i := 0; i < o.entries; i++ {
		c.entries = append(c.entries, c.newProcess(i))
	}
	for _, p := range c.entries {
		p.start()
	}
	c.awaitFleet(o.entries)
	return c
}

// listen serves h at a free local port and returns the address. close stops the server.
func (c *cluster) listen(name string, h http.Handler) string {
	s, err := standin.Listen("127.0.0.1:0", h)
	c.must(err)
	c.serversByName[name] = s
	return s.Address
}

// defaultTargetSettings apply to the targets of pools for which a test sets none.
// startTargets adds 1 ms per token for pools that stream.
var defaultTargetSettings = standin.TargetSettings{Capacity: 16, CallTime: 3 * time.Millisecond}

// startTargets starts targetsPerPool targets for each pool of the profile and puts them on
// the instance list.
func (c *cluster) startTargets() {
	for pool, streams := range c.options.profile.StreamsByPool() {
		settings, ok := c.options.settingsByPool[pool]
		if !ok {
			settings = defaultTargetSettings
			if streams {
				settings.TokenTime = time.Millisecond
			}
		}
		for i := 0; i < c.options.targetsPerPool; i++ {
			settings.ID = fmt.Sprintf("%s-%d", pool, i)
			target := standin.NewTarget(settings)
			c.targetsByID[settings.ID] = target
			c.listTarget(settings.ID, pool, c.listen(settings.ID, target), streams, hookhall.InstanceLive)
		}
	}
}

// listTarget sets a target's record in the platform's instance list.
func (c *cluster) listTarget(id, pool, address string, streams bool, state hookhall.InstanceState) {
	c.list.Set(hookhall.Instance{
		ID: id, Role: hookhall.RoleTarget, Pool: pool, Address: address, Hall: "hall-1", Streams: streams, State: state,
	})
}

// must fails the test at once if err is not nil.
func (c *cluster) must(err error) {
	if err != nil {
		c.t.Helper()
		c.t.Fatal(err)
	}
}

// edit submits edits and returns when they are accepted; entries apply them later. It fails
// the test if they are not accepted within awaitTimeout.
func (c *cluster) edit(edits []hookhall.Edit) tables.Outcome {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	outcome, err := c.editor.Apply(ctx, fmt.Sprintf("edit-%d", time.Now().UnixNano()), edits)
	c.must(err)
	return outcome
}

// forcedEdit returns an edit that applies whatever the current value of its cell is.
func forcedEdit(sheet hookhall.Sheet, row, column, value string) hookhall.Edit {
	return hookhall.Edit{Sheet: sheet, Row: row, Column: column, Value: value, Force: true}
}

// await polls until the condition holds. It fails the test after awaitTimeout.
func (c *cluster) await(condition string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			c.dumpLogs()
			c.t.Fatalf("condition not met within %v: %s", awaitTimeout, condition)
		}
	}
}

// awaitFleet waits until n entries are ready, agree on the view and the table, and hold
// all claims of their slots.
func (c *cluster) awaitFleet(n int) {
	c.t.Helper()
	c.awaitEntries(n, true)
}

// awaitEntries waits until n entries are ready and agree on the view and the table, and,
// if claimsComplete is set, until none of them misses claims. A fleet that has lost both
// owner and standby of a slot misses claims until the claim retention is over.
func (c *cluster) awaitEntries(n int, claimsComplete bool) {
	c.t.Helper()
	c.await(fmt.Sprintf("%d entries ready and agreed, claims complete: %t", n, claimsComplete), func() bool {
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
			if len(s.Members) != n || s.Epoch != states[0].Epoch || claimsComplete && s.Claims.Missing > 0 || s.TableVersion != states[0].TableVersion {
				return false
			}
		}
		return len(states) == n
	})
}

// addresses returns the callers' addresses of all entries.
func (c *cluster) addresses() []string {
	var all []string
	for _, p := range c.entries {
		all = append(all, p.callersAddress)
	}
	return all
}

// kind returns the profile's request kind with the given name.
func (c *cluster) kind(name string) load.Kind {
	for _, k := range c.options.profile.Kinds {
		if k.Name == name {
			return k
		}
	}
	c.t.Fatalf("profile has no request kind %q", name)
	return load.Kind{}
}

// accountKey returns the API key of the client account that sends requests of kind k.
func accountKey(k load.Kind) string { return load.Account{Name: k.Account}.Key() }

// send sends one request to entry i and waits for its outcome. An empty key sends no
// idempotency key.
func (c *cluster) send(i int, k load.Kind, tag, key string) *load.Outcome {
	return c.client.Send(context.Background(), c.entries[i].callersAddress, accountKey(k), k, tag, key)
}

// ledger returns the runs that all targets have recorded.
func (c *cluster) ledger() []standin.RunRecord {
	var all []standin.RunRecord
	for _, t := range c.targetsByID {
		all = append(all, t.Ledger()...)
	}
	return all
}

// countRuns returns how often requests with the tag ran at the stage.
func (c *cluster) countRuns(tag, stage string) int {
	n := 0
	for _, r := range c.ledger() {
		if r.Tag == tag && r.Stage == stage {
			n++
		}
	}
	return n
}

// audit compares outcomes with the ledgers of the targets.
func (c *cluster) audit(outcomes []*load.Outcome) *load.Audit {
	return load.AuditOutcomes(c.options.profile, outcomes, c.ledger())
}

// dumpLogs writes the log of every entry to the test's output.
func (c *cluster) dumpLogs() {
	for _, p := range c.entries {
		c.t.Logf("--- %s\n%s", p.name, p.logs())
	}
}

// close kills all entries and stops the proxies and stand-ins. It may be called again.
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
			p.peersProxy.Stop()
			p.kvProxy.Stop()
			p.listProxy.Stop()
		}()
	}
	wg.Wait()
	for _, s := range c.serversByName {
		s.Close()
	}
	c.client.Close()
}
