// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package cli has what hookhall's programs share as command-line programs: flags,
// the version, exit codes and signal handling.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage reports a mistake on the command line or in the settings.
	ExitUsage = 2
)

// Common has the flags that every program accepts.
type Common struct {
	Version bool `long:"version" description:"Print the version and exit."`
}

// Version returns the version of the main module, followed by the first 12
// characters of the commit it was built from if the build recorded one, or "unknown"
// without build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return info.Main.Version + " " + s.Value[:min(12, len(s.Value))]
		}
	}
	return info.Main.Version
}

// Parse parses the command line into the data that p was made with. c must be the
// Common of that data. On --help, --version or a mistake Parse prints and exits
// instead of returning.
func Parse(p *flags.Parser, c *Common) {
	p.Options &^= flags.PrintErrors
	_, err := p.Parse()
	if c.Version {
		fmt.Println(p.Name, Version())
		os.Exit(ExitOK)
	}
	if err == nil {
		return
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		os.Exit(ExitOK)
	}
	Fail(p.Name, err, ExitUsage)
}

// Fail prints err to standard error, prefixed with the program's name, and exits
// with code.
func Fail(name string, err error, code int) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(code)
}

// Signals returns two contexts: one that is canceled by the first SIGTERM or SIGINT,
// and one that is canceled by the second.
func Signals() (first, second context.Context) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		cancelFirst()
		<-signals
		cancelSecond()
	}()
	return first, second
}

// NoSignal is an os.Signal that is never sent. Given to the application framework as
// its only stop signal, it keeps the framework from handling SIGTERM itself: with an
// empty list it would handle all signals, and a planned stop must drain first.
type NoSignal struct{}

// Signal implements os.Signal.
func (NoSignal) Signal() {}

// String implements os.Signal.
func (NoSignal) String() string { return "none" }

// OnHangup calls f on each SIGHUP, whose default action would end the process. Calls
// of f do not overlap.
func OnHangup(f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			f()
		}
	}()
}

// OnDump calls f on each SIGUSR2. Calls of f do not overlap.
func OnDump(f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR2)
	go func() {
		for range signals {
			f()
		}
	}()
}
