// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"fmt"
	"sort"
	"strings"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/tables"
	"github.com/pkg/errors"
)

const setDescription = `Changes cells of one row; a row that does not exist is created.

All cells change together or none. A cell that someone else changed since it was
read is a conflict, reported with the cell's current value; --force overwrites
it. An empty value sets the default.

Examples:
  hookhallctl set accounts/acme priority=7 rate=200
  hookhallctl set classes/dispute deadline_ms=`

type setCommand struct {
	Force bool `long:"force" description:"Set even if the cells were changed meanwhile."`
	Args  struct {
		Row   string   `positional-arg-name:"SHEET/ROW" required:"true"`
		Cells []string `positional-arg-name:"COLUMN=VALUE" required:"1"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It reads the row, sets the cells if they have
// not changed since, or in any case with --force, and prints the outcome.
func (c *setCommand) Execute([]string) error {
	sheet, row, err := parseRow(c.Args.Row)
	if err != nil {
		return err
	}
	answer, err := readTable(string(sheet))
	if err != nil {
		return err
	}
	baseCells := map[string]string{}
	for _, r := range answer.Rows {
		if r.Name == row {
			baseCells = r.Cells
		}
	}
	var edits []hookhall.Edit
	for _, cell := range c.Args.Cells {
		column, value, ok := strings.Cut(cell, "=")
		if !ok {
			return errors.Errorf("%q is not COLUMN=VALUE", cell)
		}
		edits = append(edits, hookhall.Edit{Sheet: sheet, Row: row, Column: column, Value: value, Base: baseCells[column], Force: c.Force})
	}
	return submitAndPrint(edits)
}

// submitAndPrint submits edits and prints their outcome.
func submitAndPrint(edits []hookhall.Edit) error {
	outcome, err := submitEdits(edits)
	if err != nil {
		return err
	}
	return printOutcome(outcome)
}

// printOutcome prints the accepted table version, the halls where it is in force
// and the halls where no entry answered.
func printOutcome(outcome tables.Outcome) error {
	if options.JSON {
		return printJSON(outcome)
	}
	var halls []string
	for hall := range outcome.EntryByHall {
		halls = append(halls, hall)
	}
	sort.Strings(halls)
	fmt.Fprintf(stdout, "accepted as version %d; in force in %s\n", outcome.Version, strings.Join(halls, ", "))
	if len(outcome.Unreachable) > 0 {
		sort.Strings(outcome.Unreachable)
		fmt.Fprintf(stdout, "out of reach, to follow: %s\n", strings.Join(outcome.Unreachable, ", "))
	}
	return nil
}
