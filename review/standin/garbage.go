// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The load and the disruption of the case garbage.
const (
	garbageLength   = 60 * time.Second
	garbageRate     = 18 // requests per second
	garbageGateways = 3
	garbageEngines  = 3
	garbageShare    = 0.03 // of the answers of the faulty engine, which is one of three
	garbageFor      = 5 * time.Second
	garbageEvery    = 8 * time.Second
	// linkBytesPerSecond is the bandwidth of a machine's link, 1,000 Mbit/s.
	linkBytesPerSecond = 125e6
	// endsAllowed is the number of ends, and machinesAllowed the number of machines with an end,
	// from which on the rule is broken.
	endsAllowed     = 3
	machinesAllowed = 2
)

// sendGarbage sends bytes that are no answer at the bandwidth of a link until the connection is
// closed, and returns their number.
func sendGarbage(c net.Conn) (sent int) {
	block := bytes.Repeat([]byte{'x'}, 1<<20)
	start := time.Now()
	for {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			return sent
		}
		time.Sleep(time.Duration(float64(sent)/linkBytesPerSecond*float64(time.Second)) - time.Since(start))
	}
}

// runGarbage lets an engine send long garbage in place of some answers. The platform kills a gateway
// that exceeds its memory, and starts it again.
func runGarbage(w *world) (breaches int, err error) {
	w.put("op/config", authConfig())
	ran := &runs{ids: map[string]string{}}
	start := time.Now()
	for i := range garbageEngines {
		random := rand.New(rand.NewSource(w.seed + int64(i)))
		var mu sync.Mutex
		isFaulty := w.trouble && i == 0
		e := &serviceEngine{w: w, id: fmt.Sprintf("i-auth%d", i), ran: ran, fault: func() engineFault {
			mu.Lock()
			defer mu.Unlock()
			if isFaulty && time.Since(start)%garbageEvery < garbageFor && random.Float64() < garbageShare {
				return faultGarbage
			}
			return faultNone
		}}
		if err := w.addService(e, i); err != nil {
			return 0, err
		}
	}
	if err := w.startGateways(garbageGateways); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	done := make(chan map[string]int)
	go func() { done <- w.limitMemory(stop) }()
	time.Sleep(2 * time.Second)
	served, _ := w.sendPurchases(ran, garbageLength, garbageRate)
	close(stop)
	ends := <-done
	w.record.add("RESULT: %d of %d purchases served; ends by machine for exceeding %d MB: %v", served, int(garbageLength.Seconds())*garbageRate, memoryMB, ends)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	total := 0
	for _, n := range ends {
		total += n
	}
	if total >= endsAllowed && len(ends) >= machinesAllowed {
		w.breach("Fault: processes on %d machines ended %d times", len(ends), total)
	}
	return int(w.breaches.Load()), nil
}

// limitMemory kills gateways that exceed their memory and starts them again, until stop is closed. It
// returns how often it did so, by gateway.
func (w *world) limitMemory(stop chan struct{}) (ends map[string]int) {
	ends = map[string]int{}
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(20 * time.Millisecond):
		}
		for _, g := range w.gateways {
			mb := residentMB(g.pid())
			if mb <= memoryMB {
				continue
			}
			ends[g.name]++
			w.record.add("%s has %d MB in memory, of %d; the platform kills it and starts it again", g.name, mb, memoryMB)
			g.kill()
			if err := w.start(g); err != nil {
				w.record.add("%s does not start again: %v", g.name, err)
			}
		}
	}
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}
