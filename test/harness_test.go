// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package test has the integration tests: real entry and admin processes,
// stand-ins of platform and targets, and fault-injecting proxies before each
// entry's peers' port and before each entry's way to the platform.
package test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// process is one entry process with its proxies.
type process struct {
	c       *cluster
	name    string
	hall    string
	callers string
	peers   string
	config  string
	// cutPeers is before its peers' port; cutKV and cutList are its ways to
	// the platform.
	cutPeers, cutKV, cutList *toxiproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    lockedBuffer
}

// lockedBuffer is a log that is read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// nextPort is where freePort goes on, so that it never gives a port twice.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// portFirst and portCount are the range that freePort takes ports from.
const (
	portFirst = 12000
	portCount = 18000
)

// freePort finds a port that an entry keeps over its restarts. It is below the
// range that outgoing connections take theirs from: one of those could hold a
// port while its entry is down.
func freePort(c *cluster) string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", portFirst+nextPort.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			c.must(l.Close())
			return address
		}
	}
	c.t.Fatal("no free port")
	return ""
}

func (c *cluster) proxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(c.proxies, name, "127.0.0.1:0", upstream)
	c.must(p.Start())
	return p
}

func (c *cluster) newProcess(i int) *process {
	p := &process{c: c, name: fmt.Sprintf("entry-%d", i+1), hall: fmt.Sprintf("hall-%d", i%3+1)}
	p.callers, p.peers = freePort(c), freePort(c)
	p.cutPeers = c.proxy(p.name+"-peers", p.peers)
	p.cutKV = c.proxy(p.name+"-kv", c.kvAt)
	p.cutList = c.proxy(p.name+"-list", c.listAt)
	p.config = filepath.Join(c.dir, p.name+".toml")
	c.must(os.WriteFile(p.config, []byte(p.settings()), 0o600))
	c.listEntry(p, hookhall.InstanceLive)
	return p
}

func (c *cluster) listEntry(p *process, state hookhall.InstanceState) {
	c.list.Set(hookhall.Instance{ID: p.name, Role: hookhall.RoleEntry, Hall: p.hall, Address: p.cutPeers.Listen, State: state})
}

func (p *process) settings() string {
	return fmt.Sprintf(`[entry]
instance = %q
hall = %q
callers = %q
peers = %q
advertise = %q
operator_token = %q
[platform]
key_value = %q
instances = %q
[fleet]
secret = %q
heartbeat_ms = 100
list_ms = 100
claim_retention_s = %d
[stop]
notice_ms = %d
grace_ms = 10000
[log]
level = "info"
%s`, p.name, p.hall, p.callers, p.peers, p.cutPeers.Listen, token, p.cutKV.Listen, p.cutList.Listen,
		secret, p.c.o.retention, p.c.o.notice, p.c.o.settings)
}

// start runs the program, unless it runs already.
func (p *process) start() {
	if p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(filepath.Join(binaries, "hookhall-entry"), "--config", p.config)
	p.cmd.Stderr = &p.log
	p.c.must(p.cmd.Start())
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // a killed process has no good end
		close(exited)
	}(p.cmd)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// kill ends it without warning.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.exited != nil {
		<-p.exited
	}
}

// stop is a planned stop; it returns when the process has ended.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.exited
}

func (p *process) state() (entry.State, error) {
	var s entry.State
	return s, getJSON(p.callers, "/debug/state", &s)
}

func (p *process) logs() string { return p.log.String() }

// logged tells whether a line with all words has been logged.
func (p *process) logged(words ...string) bool {
	for _, line := range strings.Split(p.logs(), "\n") {
		all := true
		for _, w := range words {
			all = all && strings.Contains(line, w)
		}
		if all {
			return true
		}
	}
	return false
}

// cut breaks a proxy's connections and refuses new ones; heal undoes it.
func cut(p *toxiproxy.Proxy)  { p.Stop() }
func heal(p *toxiproxy.Proxy) { _ = p.Start() } // it may run already

// swallow lets connections stand and their bytes disappear.
func swallow(c *cluster, p *toxiproxy.Proxy) {
	for _, direction := range []string{"upstream", "downstream"} {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(
			fmt.Sprintf(`{"name":"swallow-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction, direction)))
		c.must(err)
	}
}
