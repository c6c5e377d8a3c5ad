// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package cmd implements the commands of hookhallctl, one file each.
//
// # Model
//
// A command is a struct whose fields are its flags and whose Execute method runs
// it, mostly through the HTTP client in client.go. Output has a fixed order, so that
// equal states print equally; with --json it is one JSON document.
//
// # Invariants
//
//   - Nothing is printed to standard output but the command's result.
//   - The exit code is 0 for success, 1 for a refusal or failure, and 2 for wrong
//     usage.
package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

const programName = "hookhallctl"

const rootDescription = `hookhallctl reads and edits the operators' table, and shows the state of the fleet.

The admin's address and the operators' token come from --admin and --token, or
from HOOKHALL_ADMIN and HOOKHALL_TOKEN.

Examples:
  hookhallctl get accounts
  hookhallctl set accounts/acme priority=7 rate=200
  hookhallctl import table.csv
  hookhallctl export | grep accounts
  hookhallctl leave engines-hall-1-0
  hookhallctl status --json`

// globalOptions are the flags that every command accepts.
type globalOptions struct {
	cli.Common
	Admin string `long:"admin" env:"HOOKHALL_ADMIN" description:"IP:port of an admin." value-name:"ADDRESS"`
	Token string `long:"token" env:"HOOKHALL_TOKEN" description:"The operators' token."`
	JSON  bool   `long:"json" description:"Print one JSON document."`
}

// options holds the parsed global flags; the parser sets it before a command
// runs.
var options globalOptions

// Streams of the commands, as variables so that tests can replace them.
var (
	stdin  io.Reader = os.Stdin
	stdout io.Writer = os.Stdout
)

// commands lists the commands in the order of the help text.
var commands = []struct {
	name, short, long string
	data              any
}{
	{"get", "Show rows of the table", getDescription, &getCommand{}},
	{"set", "Change cells of a row", setDescription, &setCommand{}},
	{"delete", "Delete a row", deleteDescription, &deleteCommand{}},
	{"import", "Set many cells from a CSV file", importDescription, &importCommand{}},
	{"export", "Print all cells as CSV", exportDescription, &exportCommand{}},
	{"history", "Show the newest edits", historyDescription, &historyCommand{}},
	{"leave", "Stop giving a target new work", leaveDescription, &leaveCommand{}},
	{"return", "Resume giving a target work", returnDescription, &returnCommand{}},
	{"status", "Show the fleet's members", statusDescription, &statusCommand{}},
	{"dump", "Show the state of one process", dumpDescription, &dumpCommand{}},
	{"explain", "Explain why an account's requests are refused", explainDescription, &explainCommand{}},
	{"crashes", "Show or release refused requests that crash targets", crashesDescription, &crashesCommand{}},
	{"trace", "Print the log lines of one request from all gateways", traceDescription, &traceCommand{}},
	{"hash-key", "Print the key_sha256 cell of an account's key", hashKeyDescription, &hashKeyCommand{}},
}

// Main runs the command line of the process. It returns on success and exits
// the process with 1 or 2 otherwise.
func Main() {
	parser, err := newParser()
	if err != nil {
		cli.Fail(programName, err, cli.ExitUsage)
	}
	_, err = parser.Parse()
	if options.Version {
		fmt.Fprintln(stdout, programName, cli.Version())
		return
	}
	if err == nil {
		return
	}
	var flagsError *flags.Error
	switch {
	case !errors.As(err, &flagsError):
		cli.Fail(programName, err, cli.ExitFailed)
	case flagsError.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagsError.Message)
	default:
		cli.Fail(programName, err, cli.ExitUsage)
	}
}

// newParser returns a parser with the global flags and all commands.
func newParser() (*flags.Parser, error) {
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = rootDescription
	if _, err := p.AddGroup("Options", "", &options); err != nil {
		return nil, err
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, err
		}
	}
	return p, nil
}
