// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-load makes load, measures and audits.
package main

import (
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
)

const long = `hookhall-load makes open-loop load on entries and audits what became of it.

It ends with 1 if any request was lost, swapped, doubled or falsely called not
run.

Examples:
  hookhall-load table fuel | hookhallctl import -
  hookhall-load run --profile mixed --rate 100 --time 10s --entries 127.0.0.1:8080 --list 127.0.0.1:8501
  hookhall-load once --entries 127.0.0.1:8080 --profile venue --kind caption
  hookhall-load experiment --scenario load --seed 1`

func main() {
	var common cli.Common
	p := flags.NewNamedParser("hookhall-load", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	p.SubcommandsOptional = true
	if _, err := p.AddGroup("Options", "", &common); err != nil {
		cli.Fail(p.Name, err, cli.ExitUsage)
	}
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"run", "Make load on running entries", &runCommand{}},
		{"once", "Send one request and print its answer", &onceCommand{}},
		{"table", "Print a profile's table as CSV", &tableCommand{}},
		{"edits", "Edit cells during load and show what they do", &editsCommand{}},
		{"slopes", "Measure what control costs as things grow, in this process", &slopesCommand{}},
		{"experiment", "Compare policies on the same arrivals, in this process", &experimentCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			cli.Fail(p.Name, err, cli.ExitUsage)
		}
	}
	cli.Parse(p, &common)
}
