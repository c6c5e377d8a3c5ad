// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package cmd has the commands of hookhallctl, one file each.
//
// # Model
//
// A command is a struct whose fields are its flags and whose Execute does the
// work through the client in client.go. Output is sorted and stable; with
// --json it is one JSON document.
//
// # Invariants
//
//   - Nothing is printed to standard output but the command's result.
//   - The exit code is 0 for done, 1 for refused or failed, 2 for misuse.
package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

const name = "hookhallctl"

const long = `hookhallctl reads and edits the operators' table, and shows what the fleet does.

The admin's address and the operators' token come from --admin and --token, or
from HOOKHALL_ADMIN and HOOKHALL_TOKEN.

Examples:
  hookhallctl get accounts
  hookhallctl set accounts/acme priority=7 rate=200
  hookhallctl import table.csv
  hookhallctl export | grep accounts
  hookhallctl leave engines-hall-1-0
  hookhallctl status --json`

// common are the flags of all commands.
type common struct {
	cli.Common
	Admin string `long:"admin" env:"HOOKHALL_ADMIN" description:"IP:port of an admin." value-name:"ADDRESS"`
	Token string `long:"token" env:"HOOKHALL_TOKEN" description:"The operators' token."`
	JSON  bool   `long:"json" description:"Print one JSON document."`
}

// options are shared by the commands; set by the parser.
var options common

// Streams of the commands; tests replace them.
var (
	stdin  io.Reader = os.Stdin
	stdout io.Writer = os.Stdout
)

// commands in the order of their help.
var commands = []struct {
	name, short, long string
	data              any
}{
	{"get", "Show rows of the table", longGet, &getCommand{}},
	{"set", "Change cells of a row", longSet, &setCommand{}},
	{"delete", "Delete a row", longDelete, &deleteCommand{}},
	{"import", "Set many cells from a CSV file", longImport, &importCommand{}},
	{"export", "Print all cells as CSV", longExport, &exportCommand{}},
	{"history", "Show the newest edits", longHistory, &historyCommand{}},
	{"leave", "Give a target no new work", longLeave, &leaveCommand{}},
	{"return", "Give a target work again", longReturn, &returnCommand{}},
	{"status", "Show the fleet's members", longStatus, &statusCommand{}},
	{"dump", "Show the state of one process", longDump, &dumpCommand{}},
	{"explain", "Say why an account's requests are refused", longExplain, &explainCommand{}},
	{"crashes", "Show or lift refusals of requests that end targets", longCrashes, &crashesCommand{}},
	{"trace", "Print what gateways logged of a request", longTrace, &traceCommand{}},
	{"hash-key", "Print the key_sha256 cell of an account's key", longHashKey, &hashKeyCommand{}},
}

// Main runs the command line and exits.
func Main() {
	p, err := newParser()
	if err != nil {
		cli.Fail(name, err, cli.ExitUsage)
	}
	_, err = p.Parse()
	if options.Version {
		fmt.Fprintln(stdout, name, cli.Version())
		return
	}
	if err == nil {
		return
	}
	var f *flags.Error
	switch {
	case !errors.As(err, &f):
		cli.Fail(name, err, cli.ExitFailed)
	case f.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, f.Message)
	default:
		cli.Fail(name, err, cli.ExitUsage)
	}
}

func newParser() (*flags.Parser, error) {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = long
	p.SubcommandsOptional = true
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
