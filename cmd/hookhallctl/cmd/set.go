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

const longSet = `Changes cells of one row; a row that does not exist is made.

All cells change together or none. A cell that someone else changed since it was
read is a conflict, which shows what it holds now; --force overrides. An empty
value sets the default.

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

// Execute implements flags.Commander.
func (c *setCommand) Execute([]string) error {
	sheet, row, err := splitRow(c.Args.Row)
	if err != nil {
		return err
	}
	a, err := readTable(string(sheet))
	if err != nil {
		return err
	}
	base := map[string]string{}
	for _, r := range a.Rows {
		if r.Name == row {
			base = r.Cells
		}
	}
	var edits []hookhall.Edit
	for _, cell := range c.Args.Cells {
		column, value, ok := strings.Cut(cell, "=")
		if !ok {
			return errors.Errorf("%q is not COLUMN=VALUE", cell)
		}
		edits = append(edits, hookhall.Edit{Sheet: sheet, Row: row, Column: column, Value: value, Base: base[column], Force: c.Force})
	}
	return editAndPrint(edits)
}

func editAndPrint(edits []hookhall.Edit) error {
	out, err := edit(edits)
	if err != nil {
		return err
	}
	return printOutcome(out)
}

func printOutcome(out tables.Outcome) error {
	if options.JSON {
		return printJSON(out)
	}
	var halls []string
	for h := range out.InForce {
		halls = append(halls, h)
	}
	sort.Strings(halls)
	fmt.Fprintf(stdout, "accepted as version %d; in force in %s\n", out.Version, strings.Join(halls, ", "))
	if len(out.OutOfReach) > 0 {
		sort.Strings(out.OutOfReach)
		fmt.Fprintf(stdout, "out of reach, to follow: %s\n", strings.Join(out.OutOfReach, ", "))
	}
	return nil
}
