// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	reviewRequests = 16
	reviewTimeout  = 4 * time.Second
	reviewDeadline = 8 * time.Second
	// reviewPatience is how long a client waits for the first event: four times the objective.
	reviewPatience = 6400 * time.Millisecond
	// unansweredAfter is how long after the route's timeout a request counts as unanswered.
	unansweredAfter = 500 * time.Millisecond
	// minUnanswered requests, and over a quarter of those that outlast the timeout, break the rule.
	minUnanswered = 8
)

// stageList returns the stages of a route, each with the stages that it reads. They run at three
// services in turn.
func stageList(inputs ...[]int) []any {
	var list []any
	for i, in := range inputs {
		if in == nil {
			in = []int{}
		}
		list = append(list, map[string]any{"service": stageServices[i%len(stageServices)], "sinceRev": in, "bytes": 8000})
	}
	return list
}

// stageServices are the services of stages.
var stageServices = []string{"encode", "retrieve", "rerank"}

// pipelineRoute returns a route with stages.
func pipelineRoute(name, prefix string, stages []any) map[string]any {
	return map[string]any{
		"name": name, "host": "jepu9.example", "pathPrefix": prefix, "kind": "streaming", "timeoutMs": reviewTimeout.Milliseconds(), "sloMs": 1600, "gapSloMs": 200,
		"priority": 0, "service": "pool", "maxAttempts": 2, "stages": stages, "public": false, "sticky": true, "resumable": true,
	}
}

// outcome is what a client sees of a request.
type outcome struct {
	status int           // 0 without an answer
	after  time.Duration // from the sending to the head of the answer, or until the client gave up
}

// playPipeline adds a route of six stages in a new configuration. Its requests leave one stage out, as
// those on the route before do.
func playPipeline(w *world) (bool, error) {
	services := []any{llmService("pool")}
	for _, name := range stageServices {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 32, "callMs": 60, "itemMs": 10, "headroomMb": 39, "handleS": 4, "linkMbps": 10000},
		})
	}
	before := pipelineRoute("brief", "/cufi501/fi50/", stageList(nil, []int{0}, []int{1}))
	w.store.put("op/config", configOf(7, []any{before}, services))
	held := &results{known: map[string]bool{}}
	for n := range 3 {
		e := &engine{w: w, ID: fmt.Sprintf("i-pool%d", n), Service: "pool", Hall: "ikeja", Version: "v1", Events: 3, Gap: 30 * time.Millisecond, Inputs: held}
		if err := e.start(); err != nil {
			return false, err
		}
		for _, name := range stageServices {
			s := &stageEngine{w: w, ID: fmt.Sprintf("i-%s%d", name, n), Service: name, Hall: "ikeja", Results: held}
			if err := s.start(); err != nil {
				return false, err
			}
		}
	}
	for n := range 3 {
		if _, err := w.addGateway(fmt.Sprintf("front-ikeja-%d", n), "ikeja", map[string]string{"ikeja": "lagos"}); err != nil {
			return false, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	path, pieces := "/cufi501/fi50/2f", "2,0,3"
	if w.hasTrouble {
		added := pipelineRoute("review", "/cufi501/fi77/", stageList(nil, []int{0}, []int{1}, nil, []int{2}, []int{3, 4}))
		w.store.put("op/config", configOf(12, []any{before, added}, services))
		w.note("configuration 12 adds a route of six stages")
		path, pieces = "/cufi501/fi77/2f", "2,0,2,2,2,2"
	}
	time.Sleep(5 * time.Second) // configMs is 2 s

	outcomes := make([]outcome, reviewRequests)
	var clients sync.WaitGroup
	for n := range outcomes {
		clients.Go(func() { outcomes[n] = w.sendReview(n, path, pieces) })
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	outlasting, unanswered := 0, 0
	for _, o := range outcomes {
		if o.after >= reviewTimeout {
			outlasting++
		}
		if o.after >= reviewTimeout+unansweredAfter {
			unanswered++
		}
	}
	w.note("%d of %d requests outlast the route's timeout, and %d of these have no answer half a second later", outlasting, reviewRequests, unanswered)
	return unanswered >= minUnanswered && 4*unanswered > outlasting, nil
}

// sendReview sends a request and awaits the head of its answer for as long as a client does.
func (w *world) sendReview(n int, path, pieces string) outcome {
	g := w.gateways[n%len(w.gateways)]
	sent := time.Now()
	t := try{
		Method: http.MethodPost, Host: "jepu9.example", Path: path, ID: fmt.Sprintf("%08x%08x", 0x51+n, 1), Deadline: sent.Add(reviewPatience), Body: "review",
		DeadlineMs: reviewDeadline.Milliseconds(),
		Fields: map[string]string{
			"Model": "m", "Token-Usage": "300,15", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:100", n+1), "Pieces": pieces, "Piece-Key": fmt.Sprintf("7c1e%08x", n+1),
		},
	}
	w.note("client sends %s to %s, %s, Pieces %s", t.ID, g.name, path, pieces)
	resp, c, err := t.send(g.clients)
	o := outcome{after: time.Since(sent)}
	if err != nil {
		w.note("%s: no answer after %v: %v", t.ID, o.after.Round(time.Millisecond), err)
		return o
	}
	defer c.Close()
	o.status = resp.StatusCode
	err = readEvents(resp.Body, func(streamEvent) {})
	w.note("%s: status %d after %v, stream ended with error %v", t.ID, o.status, o.after.Round(time.Millisecond), err)
	return o
}
