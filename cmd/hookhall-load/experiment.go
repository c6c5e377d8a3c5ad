// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import "github.com/pkg/errors"

type experimentCommand struct{}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error { return errors.New("not yet") }
