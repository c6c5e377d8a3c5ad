// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-entry accepts callers' requests over HTTP and runs their
// pipelines.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/app/entry"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/jessevdk/go-flags"
)

const longDescription = `hookhall-entry accepts callers' requests over HTTP and runs their pipelines.

It joins the fleet named by its settings. SIGTERM begins a planned stop, which
lets the requests in progress finish; a second SIGTERM ends it early. SIGUSR2
prints a state dump.

Examples:
  hookhall-entry --config entry.toml
  hookhall-entry --config entry.toml --check-config`

// memoryLimitShare is the Go runtime's soft memory limit, as a fraction of the memory that the
// process may use. Near the limit the garbage collector runs more often.
const memoryLimitShare = 0.7

func main() {
	var options struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	parser := flags.NewNamedParser("hookhall-entry", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	cli.Parse(parser, &options.Common)
	s := settings.DefaultEntry()
	if err := settings.Load(options.Config, &s); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	if options.Check {
		fmt.Println("settings are fine")
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Entry.MemoryMB) * (1 << 20)))
	e, err := entry.New(s, os.Stderr)
	if err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
	cli.OnDump(func() { _ = json.NewEncoder(os.Stderr).Encode(e.State()) })
	stop, force := cli.Signals()
	if err := e.Run(stop, force); err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
}
