// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Command hookhall-load generates open-loop load on entries, measures the
// outcomes and audits them against the targets' ledgers.
package main

import (
	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
)

const longDescription = `hookhall-load generates open-loop load on entries and audits the outcomes.

Its exit code is 1 if any request was lost, got the answer of another request,
ran twice although it must run once, was reported as not run although it ran, or
was answered without a finished run.

Examples:
  hookhall-load table fuel | hookhallctl import -
  hookhall-load run --profile mixed --rate 100 --time 10s --entries 127.0.0.1:8080 --list 127.0.0.1:8501
  hookhall-load once --entries 127.0.0.1:8080 --profile venue --kind caption
  hookhall-load experiment --scenario load --seed 1`

func main() {
	var common cli.Common
	parser := flags.NewNamedParser("hookhall-load", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &common); err != nil {
		cli.Fail(parser.Name, err, cli.ExitUsage)
	}
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"run", "Generate load on running entries", &runCommand{}},
		{"once", "Send one request and print its answer", &onceCommand{}},
		{"table", "Print a profile's table as CSV", &tableCommand{}},
		{"edits", "Edit cells under load and show the effect of each edit", &editsCommand{}},
		{"slopes", "Measure how coordination costs grow with fleet and load, in this process", &slopesCommand{}},
		{"experiment", "Compare policies on the same arrivals, in this process", &experimentCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			cli.Fail(parser.Name, err, cli.ExitUsage)
		}
	}
	cli.Parse(parser, &common)
}
