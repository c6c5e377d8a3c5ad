// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-admin serves the operators' interface to the table.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/hookhall/hookhall/internal/app/admin"
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/jessevdk/go-flags"
)

const long = `hookhall-admin serves the operators' interface to the table.

It keeps nothing: any number may run, beside the entries. SIGTERM ends it after
the edits in progress; SIGUSR2 prints a state dump.

Examples:
  hookhall-admin --config admin.toml
  hookhall-admin --config admin.toml --check-config`

func main() {
	var o struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	p := flags.NewNamedParser("hookhall-admin", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	cli.Parse(p, &o.Common)
	s := settings.DefaultAdmin()
	if err := settings.Load(o.Config, &s); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	if o.Check {
		fmt.Println("settings are fine")
		return
	}
	a, err := admin.New(s, os.Stderr)
	if err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
	cli.OnDump(func() { _ = json.NewEncoder(os.Stderr).Encode(a.State()) })
	first, _ := cli.Signals()
	if err := a.Run(first); err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
}
