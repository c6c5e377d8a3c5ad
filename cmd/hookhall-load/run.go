// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hookhall/hookhall/internal/app/cli"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/pkg/errors"
)

type runCommand struct {
	Profile string        `long:"profile" default:"mixed" description:"fuel, venue or mixed."`
	Rate    float64       `long:"rate" default:"50" description:"Requests a second."`
	Time    time.Duration `long:"time" default:"10s" description:"Length of the load."`
	Seed    uint64        `long:"seed" default:"1" description:"Seed of the arrivals."`
	Burst   float64       `long:"burst" default:"1" description:"Rate of a tenth of each second, against the average."`
	Entries string        `long:"entries" required:"true" description:"IP:port of the entries, with commas."`
	List    string        `long:"list" description:"IP:port of the instance list, whose targets' ledgers are audited."`
}

// Execute implements flags.Commander. It sends the profile's requests to the
// entries, prints a summary and, with --list, audits the targets' ledgers. It
// returns an error if the audit finds a fault.
func (c *runCommand) Execute([]string) error {
	profile, err := load.ProfileNamed(c.Profile)
	if err != nil {
		return err
	}
	entries := strings.Split(c.Entries, ",")
	arrivals := load.Plan{Profile: profile, Rate: c.Rate, Duration: c.Time, Seed: c.Seed, EntryCount: len(entries), BurstFactor: c.Burst}.Draw()
	stop, _ := cli.Signals()
	client := load.NewClient()
	defer client.Close()
	outcomes := load.Run(stop, client, entries, profile, arrivals, func(sent, ended int) {
		fmt.Fprintf(os.Stderr, "sent %d of %d, ended %d\n", sent, len(arrivals), ended)
	})
	var audit *load.Audit
	if c.List != "" {
		ledger, err := load.ReadLedgers(c.List)
		if err != nil {
			return err
		}
		audit = load.AuditOutcomes(profile, outcomes, ledger)
	}
	all, kinds := load.Summarize(outcomes)
	load.PrintReport(os.Stdout, all, kinds, audit)
	if audit != nil && !audit.Clean() {
		return errors.New("the audit found faults; see the counts and examples in the report")
	}
	return nil
}

type onceCommand struct {
	Profile string `long:"profile" default:"mixed" description:"fuel, venue or mixed."`
	Kind    string `long:"kind" default:"explain" description:"Kind of request in the profile."`
	Entries string `long:"entries" required:"true" description:"IP:port of an entry."`
}

// Execute implements flags.Commander. It sends one request of the kind and prints
// its answer, or its problem document, as JSON.
func (c *onceCommand) Execute([]string) error {
	profile, err := load.ProfileNamed(c.Profile)
	if err != nil {
		return err
	}
	for _, kind := range profile.Kinds {
		if kind.Name != c.Kind {
			continue
		}
		tag := fmt.Sprintf("once-%d", time.Now().UnixNano())
		key := load.Account{Name: kind.Account}.Key()
		outcome := load.NewClient().Send(context.Background(), c.Entries, key, kind, tag, tag)
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if outcome.Problem != nil {
			return encoder.Encode(outcome.Problem)
		}
		if outcome.Err != nil {
			return outcome.Err
		}
		return encoder.Encode(struct {
			RequestID string  `json:"request_id"`
			Output    string  `json:"output"`
			TookMS    float64 `json:"took_ms"`
			Cost      any     `json:"cost"`
		}{outcome.RequestID, outcome.Output, float64(outcome.Latency.Microseconds()) / 1000, outcome.Cost})
	}
	return errors.Errorf("profile %s has no request kind %q", profile.Name, c.Kind)
}

type tableCommand struct {
	Args struct {
		Profile string `positional-arg-name:"PROFILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander. It prints the cells of the profile's table as
// CSV, in the form that hookhallctl import reads.
func (c *tableCommand) Execute([]string) error {
	profile, err := load.ProfileNamed(c.Args.Profile)
	if err != nil {
		return err
	}
	writer := csv.NewWriter(os.Stdout)
	if err := writer.Write([]string{"sheet", "row", "column", "value"}); err != nil {
		return err
	}
	for _, edit := range profile.TableEdits() {
		if err := writer.Write([]string{string(edit.Sheet), edit.Row, edit.Column, edit.Value}); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}
