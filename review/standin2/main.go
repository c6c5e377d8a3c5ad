// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command standin2 plays the cases of the second independent review: it starts gateways as separate
// processes, and plays the platform's store, the engines and the clients around them.
//
// The first argument names the case, and the second one the file of the record. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the
// environment the case is played without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the function of each case. It returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"versions": playVersions,
	"pipeline": playPipeline,
	"surplus":  playSurplus,
	"takeups":  playTakeUps,
	"crowd":    playCrowd,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(run func(w *world) (bool, error), record string) int {
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	go w.endEarly()
	broken, err := run(w)
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		w.note("result: the rule was broken")
		return exitBroken
	}
	w.note("result: the rule held")
	return exitHeld
}

// maxDuration is how long a case may take.
const maxDuration = 110 * time.Second

// endEarly ends the case, with all processes that it has started, when it is told to or takes too long.
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		w.note("the case is ended by %v", s)
	case <-time.After(maxDuration):
		w.note("the case takes too long")
	}
	w.close()
	os.Exit(exitFailed)
}

// sinceStart returns the time since the start of the case in seconds.
func (w *world) sinceStart() float64 { return time.Since(w.started).Seconds() }
