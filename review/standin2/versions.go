// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	noteStreams = 40
	noteEvents  = 46
	noteGap     = 250 * time.Millisecond
	noteTimeout = 12 * time.Second
	// graceTime is the time until a gateway that has not ended is killed, and restartDelay that until one
	// that has ended is started again.
	graceTime    = 8 * time.Second
	restartDelay = 200 * time.Millisecond
	// retryPause is how long a client waits after a broken connection.
	retryPause = 500 * time.Millisecond
	// maxTries is how often a client tries, the first time included.
	maxTries = 4
)

// noteStream is a stream of one client over its tries.
type noteStream struct {
	beganInTouch, sentInTouch bool   // a new stream at a machine in touch
	takenUp, wentOn           bool   // at a machine in touch; and brought events there
	begunBy                   string // id of the attempt that brought the first event
	path                      string // "" for that of most
	last                      string
	versions                  map[string]bool
	complete                  bool
}

// configOf returns the configuration of a case with its routes and services.
func configOf(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// llmService returns a service of model engines.
func llmService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 614608, "models": []any{map[string]any{"name": "m"}}},
	}
}

// putNoteRoute writes the configuration, with a route of streams that may be resumed.
func (w *world) putNoteRoute() {
	w.store.put("op/config", configOf(7, []any{map[string]any{
		"name": "note", "host": "pule25.example", "pathPrefix": "/puxa400/", "kind": "streaming", "timeoutMs": noteTimeout.Milliseconds(), "sloMs": 1400,
		"gapSloMs": 500, "priority": 1, "service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}}, []any{llmService("pool")}))
}

// playVersions lets engines of a new version take the place of those of the old one, and then stops and
// starts all gateways in turn, as planned, while streams run at the old engines.
func playVersions(w *world) (bool, error) {
	w.putNoteRoute()
	var old, fresh []*engine
	for n := range 3 {
		old = append(old, &engine{w: w, ID: fmt.Sprintf("i-old%d", n), Service: "pool", Hall: "ikeja", Version: "v1", Events: noteEvents, Gap: noteGap})
		fresh = append(fresh, &engine{w: w, ID: fmt.Sprintf("i-new%d", n), Service: "pool", Hall: "ikeja", Version: "v2", Events: noteEvents, Gap: noteGap})
	}
	for _, e := range old {
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for n := range 4 {
		if _, err := w.addGateway(fmt.Sprintf("front-ikeja-%d", n), "ikeja", map[string]string{"ikeja": "lagos"}); err != nil {
			return false, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)

	streams := make([]*noteStream, noteStreams)
	var clients sync.WaitGroup
	for n := range streams {
		streams[n] = &noteStream{versions: map[string]bool{}}
		clients.Go(func() { w.readNote(streams[n], n) })
	}
	time.Sleep(300 * time.Millisecond)
	for n := range fresh {
		if err := fresh[n].start(); err != nil {
			return false, err
		}
		w.note("%s is listed", fresh[n].ID)
		time.Sleep(100 * time.Millisecond)
		old[n].leave()
		w.note("the entry of %s is gone; it serves on", old[n].ID)
	}
	time.Sleep(300 * time.Millisecond)
	if w.hasTrouble {
		w.restartInTurn(2 * time.Second)
	}
	clients.Wait()
	for _, e := range old {
		e.end()
	}
	mixed, complete := 0, 0
	for n, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.complete {
			complete++
		}
		w.note("stream %d: versions %s, last event %s, complete %v", n, strings.Join(slices.Sorted(maps.Keys(s.versions)), " "), s.last, s.complete)
	}
	w.note("%d of %d streams hold events of two versions, more than 2 break ORDER; %d are complete", mixed, noteStreams, complete)
	return mixed > 2, nil
}

// restartInTurn stops all gateways as planned, one after the other with a gap, and starts each again once
// it has ended, as the platform does.
func (w *world) restartInTurn(gap time.Duration) {
	var stops sync.WaitGroup
	for _, g := range w.gateways {
		w.note("SIGTERM to %s", g.name)
		g.stop()
		ended := g.ended
		stops.Go(func() {
			select {
			case <-ended:
			case <-time.After(graceTime):
				w.note("SIGKILL to %s", g.name)
				g.signal(syscall.SIGKILL)
				<-ended
			}
			time.Sleep(restartDelay)
			if err := g.start(); err != nil {
				w.note("%s does not start: %v", g.name, err)
			}
			w.note("%s is started again", g.name)
		})
		time.Sleep(gap)
	}
	stops.Wait()
}

// pickGateway returns the gateway to which the platform passes a client's new connection: one of those that
// are ready, or of all while fewer than half are.
func (w *world) pickGateway(n int) *gateway {
	var ready []*gateway
	for _, g := range w.gateways {
		if g.isReady() {
			ready = append(ready, g)
		}
	}
	if 2*len(ready) < len(w.gateways) {
		ready = w.gateways
	}
	return ready[n%len(ready)]
}

// readNote reads a stream as a client does: it takes the stream up after a broken connection, and
// comes back when it is told to.
func (w *world) readNote(s *noteStream, n int) {
	deadline := time.Now().Add(noteTimeout)
	for attempt := range maxTries {
		g := w.pickGateway(n + attempt)
		t := try{
			Method: http.MethodPost, Host: "pule25.example", Path: "/puxa400/2f", ID: fmt.Sprintf("%08x%08x", n+1, attempt+1), Deadline: deadline, Body: "note",
			Fields: map[string]string{"Model": "m", "Token-Usage": "300,180", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:100", n+1)},
		}
		if s.path != "" {
			t.Path = s.path
		}
		if s.last != "" {
			t.Fields["Last-Event-Id"], t.Fields["Resumes"] = s.last, s.begunBy
		}
		wait := w.tryNote(s, t, g)
		if s.complete || time.Until(deadline) < wait {
			return
		}
		time.Sleep(wait)
	}
}

// tryNote makes one attempt, and returns how long the client waits before the next one.
func (w *world) tryNote(s *noteStream, t try, g *gateway) time.Duration {
	w.note("client sends %s to %s after event %q of %q", t.ID, g.name, t.Fields["Last-Event-Id"], t.Fields["Resumes"])
	isTakeUp, inTouch := s.last != "", g.inTouch()
	resp, c, err := t.send(g.clients)
	if err != nil {
		w.note("%s: %v", t.ID, err)
		return retryPause
	}
	defer c.Close()
	s.sentInTouch = s.sentInTouch || !isTakeUp && inTouch
	s.takenUp = s.takenUp || isTakeUp && inTouch
	if resp.StatusCode != http.StatusOK {
		w.note("%s: status %d, Retry-After %s", t.ID, resp.StatusCode, resp.Header.Get("Retry-After"))
		return max(retryAfter(resp), 100*time.Millisecond)
	}
	err = readEvents(resp.Body, func(e streamEvent) {
		if s.begunBy == "" {
			s.begunBy = t.ID
		}
		version, _, _ := strings.Cut(e.data, " ")
		s.last, s.versions[version] = e.id, true
		s.beganInTouch = s.beganInTouch || !isTakeUp && inTouch
		s.wentOn = s.wentOn || isTakeUp && inTouch
	})
	s.complete = err == nil
	w.note("%s: ended after event %s, error %v", t.ID, s.last, err)
	return retryPause
}
