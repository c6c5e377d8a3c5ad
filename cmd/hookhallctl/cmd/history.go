// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "fmt"

const longHistory = `Shows the ids and versions of the newest edits, oldest first.

Example:
  hookhallctl history`

type historyCommand struct{}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	a, err := readTable("")
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(a.Edits)
	}
	for _, e := range a.Edits {
		fmt.Fprintf(stdout, "%d  %s\n", e.Version, e.ID)
	}
	return nil
}
