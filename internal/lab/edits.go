// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/load"
)

// EditStep is one edit of the table during a load. Effect is its expected effect, for the
// report.
type EditStep struct {
	Effect string
	Edit   hookhall.Edit
}

// accountEdit returns the edit of one cell of the accounts sheet.
func accountEdit(account, column, value, effect string) EditStep {
	return EditStep{effect, hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: account, Column: column, Value: value, Force: true}}
}

// EditSteps are the edits of the experiment, one at the beginning of each phase but the first.
var EditSteps = []EditStep{
	accountEdit("sponsors", "priority", "8", "sponsors are served before all accounts but station-gateway"),
	accountEdit("fleet-portal", "weight", "8", "fleet-portal gets four times member-bank's share"),
	accountEdit("partners", "rate", "5", "partners may send 5 requests a second"),
	accountEdit("venues", "priority", "0", "venues are served last"),
}

// RunEdits makes the edits during a load of loadFactor times the capacity, one per phase, and
// prints the attainment of each account before the first edit and after each edit.
func RunEdits(ctx context.Context, out io.Writer, p load.Profile, loadFactor float64, phase time.Duration, seed uint64) error {
	lab, err := Start(Settings{EntryCount: 3, Pools: experimentPools(defaultReportLag), Profile: p})
	if err != nil {
		return err
	}
	defer lab.Stop()
	phases := len(EditSteps) + 1
	capacity := Capacity(p)
	plan := load.Plan{Profile: p, Rate: capacity * loadFactor, Duration: warmupTime + time.Duration(phases)*phase + cooldownTime, Seed: seed, EntryCount: 3}
	arrivals := plan.Draw()
	go lab.applyEdits(ctx, phase)
	client := load.NewClient()
	defer client.Close()
	outcomes := load.Run(ctx, client, lab.CallerAddresses(), p, arrivals, nil)
	fmt.Fprintf(out, "profile %s, 3 entries, %.1f times the capacity of %.0f requests/s, seed %d, %v a phase\n", p.Name, loadFactor, capacity, seed, phase)
	for _, step := range EditSteps {
		fmt.Fprintf(out, "  then %s:%s = %s: %s\n", step.Edit.Row, step.Edit.Column, step.Edit.Value, step.Effect)
	}
	return printPhases(out, p, arrivals, outcomes, phase, phases)
}

// applyEdits makes the edits, each at the beginning of its phase, until ctx ends.
func (l *Lab) applyEdits(ctx context.Context, phase time.Duration) {
	began := time.Now()
	for i, step := range EditSteps {
		select {
		case <-time.After(time.Until(began.Add(warmupTime + time.Duration(i+1)*phase))):
		case <-ctx.Done():
			return
		}
		if _, err := l.Edit(fmt.Sprintf("phase-%d", i), []hookhall.Edit{step.Edit}); err != nil {
			panic(err) // not expected, since no faults are switched on
		}
	}
}

// printPhases prints the attainment by account and phase. It leaves out the first quarter
// of each phase, in which requests from before the edit may still be waiting.
func printPhases(out io.Writer, p load.Profile, arrivals []load.Arrival, outcomes []*load.Outcome, phase time.Duration, phases int) error {
	type tally struct{ all, inTime int }
	talliesByAccount := map[string][]tally{}
	for i, outcome := range outcomes {
		offset := arrivals[i].Offset - warmupTime
		index := int(offset / phase)
		if outcome == nil || offset < 0 || index >= phases || offset%phase < phase/4 {
			continue
		}
		if talliesByAccount[outcome.Kind.Account] == nil {
			talliesByAccount[outcome.Kind.Account] = make([]tally, phases)
		}
		talliesByAccount[outcome.Kind.Account][index].all++
		if outcome.InTime() {
			talliesByAccount[outcome.Kind.Account][index].inTime++
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "  ACCOUNT\tBEFORE")
	for _, step := range EditSteps {
		fmt.Fprintf(table, "\t%s:%s=%s", step.Edit.Row, step.Edit.Column, step.Edit.Value)
	}
	fmt.Fprintln(table)
	for _, a := range p.Accounts {
		fmt.Fprintf(table, "  %s", a.Name)
		for _, phaseTally := range talliesByAccount[a.Name] {
			fmt.Fprintf(table, "\t%.2f of %d", float64(phaseTally.inTime)/float64(max(phaseTally.all, 1)), phaseTally.all)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
