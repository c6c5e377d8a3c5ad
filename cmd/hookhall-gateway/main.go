// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-gateway forwards clients' requests to the targets of the
// users' platform.
package main

import "C" // enables cgo: the platform links its programs against the system's C library

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/app/gateway"
	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/transport/upstream"
	"github.com/hookhall/hookhall/platform"
	"github.com/jessevdk/go-flags"
)

const longDescription = `hookhall-gateway forwards clients' requests to the targets of the users'
platform, as configured in the operators' table in the platform's store.

SIGTERM begins a planned stop, which lets the requests in progress finish.
SIGHUP reads the settings again and logs which changes need a restart. SIGUSR2
prints a state dump.

Examples:
  hookhall-gateway --config gateway.toml
  hookhall-gateway --config gateway.toml --check-config`

func main() {
	var options struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE" required:"true"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	parser := flags.NewNamedParser("hookhall-gateway", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	cli.Parse(parser, &options.Common)
	s := loadSettings(parser.Name, options.Config)
	if options.Check {
		fmt.Println("settings are fine")
		return
	}
	stop, _ := cli.Signals()
	pool := upstream.NewPool()
	targets := &platform.TargetClient{Connections: pool}
	g, err := gateway.New(s, gateway.Adapters{
		Store: platform.NewStore(s.Store.Address), StoreSchema: platform.StoreKeys{}, RolloutSchema: platform.StoreKeys{}, Dialect: platform.Dialect{},
		Sender: targets, Identifier: targets, StagePool: targets, Advisories: targets, Connections: pool,
	}, os.Stdout)
	if err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
	cli.OnHangup(func() { g.Reload(options.Config) })
	cli.OnDump(func() { _ = json.NewEncoder(os.Stdout).Encode(g.State()) })
	if err := g.Run(stop); err != nil {
		cli.Fail(parser.Name, err, cli.ExitFailed)
	}
}

// loadSettings returns the settings in the file at path. If they can't be read or
// are invalid, it exits the process with cli.ExitUsage; name is the program's
// name in the message.
func loadSettings(name, path string) settings.Gateway {
	s := settings.DefaultGateway()
	if err := settings.Load(path, &s); err != nil {
		cli.Fail(name, err, cli.ExitUsage)
	}
	return s
}
