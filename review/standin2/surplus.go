// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The pool of the small deployment: 8 pieces a call, 150 ms a call and 16 ms a piece.
	settleBatch     = 8
	settleCallTime  = 150 * time.Millisecond
	settlePieceTime = 16 * time.Millisecond
	// troubleTime is how long the engines are in trouble at a time, troublePause the pause between two
	// times, and troubles their number.
	troubleTime  = 5 * time.Second
	troublePause = 3 * time.Second
	troubles     = 4
	// shedShare is the share of calls that a faulty engine turns away, and twiceShare that of the answers
	// that it sends twice.
	shedShare, twiceShare = 0.45, 0.03
	// twiceDelay is how late the second answer is.
	twiceDelay    = 150 * time.Millisecond
	settleClients = 56
	settleEngines = 8
)

// settleWorld is what the engines of a pool share.
type settleWorld struct {
	*world
	mu      sync.Mutex
	trouble bool
	last    int
	// madeFor has the request for which each result was made.
	madeFor map[string]string
	mixed   int
	runs    int
}

// inTrouble reports whether the engines are in trouble now.
func (s *settleWorld) inTrouble() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trouble
}

// setTrouble begins or ends the trouble.
func (s *settleWorld) setTrouble(trouble bool) {
	s.note("engines are in trouble: %v", trouble)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
}

// make returns the handle of a new result for a request.
func (s *settleWorld) make(address, request string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	handle := fmt.Sprintf("%s/%08x", address, 0x91bd0000+s.last)
	s.madeFor[handle] = request
	return handle
}

// receive checks the results that a model engine receives for a request.
func (s *settleWorld) receive(request, inputs string) {
	s.mu.Lock()
	others := []string{}
	for _, handle := range strings.Split(inputs, ",") {
		if owner := s.madeFor[handle]; owner != request {
			others = append(others, handle+" of "+owner)
		}
	}
	s.runs++
	if len(others) > 0 {
		s.mixed++
	}
	s.mu.Unlock()
	if len(others) > 0 {
		s.note("request %s receives inputs of other requests: %s", request, strings.Join(others, ", "))
	}
}

// settleEngine is an engine of the pool. While it is in trouble it turns calls away and sends some
// answers twice, the second time late.
type settleEngine struct {
	s       *settleWorld
	ID      string
	isGrey  bool // it can be in trouble
	address string
	work    sync.Mutex // held by the call that is at work

	mu             sync.Mutex
	answers, twice int // while in trouble
	calls, shed    int
}

// start makes the engine listen and writes its entry.
func (e *settleEngine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	go func() {
		for seq := 1; ; seq++ {
			e.s.store.put("servers/"+e.ID, map[string]any{
				"service": "settle", "address": e.address, "zone": "ikeja", "version": "v1", "slots": 1, "state": "ready", "coldLeftMs": 0, "seq": seq,
			})
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// serve answers the requests on a connection, one after the other.
func (e *settleEngine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var write sync.Mutex
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer, isRefusal := e.answer(r, body)
		write.Lock()
		_, err = c.Write(answer)
		write.Unlock()
		if err != nil {
			return
		}
		if isRefusal && e.maySendTwice() {
			time.AfterFunc(twiceDelay, func() {
				write.Lock()
				defer write.Unlock()
				e.s.note("%s sends an answer a second time", e.ID)
				_, _ = c.Write(answer) // fails if the connection has been closed
			})
		}
	}
}

// maySendTwice reports whether the engine sends an answer twice: it is in trouble, and no more than
// its share of answers is.
func (e *settleEngine) maySendTwice() bool {
	if !e.isGrey || !e.s.inTrouble() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if float64(e.twice+1) > twiceShare*float64(e.answers) {
		return false
	}
	e.twice++
	return true
}

// encode returns the bytes of an answer.
func (e *settleEngine) encode(status int, fields, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), e.ID, fields, len(body), body)
}

// answer returns the answer to a request, and whether it says that a call was not run.
func (e *settleEngine) answer(r *http.Request, body []byte) (answer []byte, isRefusal bool) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		return e.encode(http.StatusMisdirectedRequest, "", ""), false
	}
	if e.isGrey && e.s.inTrouble() {
		e.mu.Lock()
		e.answers++
		e.mu.Unlock()
	}
	if r.URL.Path != "/stage-run" {
		return e.encode(http.StatusOK, "", ""), false
	}
	if e.sheds() {
		return e.encode(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", ""), true
	}
	var request struct {
		Items []stageItem `json:"items"`
	}
	if json.NewDecoder(bytes.NewReader(body)).Decode(&request) != nil {
		return e.encode(http.StatusBadRequest, "", ""), false
	}
	e.work.Lock()
	defer e.work.Unlock()
	time.Sleep(settleCallTime + time.Duration(len(request.Items))*settlePieceTime)
	items := []map[string]string{}
	owners := map[string]int{}
	for _, i := range request.Items {
		items = append(items, map[string]string{"handle": e.s.make(e.address, i.ID)})
		owners[i.ID]++
	}
	e.s.note("%s makes pieces of %v", e.ID, owners)
	b, _ := json.Marshal(map[string]any{"items": items})
	return e.encode(http.StatusOK, "", string(b)), false
}

