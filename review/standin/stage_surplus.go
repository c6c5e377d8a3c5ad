// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The load and the disruption of the case stage-surplus.
const (
	surplusLength   = 90 * time.Second
	surplusRate     = 20 // requests per second
	surplusGateways = 3
	poolEngines     = 5
	faultyEngines   = 3    // 0.6 of them
	surplusShare    = 0.03 // of the answers of a faulty engine
	// The disruption lasts surplusFor and begins again every surplusEvery.
	surplusFor   = 5 * time.Second
	surplusEvery = 8 * time.Second
)

// runStageSurplus lets some engines of a stage's service send a second copy of some answers.
func runStageSurplus(w *world) (breaches int, err error) {
	held := newResults(4 * time.Second)
	w.put("op/config", surplusConfig())
	start := time.Now()
	for i := range poolEngines {
		e := &poolEngine{
			w: w, id: fmt.Sprintf("i-settle%d", i), service: "settle", results: held,
			callTime: 150 * time.Millisecond, itemTime: 16 * time.Millisecond, queue: 2, rand: rand.New(rand.NewSource(w.seed + int64(i))),
		}
		isFaulty := w.trouble && i < faultyEngines
		e.surplus = func() bool {
			isOn := time.Since(start)%surplusEvery < surplusFor
			e.mu.Lock()
			defer e.mu.Unlock()
			return isFaulty && isOn && e.rand.Float64() < surplusShare
		}
		l, err := w.listen()
		if err != nil {
			return 0, err
		}
		e.address = l.Addr().String()
		go e.serve(l)
		w.list(e.id, e.service, halls[i%len(halls)], e.address, 1)
	}
	for i := range 4 {
		e := &modelEngine{w: w, id: fmt.Sprintf("i-llm%d", i), results: held, events: 24, firstTime: 60 * time.Millisecond, eventTime: 17 * time.Millisecond}
		l, err := w.listen()
		if err != nil {
			return 0, err
		}
		go func() { _ = http.Serve(l, e) }() // returns when the world is closed
		w.list(e.id, "llm-pool", halls[i%len(halls)], l.Addr().String(), 64)
	}
	if err := w.startGateways(surplusGateways); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the gateways find each other
	served := w.sendBriefs(surplusLength, surplusRate)
	w.record.add("RESULT: %d of %d requests served", served, int(surplusLength.Seconds()*surplusRate))
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return int(w.breaches.Load()), nil
}

// sendBriefs sends requests at an even rate and returns how many were served.
func (w *world) sendBriefs(length time.Duration, rate int) (served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range int(length.Seconds()) * rate {
		g := w.gateways[w.rand.Intn(len(w.gateways))]
		c := call{
			id: fmt.Sprintf("%016x", w.rand.Int63()), method: http.MethodPost, host: "pule25.example", path: fmt.Sprintf("/rapu30/%d", n),
			body: fmt.Sprintf("dispute case %d", n), deadline: 8 * time.Second,
			fields: []string{
				"Model", "m", "Token-Usage", "1460,80", "Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", w.rand.Uint32()),
				"Pieces", fmt.Sprint(1 + w.rand.Intn(2)), "Piece-Key", fmt.Sprintf("%012x", w.rand.Int63n(1<<48)),
			},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if a := w.send(g, c); a.status == http.StatusOK && a.err == nil {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return served
}

// surplusConfig returns the operators' configuration: one streaming route with one stage.
func surplusConfig() object {
	return object{
		"version": 7,
		"routes": []object{{
			"name": "r-brief", "host": "pule25.example", "pathPrefix": "/rapu30/", "kind": "streaming", "timeoutMs": 8000, "sloMs": 1000, "priority": 1,
			"service": "llm-pool", "maxAttempts": 1, "stages": []object{{"service": "settle", "sinceRev": []int{}, "bytes": 3000000}},
			"public": false, "sticky": true, "resumable": false, "gapSloMs": 200,
		}},
		"services": []object{
			{
				"name": "llm-pool", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": object{
					"slots": 64, "kvCapacity": 614608, "kvBytes": 163840, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 5, "most": 12,
					"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []object{{"name": "m"}},
				},
			},
			{
				"name": "settle", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"pieces": object{"slots": 1, "queue": 2, "batch": 8, "callMs": 150.0, "itemMs": 16.0, "headroomMb": 39.0, "handleS": 4.0, "linkMbps": 10000},
			},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": clientTenant, "apiKeys": []string{clientKey}, "priority": 1}},
	}
}
