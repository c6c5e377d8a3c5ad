// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"os"
	"time"

	"github.com/hookhall/hookhall/internal/lab"
	"github.com/hookhall/hookhall/internal/load"
)

type editsCommand struct {
	Profile string        `long:"profile" default:"mixed" description:"fuel, venue or mixed."`
	Times   float64       `long:"times" default:"1.5" description:"Load against the capacity."`
	Phase   time.Duration `long:"phase" default:"6s" description:"Time between edits."`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the arrivals."`
}

// Execute implements flags.Commander. It edits cells one after another, --phase
// apart, during one load and prints the accounts' attainment before the first
// edit and after each.
func (c *editsCommand) Execute([]string) error {
	profile, err := load.ProfileNamed(c.Profile)
	if err != nil {
		return err
	}
	return lab.RunEdits(context.Background(), os.Stdout, profile, c.Times, c.Phase, c.Seed)
}
