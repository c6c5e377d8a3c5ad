// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"

	"github.com/hookhall/hookhall/internal/lab"
)

type slopesCommand struct{}

// Execute implements flags.Commander. It prints the sizes of stored documents in
// bytes, then how costs grow with entries, targets, accounts and requests.
func (c *slopesCommand) Execute([]string) error {
	if err := lab.PrintDocumentSizes(os.Stdout); err != nil {
		return err
	}
	return lab.MeasureCostGrowth(context.Background(), os.Stdout)
}
