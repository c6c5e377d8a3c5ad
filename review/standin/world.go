// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is the platform with its gateways.
type world struct {
	record  *record
	trouble bool
	rand    *rand.Rand // of the case's own goroutine
	seed    int64
	program string
	// breaches counts the breaches of the rule.
	breaches atomic.Int64
	dir      string // for settings
	store    *Store
	// storeAddress is an IP address and a port.
	storeAddress string

	mu        sync.Mutex
	gateways  []*gatewayProcess
	listeners []net.Listener
}

// newWorld starts the store.
func newWorld(program, recordPath string, trouble bool, seed int64) (*world, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hookhall-review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, rand: rand.New(rand.NewSource(seed)), seed: seed, program: program, dir: dir, store: newStore()}
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }() // returns when the world is closed
	return w, nil
}

// listen opens a free loopback port until the world is closed.
func (w *world) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners = append(w.listeners, l)
	return l, nil
}

// close ends all processes and servers.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
	for _, l := range w.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// object is a JSON object.
type object map[string]any

// put writes a key of the platform as JSON.
func (w *world) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are the program's own
	}
	w.store.Set(key, b)
}

// list writes a target's entry.
func (w *world) list(id, service, hall, address string, slots int) {
	w.put("servers/"+id, object{"service": service, "address": address, "zone": hall, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1})
}

// gatewayProcess is one gateway.
type gatewayProcess struct {
	name string
	// settings is the path of the settings.
	settings string

	mu      sync.Mutex
	process *exec.Cmd
	clients string // address for clients
}

// addressPattern matches the address for clients in the log line of a gateway's start.
var addressPattern = regexp.MustCompile(`clients=(\S+)`)

// settingsFormat is deploy/gateway.toml.tmpl, filled with the settings of a small deployment.
const settingsFormat = `[gateway]
instance = "%s"
hall = "%s"
clients = "127.0.0.1:0"
ready = "127.0.0.1:0"
peers = "127.0.0.1:0"
metrics = "127.0.0.1:0"
cores = 0.4
link_mbps = 1000.0
memory_mb = %d

[store]
address = "%s"

[bounds]
grace_ms = 8000
retry_ratio = 0.2
retry_window_ms = 10000
retry_slack = 58
config_ms = 2000
[overload]
admission = "on"

[regions]
"ikeja" = "lagos"
"lekki" = "lagos"
"apapa" = "lagos"
`

// memoryMB is the memory of a machine of the small deployment.
const memoryMB = 284

// halls are those of the small deployment.
var halls = []string{"ikeja", "lekki", "apapa"}

// startGateways starts n gateways and waits until they are ready.
func (w *world) startGateways(n int) error {
	for i := range n {
		g := &gatewayProcess{name: fmt.Sprintf("front-%s-%d", halls[i%len(halls)], i/len(halls)+1)}
		g.settings = filepath.Join(w.dir, g.name+".toml")
		text := fmt.Sprintf(settingsFormat, g.name, halls[i%len(halls)], memoryMB, w.storeAddress)
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := w.start(g); err != nil {
			return err
		}
		w.mu.Lock()
		w.gateways = append(w.gateways, g)
		w.mu.Unlock()
	}
	return nil
}

// start starts one gateway with the command of the deploy file and waits until it is ready.
func (w *world) start(g *gatewayProcess) error {
	process := exec.Command(w.program, "--config", g.settings)
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := process.StdoutPipe()
	if err != nil {
		return err
	}
	if err := process.Start(); err != nil {
		return err
	}
	ready, ended := make(chan string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		readLog(out, ready)
	}()
	g.mu.Lock()
	g.process = process
	g.mu.Unlock()
	select {
	case clients := <-ready:
		g.mu.Lock()
		g.clients = clients
		g.mu.Unlock()
		w.record.add("%s is ready", g.name)
		return nil
	case <-ended:
		return fmt.Errorf("%s ended at its start", g.name)
	case <-time.After(20 * time.Second):
		return fmt.Errorf("%s is not ready after 20 s", g.name)
	}
}

// readLog reads the log of a gateway until its end, and sends the address for clients once the
// gateway is ready.
func readLog(out io.Reader, ready chan<- string) {
	clients := ""
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		if m := addressPattern.FindStringSubmatch(line); m != nil && strings.Contains(line, "msg=Starting.") {
			clients = m[1]
		}
		if strings.Contains(line, "msg=Ready.") {
			ready <- clients
		}
	}
}

// address returns the address for clients.
func (g *gatewayProcess) address() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clients
}

// pid returns the process id.
func (g *gatewayProcess) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process.Process.Pid
}

// kill ends the process and waits for its end.
func (g *gatewayProcess) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Process.Kill() // it may have ended
	_ = g.process.Wait()
}
