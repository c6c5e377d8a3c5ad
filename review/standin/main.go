// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command standin plays the platform of a small deployment for the cases of the review: the
// metadata store, the targets and the clients are stand-ins in this process, and the gateways
// are processes of the project's own program. All addresses are loopback addresses.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the cases by name. Each returns the number of breaches of its rule.
var cases = map[string]func(w *world) (breaches int, err error){
	"stage-surplus": runStageSurplus,
	"refused":       runRefused,
	"garbage":       runGarbage,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("gateway", "target/hookhall-gateway", "path of the gateway program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	seed := flag.Int64("seed", 1, "seed of the traffic and of the disruption")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath, *trouble, *seed))
}

// run runs a case and returns its exit status.
func run(name, program, recordPath string, trouble bool, seed int64) int {
	runCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	w, err := newWorld(program, recordPath, trouble, seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitFailed)
	}()
	breaches, err := runCase(w)
	w.close()
	switch {
	case err != nil:
		w.record.add("the case could not run: %v", err)
		err = errors.Join(err, w.record.close())
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case breaches > 0:
		w.record.add("RESULT: broken, %d breaches", breaches)
	default:
		w.record.add("RESULT: held")
	}
	if err := w.record.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if breaches > 0 {
		return exitBroken
	}
	return exitHeld
}
