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

// process is an entry process, which may be stopped, with its proxies and the log of all its
// starts.
type process struct {
	cluster        *cluster
	name           string
	hall           string
	callersAddress string
	peersAddress   string
	configPath     string
	// peersProxy forwards to the entry's peer port; kvProxy and listProxy forward from
	// the entry to the platform's key-value service and instance list.
	peersProxy, kvProxy, listProxy *toxiproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    lockedBuffer
}

// lockedBuffer collects a process's log and may be read while it is written.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// portOffset is the offset of the port that freePort tried last. It only increases, so
// that no port is returned twice before the range is used up.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(portCount)) }

// firstPort and portCount define the range that freePort takes ports from.
const (
	firstPort = 12000
	portCount = 18000
)

// freePort returns a local address with a free port, which an entry keeps over restarts.
// The port is below the ephemeral range: an outgoing connection could otherwise take it
// while the entry is down.
func freePort(c *cluster) string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			c.must(l.Close())
			return address
		}
	}
	c.t.Fatal("no free port in the test range")
	return ""
}

// proxy starts a fault-injecting proxy to upstream at a free local port.
func (c *cluster) proxy(name, upstream string) *toxiproxy.Proxy {
	p := toxiproxy.NewProxy(c.proxies, name, "127.0.0.1:0", upstream)
	c.must(p.Start())
	return p
}

// newProcess prepares entry i, counted from 0: addresses, proxies, configuration file and
// record in the instance list. It does not start the program.
func (c *cluster) newProcess(i int) *process {
	p := &process{cluster: c, name: fmt.Sprintf("entry-%d", i+1), hall: fmt.Sprintf("hall-%d", i%3+1)}
	p.callersAddress, p.peersAddress = freePort(c), freePort(c)
	p.peersProxy = c.proxy(p.name+"-peers", p.peersAddress)
	p.kvProxy = c.proxy(p.name+"-kv", c.kvAddress)
	p.listProxy = c.proxy(p.name+"-list", c.listAddress)
	p.configPath = filepath.Join(c.dir, p.name+".toml")
	c.must(os.WriteFile(p.configPath, []byte(p.settings()), 0o600))
	c.listEntry(p, hookhall.InstanceLive)
	return p
}

// listEntry sets an entry's record in the platform's instance list; its address is that
// of the proxy before the peer port.
func (c *cluster) listEntry(p *process, state hookhall.InstanceState) {
	c.list.Set(hookhall.Instance{ID: p.name, Role: hookhall.RoleEntry, Hall: p.hall, Address: p.peersProxy.Listen, State: state})
}

// settings returns the contents of the entry's configuration file.
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
%s`, p.name, p.hall, p.callersAddress, p.peersAddress, p.peersProxy.Listen, operatorToken, p.kvProxy.Listen, p.listProxy.Listen,
		fleetSecret, p.cluster.options.retentionSeconds, p.cluster.options.noticeMS, p.cluster.options.extraSettings)
}

// start starts the program unless it is running.
func (p *process) start() {
	if p.running() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(filepath.Join(binaryDir, "hookhall-entry"), "--config", p.configPath)
	p.cmd.Stderr = &p.log
	p.cluster.must(p.cmd.Start())
	exited := make(chan struct{})
	p.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait() // killed processes return an error
		close(exited)
	}(p.cmd)
}

// running reports whether the program has been started and has not exited.
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

// signal sends s to the program if it has been started, and ignores that it may have exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has exited
	}
}

// freeze suspends the program with SIGSTOP; thaw resumes it.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// kill ends the program with SIGKILL and returns when it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	if p.exited != nil {
		<-p.exited
	}
}

// stop requests a planned stop with SIGTERM and returns when the program has exited.
func (p *process) stop() {
	p.signal(syscall.SIGTERM)
	<-p.exited
}

// state fetches the entry's state dump.
func (p *process) state() (entry.State, error) {
	var s entry.State
	return s, getJSON(p.callersAddress, "/debug/state", &s)
}

// logs returns what the program has logged over all its starts.
func (p *process) logs() string { return p.log.String() }

// logged reports whether a log line contains all the given texts.
func (p *process) logged(texts ...string) bool {
	for _, line := range strings.Split(p.logs(), "\n") {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

// disconnect closes a proxy's connections and refuses new ones; reconnect starts it again.
func disconnect(p *toxiproxy.Proxy) { p.Stop() }
func reconnect(p *toxiproxy.Proxy)  { _ = p.Start() } // fails if the proxy runs already

// blackhole keeps a proxy's connections open but drops all their bytes.
func blackhole(c *cluster, p *toxiproxy.Proxy) {
	for _, direction := range []string{"upstream", "downstream"} {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(
			fmt.Sprintf(`{"name":"swallow-%s","type":"timeout","stream":%q,"attributes":{"timeout":0}}`, direction, direction)))
		c.must(err)
	}
}
