// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	takeUpGateways = 6
	// takeUpStreams new streams begin, one each takeUpPause.
	takeUpStreams = 110
	takeUpPause   = 150 * time.Millisecond
	// minTakenUp is from how many streams on that are taken up the rule counts.
	minTakenUp = 12
)

// playTakeUps stops and starts all gateways in turn, as planned, while engines of two versions serve side
// by side. Clients take up the streams that the stops have cut.
func playTakeUps(w *world) (bool, error) {
	w.putNoteRoute()
	for n := range 6 {
		e := &engine{w: w, ID: fmt.Sprintf("i-pool%d", n), Service: "pool", Hall: "ikeja", Version: fmt.Sprintf("v%d", 1+n%2), Events: noteEvents, Gap: noteGap}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	for n := range takeUpGateways {
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
	running.Go(func() {
		time.Sleep(2 * time.Second)
		if w.hasTrouble {
			w.restartInTurn(time.Second)
		}
	})
	streams := make([]*noteStream, takeUpStreams)
	for n := range streams {
		streams[n] = &noteStream{versions: map[string]bool{}}
		running.Go(func() { w.readNote(streams[n], n) })
		time.Sleep(takeUpPause)
	}
	running.Wait()
	return w.judgeTakeUps(streams)
}

// judgeTakeUps returns whether of the streams that clients took up at machines in touch too few went on.
func (w *world) judgeTakeUps(streams []*noteStream) (bool, error) {
	sent, began, takenUp, wentOn := 0, 0, 0, 0
	for n, s := range streams {
		w.note("stream %d: last event %s, complete %v; at machines in touch: sent %v, began %v, taken up %v, went on %v", n, s.last, s.complete, s.sentInTouch, s.beganInTouch, s.takenUp, s.wentOn)
		for _, count := range []struct {
			total *int
			on    bool
		}{{&sent, s.sentInTouch}, {&began, s.beganInTouch}, {&takenUp, s.takenUp}, {&wentOn, s.wentOn}} {
			if count.on {
				*count.total++
			}
		}
	}
	w.note("at machines in touch, %d of %d new streams began, and %d of %d that were taken up went on; of %d or more, under half of the share breaks LOST", began, sent, wentOn, takenUp, minTakenUp)
	if sent == 0 {
		return false, fmt.Errorf("no stream was sent to a machine in touch")
	}
	return takenUp >= minTakenUp && 2*wentOn*sent < began*takenUp, nil
}
