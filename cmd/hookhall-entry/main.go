// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-entry takes callers' requests and runs their pipelines.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/app/entry"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/jessevdk/go-flags"
)

const long = `hookhall-entry takes callers' requests over HTTP and runs their pipelines.

It joins the fleet named by its settings. SIGTERM begins a planned stop, which
cuts nothing off; a second one ends it early. SIGUSR2 prints a state dump.

Examples:
  hookhall-entry --config entry.toml
  hookhall-entry --config entry.toml --check-config`

func main() {
	var o struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	p := flags.NewNamedParser("hookhall-entry", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	cli.Parse(p, &o.Common)
	s := settings.DefaultEntry()
	if err := settings.Load(o.Config, &s); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	if o.Check {
		fmt.Println("settings are fine")
		return
	}
	e, err := entry.New(s, os.Stderr)
	if err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
	cli.OnDump(func() { _ = json.NewEncoder(os.Stderr).Encode(e.State()) })
	first, second := cli.Signals()
	if err := e.Run(first, second); err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
}
