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

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	p, err := load.Named(c.Profile)
	if err != nil {
		return err
	}
	entries := strings.Split(c.Entries, ",")
	list := load.Plan{Profile: p, Rate: c.Rate, Duration: c.Time, Seed: c.Seed, Entries: len(entries), Burst: c.Burst}.Draw()
	first, _ := cli.Signals()
	client := load.NewClient()
	defer client.Close()
	outcomes := load.Run(first, client, entries, p, list, func(sent, ended int) {
		fmt.Fprintf(os.Stderr, "sent %d of %d, ended %d\n", sent, len(list), ended)
	})
	var audit *load.Audit
	if c.List != "" {
		ledger, err := load.ReadLedgers(c.List)
		if err != nil {
			return err
		}
		audit = load.Check(p, outcomes, ledger)
	}
	all, kinds := load.Summarize(outcomes)
	load.Print(os.Stdout, all, kinds, audit)
	if audit != nil && !audit.Clean() {
		return errors.New("the audit found faults")
	}
	return nil
}

type onceCommand struct {
	Profile string `long:"profile" default:"mixed" description:"fuel, venue or mixed."`
	Kind    string `long:"kind" default:"explain" description:"Kind of request in the profile."`
	Entries string `long:"entries" required:"true" description:"IP:port of an entry."`
}

// Execute implements flags.Commander.
func (c *onceCommand) Execute([]string) error {
	p, err := load.Named(c.Profile)
	if err != nil {
		return err
	}
	for _, k := range p.Kinds {
		if k.Name != c.Kind {
			continue
		}
		tag := fmt.Sprintf("once-%d", time.Now().UnixNano())
		key := load.Account{Name: k.Account}.Key()
		o := load.NewClient().Send(context.Background(), c.Entries, key, k, tag, tag)
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		if o.Problem != nil {
			return e.Encode(o.Problem)
		}
		if o.Err != nil {
			return o.Err
		}
		return e.Encode(struct {
			RequestID string  `json:"request_id"`
			Output    string  `json:"output"`
			TookMS    float64 `json:"took_ms"`
			Cost      any     `json:"cost"`
		}{o.RequestID, o.Output, float64(o.Took.Microseconds()) / 1000, o.Cost})
	}
	return errors.Errorf("profile %s has no kind %q", p.Name, c.Kind)
}

type tableCommand struct {
	Args struct {
		Profile string `positional-arg-name:"PROFILE" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *tableCommand) Execute([]string) error {
	p, err := load.Named(c.Args.Profile)
	if err != nil {
		return err
	}
	w := csv.NewWriter(os.Stdout)
	if err := w.Write([]string{"sheet", "row", "column", "value"}); err != nil {
		return err
	}
	for _, e := range p.Edits() {
		if err := w.Write([]string{string(e.Sheet), e.Row, e.Column, e.Value}); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
