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

const longImport = `Sets cells from a CSV file with the columns sheet, row, column, value, as export
prints it. All cells change together or none; rows that the file does not name
stay. "-" reads standard input.

Examples:
  hookhallctl import table.csv
  hookhallctl export | sed s/old/new/ | hookhallctl import -`

type importCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// columnsOfCSV is the file's first line.
var columnsOfCSV = []string{"sheet", "row", "column", "value"}

// Execute implements flags.Commander.
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
	return editAndPrint(edits)
}

func readCSV(file string, in io.Reader) ([]hookhall.Edit, error) {
	r := csv.NewReader(in)
	r.FieldsPerRecord = len(columnsOfCSV)
	lines, err := r.ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	var edits []hookhall.Edit
	for i, l := range lines {
		if i == 0 && l[0] == columnsOfCSV[0] {
			continue
		}
		edits = append(edits, hookhall.Edit{Sheet: hookhall.Sheet(l[0]), Row: l[1], Column: l[2], Value: l[3], Force: true})
	}
	if len(edits) == 0 {
		return nil, errors.Errorf("%s: no cells", file)
	}
	return edits, nil
}
