// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	crowdGateways = 4
	crowdEngines  = 18
	// crowdStreams streams with one path begin, one each crowdPause; otherStreams streams with paths of
	// their own begin meanwhile and afterwards, one each otherPause.
	crowdStreams = 180
	crowdPause   = 20 * time.Millisecond
	otherStreams = 60
	otherPause   = 200 * time.Millisecond
)

// crowdCrashes are the two crashes of engines: how long after the first stream, of how many, and for how long.
var crowdCrashes = []struct {
	after time.Duration
	count int
	down  time.Duration
}{
	{4 * time.Second, 3, 3800 * time.Millisecond},
	{7 * time.Second, 4, 2 * time.Second},
}

// playCrowd lets engines crash twice while many streams with the same path run. Clients take up the
// streams that are cut.
func playCrowd(w *world) (bool, error) {
	w.putNoteRoute()
	engines := make([]*engine, crowdEngines)
	for n := range engines {
		engines[n] = &engine{w: w, ID: fmt.Sprintf("i-pool%d", n), Service: "pool", Hall: "ikeja", Version: "v1", Events: noteEvents, Gap: noteGap, Quiet: true, Born: time.Now().UnixMilli()}
		if err := engines[n].start(); err != nil {
			return false, err
		}
	}
	for n := range crowdGateways {
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
	var running sync.WaitGroup
	if w.hasTrouble {
		next := 0
		for _, c := range crowdCrashes {
			crashing := engines[next : next+c.count]
			next += c.count
			running.Go(func() { w.crashOnce(crashing, c.after, c.down) })
		}
	}
	streams := make([]*noteStream, crowdStreams+otherStreams)
	for n := range streams {
		streams[n] = &noteStream{versions: map[string]bool{}}
	}
	running.Go(func() {
		for n := range otherStreams {
			s := streams[crowdStreams+n]
			s.path = fmt.Sprintf("/puxa400/%x", 0x1000+n)
			running.Go(func() { w.readNote(s, crowdStreams+n) })
			time.Sleep(otherPause)
		}
	})
	for n := range crowdStreams {
		running.Go(func() { w.readNote(streams[n], n) })
		time.Sleep(crowdPause)
	}
	running.Wait()
	return w.judgeTakeUps(streams)
}

// crashOnce crashes engines after a time, and starts them again under their ids.
func (w *world) crashOnce(engines []*engine, after, down time.Duration) {
	time.Sleep(after)
	for _, e := range engines {
		w.note("%s crashes", e.ID)
		e.crash()
	}
	time.Sleep(down)
	for _, e := range engines {
		if err := e.restart(); err != nil {
			w.note("%s does not start: %v", e.ID, err)
			continue
		}
		w.note("%s is back", e.ID)
	}
}
