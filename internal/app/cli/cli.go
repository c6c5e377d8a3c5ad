// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package cli has what hookhall's programs share on their command lines: flags,
// the version, exit codes and signals.
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

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage is for mistakes on the command line or in settings.
	ExitUsage = 2
)

// Common are the flags of every program.
type Common struct {
	Version bool `long:"version" description:"Print the version and exit."`
}

// Version is the module's version, or the commit it was built from.
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

// Parse parses arguments into data and does not return on --help, --version or
// a mistake.
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
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(f.Message)
		os.Exit(ExitOK)
	}
	Fail(p.Name, err, ExitUsage)
}

// Fail prints err as one message and exits.
func Fail(name string, err error, code int) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	os.Exit(code)
}

// Signals returns a context that ends with the first SIGTERM or SIGINT, and
// one that ends with the second.
func Signals() (first, second context.Context) {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	first, cancelFirst := context.WithCancel(context.Background())
	second, cancelSecond := context.WithCancel(context.Background())
	go func() {
		<-c
		cancelFirst()
		<-c
		cancelSecond()
	}()
	return first, second
}

// NoSignal is a signal that nothing sends: without any, the application
// framework would take all signals, and a planned stop must drain first.
type NoSignal struct{}

// Signal implements os.Signal.
func (NoSignal) Signal() {}

// String implements os.Signal.
func (NoSignal) String() string { return "none" }

// OnHangup calls f on each SIGHUP, which without it would end the process.
func OnHangup(f func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	go func() {
		for range c {
			f()
		}
	}()
}

// OnDump calls f on each SIGUSR2.
func OnDump(f func()) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR2)
	go func() {
		for range c {
			f()
		}
	}()
}
