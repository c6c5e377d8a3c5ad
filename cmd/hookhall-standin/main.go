// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-standin runs stand-ins for the platform's services and for
// targets, for tests and the demo.
package main

import (
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
)

const longDescription = `hookhall-standin runs simple stand-ins for the services that hookhall depends on.

Each prints its address once it listens, serves its fault switches and counters
under the path /standin/, and ends on SIGTERM.

Examples:
  hookhall-standin kv --listen 127.0.0.1:8500
  hookhall-standin instances --listen 127.0.0.1:8501 --lag 2s
  hookhall-standin targets --list 127.0.0.1:8501 --pool engines --count 4 --token 3ms`

func main() {
	var common cli.Common
	parser := flags.NewNamedParser("hookhall-standin", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	parser.SubcommandsOptional = true
	for _, err := range []error{
		addOptionGroup(parser, &common),
		addCommand(parser, "kv", "Run the key-value service", &kvCommand{}),
		addCommand(parser, "instances", "Run the instance list", &instancesCommand{}),
		addCommand(parser, "targets", "Run targets of one pool", &targetsCommand{}),
	} {
		if err != nil {
			cli.Fail(parser.Name, err, cli.ExitUsage)
		}
	}
	cli.Parse(parser, &common)
}

// addOptionGroup adds the flags of every hookhall program to parser.
func addOptionGroup(parser *flags.Parser, common *cli.Common) error {
	_, err := parser.AddGroup("Options", "", common)
	return err
}

// addCommand adds a command to parser, with short as its help text.
func addCommand(parser *flags.Parser, name, short string, data any) error {
	_, err := parser.AddCommand(name, short, short+".", data)
	return err
}
