// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hookhall/hookhall/internal/lab"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/pkg/errors"
)

type experimentCommand struct {
	Scenario string        `long:"scenario" default:"load" description:"Group of scenarios: load or faults."`
	Only     string        `long:"only" description:"Play only scenarios whose name has this in it."`
	Policies string        `long:"policies" default:"baseline,clock,window,order,routing,product" description:"Policies, with commas."`
	Profile  string        `long:"profile" default:"mixed" description:"fuel, venue or mixed."`
	Entries  int           `long:"entries" default:"3" description:"Entries of the fleet."`
	Time     time.Duration `long:"time" default:"6s" description:"Length of a run after its warm-up."`
	Kinds    bool          `long:"kinds" description:"Print a table by kind of request for each run, too."`
	Seed     uint64        `long:"seed" default:"1" description:"Seed of the arrivals."`
}

// Execute implements flags.Commander. It plays the chosen scenarios under each
// policy with the same arrivals and prints the results.
func (c *experimentCommand) Execute([]string) error {
	profile, err := load.ProfileNamed(c.Profile)
	if err != nil {
		return err
	}
	experiment := lab.Experiment{Profile: profile, EntryCount: c.Entries, RunDuration: c.Time, Seed: c.Seed}
	for _, name := range strings.Split(c.Policies, ",") {
		policy, err := lab.PolicyNamed(name)
		if err != nil {
			return err
		}
		experiment.Policies = append(experiment.Policies, policy)
	}
	for _, scenario := range lab.ScenariosByGroup[c.Scenario] {
		if strings.Contains(scenario.Name, c.Only) {
			experiment.Scenarios = append(experiment.Scenarios, scenario)
		}
	}
	if len(experiment.Scenarios) == 0 {
		return errors.Errorf("no scenario of group %q has a name that contains %q; the groups are load and faults", c.Scenario, c.Only)
	}
	rows, err := experiment.Run(context.Background(), os.Stdout)
	for _, r := range rows {
		if c.Kinds {
			fmt.Printf("%s, %s\n", r.Scenario, r.Policy)
			load.PrintReport(os.Stdout, r.All, r.Kinds, r.Audit)
			fmt.Println()
		}
	}
	return err
}
