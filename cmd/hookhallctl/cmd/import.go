// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"encoding/csv"
	"io"
	"os"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

const importDescription = `Sets cells from a CSV file with the columns sheet, row, column, value, as export
prints it. All cells change together or none; rows that the file does not name
are left unchanged. "-" reads standard input.

Examples:
  hookhallctl import table.csv
  hookhallctl export | sed s/old/new/ | hookhallctl import -`

type importCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// csvHeader is the first line that export prints; import skips it.
var csvHeader = []string{"sheet", "row", "column", "value"}

// Execute implements flags.Commander. It sets the cells of FILE in one edit and
// prints the outcome.
func (c *importCommand) Execute([]string) error {
	in := stdin
	if c.Args.File != "-" {
		f, err := os.Open(c.Args.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	edits, err := readCSV(c.Args.File, in)
	if err != nil {
		return err
	}
	return submitAndPrint(edits)
}

// readCSV returns one forced edit for each line of in, and an error if there is
// none. A first line that begins like csvHeader is skipped. file is the name in
// errors.
func readCSV(file string, in io.Reader) ([]hookhall.Edit, error) {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord = len(csvHeader)
	records, err := reader.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	var edits []hookhall.Edit
	for i, record := range records {
		if i == 0 && record[0] == csvHeader[0] {
			continue
		}
		edits = append(edits, hookhall.Edit{Sheet: hookhall.Sheet(record[0]), Row: record[1], Column: record[2], Value: record[3], Force: true})
	}
	if len(edits) == 0 {
		return nil, errors.Errorf("%s: no cells to set", file)
	}
	return edits, nil
}
