// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "github.com/hookhall/hookhall"

const longLeave = `Marks a target as leaving: it gets no new work from any entry within seconds,
and finishes what it has.

Example:
  hookhallctl leave engines-hall-1-0`

const longReturn = `Takes the mark of leaving off a target.

Example:
  hookhallctl return engines-hall-1-0`

type leaveCommand struct {
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *leaveCommand) Execute([]string) error { return editAndPrint(leaving(c.Args.Target, "true")) }

type returnCommand leaveCommand

// Execute implements flags.Commander.
func (c *returnCommand) Execute([]string) error { return editAndPrint(leaving(c.Args.Target, "")) }

func leaving(target, value string) []hookhall.Edit {
	return []hookhall.Edit{{Sheet: hookhall.SheetTargets, Row: target, Column: "leaving", Value: value, Force: true}}
}
