// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-admin serves the HTTP interface through which operators read
// and edit their table.
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

const longDescription = `hookhall-admin serves the operators' interface to the table.

It is stateless: any number of them may run beside the entries. On SIGTERM it
finishes the edits in progress and ends; SIGUSR2 prints a state dump.

Examples:
  hookhall-admin --config admin.toml
  hookhall-admin --config admin.toml --check-config`

func main() {
	var options struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	parser := flags.NewNamedParser("hookhall-admin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	cli.Parse(parser, &options.Common)
	s := settings.DefaultAdmin()
	if err := settings.Load(options.Config, &s); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	if options.Check {
		fmt.Println("settings are fine")
		return
	}
	a, err := admin.New(s, os.Stderr)
	if err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
	cli.OnDump(func() { _ = json.NewEncoder(os.Stderr).Encode(a.State()) })
	stop, _ := cli.Signals()
	if err := a.Run(stop); err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
}
