// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/app/entry"
)

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
