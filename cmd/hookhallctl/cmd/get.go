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

const longGet = `Shows the rows of a sheet, or one row, as the service holds them.

Examples:
  hookhallctl get accounts
  hookhallctl get stages/recap/1-encode
  hookhallctl get --json`

type getCommand struct {
	Args struct {
		What string `positional-arg-name:"SHEET[/ROW]"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	sheet, row, _ := strings.Cut(c.Args.What, "/")
	a, err := readTable(sheet)
	if err != nil {
		return err
	}
	rows := a.Rows[:0]
	for _, r := range a.Rows {
		if row == "" || r.Name == row {
			rows = append(rows, r)
		}
	}
	a.Rows = rows
	if options.JSON {
		return printJSON(a)
	}
	return printRows(rows)
}

func printRows(rows []hookhall.Row) error {
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		var cells []string
		for k, v := range r.Cells {
			cells = append(cells, k+"="+v)
		}
		sort.Strings(cells)
		fmt.Fprintf(t, "%s/%s\t%s\n", r.Sheet, r.Name, strings.Join(cells, "  "))
	}
	return t.Flush()
}
