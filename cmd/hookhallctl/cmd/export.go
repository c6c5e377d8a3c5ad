// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"encoding/csv"
	"sort"
)

const exportDescription = `Prints all cells as CSV, sorted, in the form that import reads.

Example:
  hookhallctl export > table.csv`

type exportCommand struct{}

// Execute implements flags.Commander. It prints all cells, sorted by column within
// each row.
func (c *exportCommand) Execute([]string) error {
	answer, err := readTable("")
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(answer.Rows)
	}
	writer := csv.NewWriter(stdout)
	if err := writer.Write(csvHeader); err != nil {
		return err
	}
	for _, r := range answer.Rows {
		var columns []string
		for column := range r.Cells {
			columns = append(columns, column)
		}
		sort.Strings(columns)
		for _, column := range columns {
			if err := writer.Write([]string{string(r.Sheet), r.Name, column, r.Cells[column]}); err != nil {
				return err
			}
		}
	}
	writer.Flush()
	return writer.Error()
}
