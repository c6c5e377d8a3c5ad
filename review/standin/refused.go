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

// The load and the disruption of the case refused.
const (
	refusedLength   = 40 * time.Second
	refusedRate     = 18 // requests per second
	refusedGateways = 3
	greyServices    = 7 // engines, of which one is grey
	greyShare       = 0.4
	// The disruption lasts greyFor and begins again every greyEvery.
	greyFor   = 5 * time.Second
	greyEvery = 8 * time.Second
)

// runs holds the ids of the requests that engines have run.
type runs struct {
	mu  sync.Mutex
	ids map[string]string // id of the request to that of the engine
}

// add records a run.
func (r *runs) add(request, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[request] = engine
}

// engineOf returns the engine that ran a request, "" if none did.
func (r *runs) engineOf(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[request]
}

// isPromise reports whether a status promises that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// runRefused lets an engine fail part of its requests with a bare 503 after it has run them.
func runRefused(w *world) (breaches int, err error) {
	w.put("op/config", authConfig())
	ran := &runs{ids: map[string]string{}}
	start := time.Now()
	for i := range greyServices {
		random := rand.New(rand.NewSource(w.seed + int64(i)))
		var mu sync.Mutex
		isGrey := w.trouble && i == 0
		e := &serviceEngine{w: w, id: fmt.Sprintf("i-auth%d", i), ran: ran, fault: func() engineFault {
			mu.Lock()
			defer mu.Unlock()
			if isGrey && time.Since(start)%greyEvery < greyFor && random.Float64() < greyShare {
				return faultBare503
			}
			return faultNone
		}}
		if err := w.addService(e, i); err != nil {
			return 0, err
		}
	}
	if err := w.startGateways(refusedGateways); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the gateways find each other
	served, twice := w.sendPurchases(ran, refusedLength, refusedRate)
	w.record.add("RESULT: %d of %d purchases served, %d of them ran twice", served, int(refusedLength.Seconds())*refusedRate, twice)
	if served == 0 {
		return 0, fmt.Errorf("no request was served")
	}
	return int(w.breaches.Load()), nil
}

// sendPurchases sends requests that must run at most once at an even rate. A client repeats a request
// once, with another id, after a status that promises that it has not run. It returns how many were
// served, and how many ran with both ids.
func (w *world) sendPurchases(ran *runs, length time.Duration, rate int) (served, twice int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range int(length.Seconds()) * rate {
		first, second := w.rand.Intn(len(w.gateways)), w.rand.Intn(len(w.gateways))
		ids := [2]string{fmt.Sprintf("%016x", w.rand.Int63()), fmt.Sprintf("%016x", w.rand.Int63())}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := call{method: http.MethodPost, host: "jepu9.example", path: fmt.Sprintf("/sebo924/%d", n), body: fmt.Sprintf("purchase %d", n), deadline: 3 * time.Second}
			for try, g := range [2]int{first, second} {
				c.id = ids[try]
				a := w.send(w.gateways[g], c)
				if engine := ran.engineOf(c.id); engine != "" && isPromise(a.status) {
					w.breach("REFUSED: the client got %d for %s, which %s has run", a.status, c.id, engine)
				}
				if a.status == http.StatusOK && a.err == nil {
					mu.Lock()
					served++
					if try > 0 && ran.engineOf(ids[0]) != "" {
						twice++
					}
					mu.Unlock()
				}
				if !isPromise(a.status) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
		time.Sleep(time.Second / time.Duration(rate))
	}
	wg.Wait()
	return served, twice
}
