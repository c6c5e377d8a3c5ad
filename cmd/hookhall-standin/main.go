// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-standin runs stand-ins of the platform and of targets, for
// tests and the demo.
package main

import (
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
)

const long = `hookhall-standin runs thin stand-ins of what hookhall works with.

Each prints its address when it listens, has its fault switches and counters
below /standin/, and ends on SIGTERM.

Examples:
  hookhall-standin kv --listen 127.0.0.1:8500
  hookhall-standin instances --listen 127.0.0.1:8501 --lag 2s
  hookhall-standin targets --list 127.0.0.1:8501 --pool engines --count 4 --token 3ms`

func main() {
	var common cli.Common
	p := flags.NewNamedParser("hookhall-standin", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	p.SubcommandsOptional = true
	for _, err := range []error{
		group(p, &common),
		command(p, "kv", "Run the key-value service", &kvCommand{}),
		command(p, "instances", "Run the instance list", &instancesCommand{}),
		command(p, "targets", "Run targets of one pool", &targetsCommand{}),
	} {
		if err != nil {
			cli.Fail(p.Name, err, cli.ExitUsage)
		}
	}
	cli.Parse(p, &common)
}

func group(p *flags.Parser, c *cli.Common) error {
	_, err := p.AddGroup("Options", "", c)
	return err
}

func command(p *flags.Parser, name, short string, data any) error {
	_, err := p.AddCommand(name, short, short+".", data)
	return err
}
