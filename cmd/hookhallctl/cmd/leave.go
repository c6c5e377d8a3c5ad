// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "github.com/hookhall/hookhall"

const leaveDescription = `Marks a target as leaving: within seconds no entry gives it new work, and it
finishes the work that it has.

Example:
  hookhallctl leave engines-hall-1-0`

const returnDescription = `Removes the leaving mark from a target, so that it gets new work again.

Example:
  hookhallctl return engines-hall-1-0`

type leaveCommand struct {
	Args struct {
		Target string `positional-arg-name:"TARGET" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It sets the leaving mark of the target.
func (c *leaveCommand) Execute([]string) error {
	return submitAndPrint(leavingEdits(c.Args.Target, "true"))
}

type returnCommand leaveCommand

// Execute implements flags.Commander. It removes the leaving mark of the target.
func (c *returnCommand) Execute([]string) error {
	return submitAndPrint(leavingEdits(c.Args.Target, ""))
}

// leavingEdits returns the edit that sets the cell leaving of a target: "true"
// to mark it, empty to remove the mark.
func leavingEdits(target, value string) []hookhall.Edit {
	return []hookhall.Edit{{Sheet: hookhall.SheetTargets, Row: target, Column: "leaving", Value: value, Force: true}}
}
