// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"

	"github.com/hookhall/hookhall/internal/lab"
)

type slopesCommand struct{}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	if err := lab.Sizes(os.Stdout); err != nil {
		return err
	}
	return lab.Slopes(context.Background(), os.Stdout)
}
