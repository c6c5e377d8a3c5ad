// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "github.com/hookhall/hookhall"

const deleteDescription = `Deletes a row with all its cells.

Example:
  hookhallctl delete accounts/acme`

type deleteCommand struct {
	Args struct {
		Row string `positional-arg-name:"SHEET/ROW" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It deletes the row and prints the outcome.
func (c *deleteCommand) Execute([]string) error {
	sheet, row, err := parseRow(c.Args.Row)
	if err != nil {
		return err
	}
	return submitAndPrint([]hookhall.Edit{{Sheet: sheet, Row: row, Delete: true}})
}
