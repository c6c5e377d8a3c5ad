// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is all that one case consists of.
type world struct {
	hasTrouble bool
	started    time.Time
	dir        string // for settings and logs
	store      *store
	ports      map[string]bool // addresses that freePort has returned

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	gateways []*gateway
}

// newWorld returns a world with an empty store, whose record is a file.
func newWorld(record string, hasTrouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hookhall-review-")
	if err != nil {
		return nil, err
	}
	w := &world{hasTrouble: hasTrouble, started: time.Now(), dir: dir, ports: map[string]bool{}, record: bufio.NewWriter(file), file: file}
	w.store, err = newStore()
	return w, err
}

// close ends all gateways and completes the record.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// note adds a line to the record, and prints it.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", w.sinceStart(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Ports of gateways are below those that the system gives to outgoing connections, so that a gateway
// that starts again finds its own free.
const firstPort, portCount = 21000, 11000

// freePort returns a loopback address whose port is free, and which it has not returned before.
func (w *world) freePort() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if w.ports[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			w.ports[address] = true
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// gateway is a gateway that runs as a process of its own.
type gateway struct {
	w                              *world
	name, hall, settings, log      string
	clients, ready, peers, metrics string
	process                        *exec.Cmd
	ended                          chan struct{}

	mu        sync.Mutex
	startedAt time.Time // of the process
	stopping  bool      // it was sent SIGTERM
}

// gatewayProgram is the program that the deploy file builds.
const gatewayProgram = "target/hookhall-gateway"

// addGateway starts a gateway with the settings that the platform makes of the deploy file's template.
// regions maps halls to regions.
func (w *world) addGateway(name, hall string, regions map[string]string) (*gateway, error) {
	g := &gateway{w: w, name: name, hall: hall, settings: filepath.Join(w.dir, name+".yaml"), log: filepath.Join(w.dir, name+".log")}
	for _, address := range []*string{&g.clients, &g.ready, &g.peers, &g.metrics} {
		free, err := w.freePort()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[gateway]\ninstance = %q\nhall = %q\nclients = %q\nready = %q\npeers = %q\nmetrics = %q\ncores = 0.4\nlink_mbps = 1000\nmemory_mb = 284\n",
		name, hall, g.clients, g.ready, g.peers, g.metrics)
	fmt.Fprintf(&text, "[store]\naddress = %q\n[bounds]\ngrace_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nconfig_ms = 2000\n[overload]\nadmission = \"on\"\n[regions]\n", w.store.address)
	for hall, region := range regions {
		fmt.Fprintf(&text, "%q = %q\n", hall, region)
	}
	if err := os.WriteFile(g.settings, []byte(text.String()), 0o600); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

// start starts the process.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.process = exec.Command(gatewayProgram, "--config", g.settings)
	g.process.Env = append(os.Environ(), "HOOKHALL_NODE_FILE="+g.settings)
	g.process.Stdout, g.process.Stderr = out, out
	if err := g.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.ended = ended
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startedAt, g.stopping = time.Now(), false
	go func(process *exec.Cmd) {
		_ = process.Wait()
		close(ended)
	}(g.process)
	return nil
}

// isReady reports whether the gateway says that it is ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway is ready.
func (g *gateway) awaitReady() error {
	for range 100 {
		if g.isReady() {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.name)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	_ = g.process.Process.Signal(s) // fails if it has ended
}

// stop begins a planned stop.
func (g *gateway) stop() {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
}

// inTouch reports whether the process has run for contactMs, and was not told to stop.
func (g *gateway) inTouch() bool {
	const contact = 3 * time.Second
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.stopping && time.Since(g.startedAt) >= contact
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.process == nil || g.process.Process == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}
