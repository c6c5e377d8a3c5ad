// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/hookhall/hookhall"
)

const getDescription = `Shows the rows of a sheet, or one row, as the key-value service stores them.

Examples:
  hookhallctl get accounts
  hookhallctl get stages/recap/1-encode
  hookhallctl get --json`

type getCommand struct {
	Args struct {
		What string `positional-arg-name:"SHEET[/ROW]"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It prints the rows that match SHEET[/ROW], or
// all rows without it.
func (c *getCommand) Execute([]string) error {
	sheet, row, _ := strings.Cut(c.Args.What, "/")
	answer, err := readTable(sheet)
	if err != nil {
		return err
	}
	rows := answer.Rows[:0]
	for _, r := range answer.Rows {
		if row == "" || r.Name == row {
			rows = append(rows, r)
		}
	}
	answer.Rows = rows
	if options.JSON {
		return printJSON(answer)
	}
	return printRows(rows)
}

// printRows prints one line for each row, with its cells sorted by column.
func printRows(rows []hookhall.Row) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		var cells []string
		for column, value := range r.Cells {
			cells = append(cells, column+"="+value)
		}
		sort.Strings(cells)
		fmt.Fprintf(table, "%s/%s\t%s\n", r.Sheet, r.Name, strings.Join(cells, "  "))
	}
	return table.Flush()
}
