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

const longStatus = `Shows the members of the fleet: whether each answers, and which epoch and table
version it has in force.

Example:
  hookhallctl status`

type statusCommand struct{}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var s admin.Status
	if _, err := call(http.MethodGet, options.Admin, operators.PathStatus, nil, nil, &s); err != nil {
		return err
	}
	if options.JSON {
		return printJSON(s)
	}
	if s.Error != "" {
		return errors.New(s.Error)
	}
	fmt.Fprintf(stdout, "epoch %d  table version %d\n", s.Epoch, s.Version)
	t := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tHALL\tADDRESS\tANSWERS\tEPOCH\tTABLE")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%d\t%d\n", m.ID, m.Hall, m.Address, m.Answers, m.Epoch, m.TableVersion)
	}
	for _, m := range s.Unfenced {
		fmt.Fprintf(t, "%s\t%s\t%s\tunfenced\t-\t-\n", m.ID, m.Hall, m.Address)
	}
	return t.Flush()
}
