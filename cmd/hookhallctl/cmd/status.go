// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/hookhall/hookhall/internal/app/admin"
	"github.com/hookhall/hookhall/internal/transport/operators"
	"github.com/pkg/errors"
)

const statusDescription = `Shows the members of the fleet: whether each answers, and which epoch and table
version it has in force.

Example:
  hookhallctl status`

type statusCommand struct{}

// Execute implements flags.Commander. It prints the view's epoch, the table
// version and one line for each member, including unfenced ones.
func (c *statusCommand) Execute([]string) error {
	var status admin.Status
	if _, err := call(http.MethodGet, options.Admin, operators.PathStatus, nil, nil, &status); err != nil {
		return err
	}
	if options.JSON {
		return printJSON(status)
	}
	if status.Error != "" {
		return errors.New(status.Error)
	}
	fmt.Fprintf(stdout, "epoch %d  table version %d\n", status.Epoch, status.TableVersion)
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tHALL\tADDRESS\tANSWERS\tEPOCH\tTABLE")
	for _, m := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d\t%d\n", m.ID, m.Hall, m.Address, m.Answers, m.Epoch, m.TableVersion)
	}
	for _, m := range status.Unfenced {
		fmt.Fprintf(table, "%s\t%s\t%s\tunfenced\t-\t-\n", m.ID, m.Hall, m.Address)
	}
	return table.Flush()
}
