// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-gateway passes clients' requests on to the targets of the
// users' platform.
package main

import "C" // the platform links its programs against the system's C library

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

const long = `hookhall-gateway passes clients' requests on to the targets of the users'
platform, by the operators' table in the platform's store.

SIGTERM begins a planned stop, which cuts nothing off. SIGHUP reads the settings
again and tells what needs a restart. SIGUSR2 prints a state dump.

Examples:
  hookhall-gateway --config gateway.toml
  hookhall-gateway --config gateway.toml --check-config`

func main() {
	var o struct {
		cli.Common
		Config string `long:"config" short:"c" description:"The TOML settings." value-name:"FILE" required:"true"`
		Check  bool   `long:"check-config" description:"Check the settings and exit."`
	}
	p := flags.NewNamedParser("hookhall-gateway", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	if _, err := p.AddGroup("Options", "", &o); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	cli.Parse(p, &o.Common)
	s := load(p.Name, o.Config)
	if o.Check {
		fmt.Println("settings are fine")
		return
	}
	first, _ := cli.Signals()
	pool := upstream.NewPool()
	targets := &platform.Targets{Pool: pool}
	g, err := gateway.New(s, gateway.Adapters{
		Store: platform.NewStore(s.Store.Address), Platform: platform.Keys{}, Rollouts: platform.Keys{}, Dialect: platform.Dialect{},
		Sender: targets, Pool: targets, Advisories: targets, Connections: pool,
	}, os.Stdout)
	if err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
	cli.OnHangup(func() { g.Reload(o.Config) })
	cli.OnDump(func() { _ = json.NewEncoder(os.Stdout).Encode(g.State()) })
	if err := g.Run(first); err != nil {
		cli.Fail(p.Name, err, cli.ExitFailed)
	}
}

func load(name, path string) settings.Gateway {
	s := settings.DefaultGateway()
	if err := settings.Load(path, &s); err != nil {
		cli.Fail(name, err, cli.ExitUsage)
	}
	return s
}
