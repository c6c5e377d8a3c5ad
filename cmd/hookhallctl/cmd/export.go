// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"encoding/csv"
	"sort"
)

const longExport = `Prints all cells as CSV, sorted, in the form that import reads.

Example:
  hookhallctl export > table.csv`

type exportCommand struct{}

// Execute implements flags.Commander.
func (c *exportCommand) Execute([]string) error {
	a, err := readTable("")
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(a.Rows)
	}
	w := csv.NewWriter(stdout)
	if err := w.Write(columnsOfCSV); err != nil {
		return err
	}
	for _, r := range a.Rows {
		var names []string
		for n := range r.Cells {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			if err := w.Write([]string{string(r.Sheet), r.Name, n, r.Cells[n]}); err != nil {
				return err
			}
		}
	}
	w.Flush()
	return w.Error()
}
