// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package cmd

import "fmt"

const historyDescription = `Shows the IDs and table versions of the newest edits, oldest first.

Example:
  hookhallctl history`

type historyCommand struct{}

// Execute implements flags.Commander. It prints one line for each edit that the
// admin lists.
func (c *historyCommand) Execute([]string) error {
	answer, err := readTable("")
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(answer.Edits)
	}
	for _, e := range answer.Edits {
		fmt.Fprintf(stdout, "%d  %s\n", e.Version, e.ID)
	}
	return nil
}