// sheds reports whether the engine turns a call away: it is in trouble, and no more than its share
// of calls is.
func (e *settleEngine) sheds() bool {
	if !e.isGrey || !e.s.inTrouble() {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls++
	if float64(e.shed+1) > shedShare*float64(e.calls) {
		return false
	}
	e.shed++
	return true
}

// playSurplus lets one engine of a pool turn calls away and send a few answers twice.
func playSurplus(w *world) (bool, error) {
	s := &settleWorld{world: w, madeFor: map[string]string{}}
	route := map[string]any{
		"name": "brief", "host": "pule25.example", "pathPrefix": "/puxa400/", "kind": "streaming", "timeoutMs": 8000, "sloMs": 3000, "gapSloMs": 200, "priority": 1,
		"service": "pool", "maxAttempts": 1, "public": false, "sticky": true, "resumable": false,
		"stages": []any{map[string]any{"service": "settle", "sinceRev": []int{}, "bytes": 8000}},
	}
	settle := map[string]any{
		"name": "settle", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
		"pieces": map[string]any{"slots": 1, "queue": 2, "batch": settleBatch, "callMs": 150, "itemMs": 16, "headroomMb": 39, "handleS": 4, "linkMbps": 10000},
	}
	w.store.put("op/config", configOf(7, []any{route}, []any{llmService("pool"), settle}))
	for n := range 2 {
		e := &engine{w: w, ID: fmt.Sprintf("i-pool%d", n), Service: "pool", Hall: "ikeja", Version: "v1", Events: 2, Gap: 10 * time.Millisecond, Quiet: true}
		e.Ran = func(r *http.Request) { s.receive(r.Header.Get("Request-Id"), r.Header.Get("Inputs")) }
		if err := e.start(); err != nil {
			return false, err
		}
	}
	var engines []*settleEngine
	for n := range settleEngines {
		e := &settleEngine{s: s, ID: fmt.Sprintf("i-settle%d", n), isGrey: n == 0}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
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
	end := time.Now().Add(troubles*(troubleTime+troublePause) + troublePause)
	var clients sync.WaitGroup
	for n := range settleClients {
		clients.Go(func() { w.sendBriefs(n, end) })
	}
	time.Sleep(troublePause)
	for range troubles {
		if w.hasTrouble {
			s.setTrouble(true)
		}
		time.Sleep(troubleTime)
		if w.hasTrouble {
			s.setTrouble(false)
		}
		time.Sleep(troublePause)
	}
	clients.Wait()
	for _, e := range engines {
		w.note("%s, while in trouble: %d answers, %d of them sent twice; %d calls, %d of them turned away", e.ID, e.answers, e.twice, e.calls, e.shed)
	}
	w.note("%d requests reached a model engine, %d of them with inputs of another request; one breaks MIXED", s.runs, s.mixed)
	if s.runs == 0 {
		return false, fmt.Errorf("no request reached a model engine")
	}
	return s.mixed > 0, nil
}

// sendBriefs sends requests one after the other until a time.
func (w *world) sendBriefs(n int, end time.Time) {
	g := w.gateways[n%len(w.gateways)]
	for k := 1; time.Now().Before(end); k++ {
		t := try{
			Method: http.MethodPost, Host: "pule25.example", Path: "/puxa400/2f", ID: fmt.Sprintf("%08x%08x", 0xb0+n, k), Deadline: time.Now().Add(8 * time.Second), Body: "brief",
			Fields: map[string]string{
				"Model": "m", "Token-Usage": "300,10", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x%04x:100", n+1, k), "Pieces": fmt.Sprint(settleBatch), "Piece-Key": fmt.Sprintf("7c1e%04x%04x", n, k),
			},
		}
		resp, c, err := t.send(g.clients)
		if err != nil {
			w.note("%s: %v", t.ID, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_ = readEvents(resp.Body, func(streamEvent) {})
		_ = c.Close()
		w.note("%s: status %d", t.ID, resp.StatusCode)
		if wait := retryAfter(resp); wait > 0 {
			time.Sleep(wait)
		}
	}
}
