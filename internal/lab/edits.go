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

// Cell is one edit of an experiment, with what it should do.
type Cell struct {
	Says string
	Edit hookhall.Edit
}

func cell(account, column, value, says string) Cell {
	return Cell{says, hookhall.Edit{Sheet: hookhall.SheetAccounts, Row: account, Column: column, Value: value, Force: true}}
}

// Cells are the edits that Edits makes, one after another.
var Cells = []Cell{
	cell("sponsors", "priority", "8", "sponsors go before all but the gateway"),
	cell("fleet-portal", "weight", "8", "fleet-portal gets four times member-bank's share"),
	cell("partners", "rate", "5", "partners may send 5 requests a second"),
	cell("venues", "priority", "0", "venues go last"),
}

// Edits edits cells during one load and prints each account's attainment
// before the first edit and after each.
func Edits(ctx context.Context, out io.Writer, p load.Profile, times float64, phase time.Duration, seed uint64) error {
	l, err := Start(Settings{Entries: 3, Pools: pools(defaultLag), Profile: p})
	if err != nil {
		return err
	}
	defer l.Stop()
	phases := len(Cells) + 1
	capacity := Capacity(p)
	plan := load.Plan{Profile: p, Rate: capacity * times, Duration: warmup + time.Duration(phases)*phase + cooldown, Seed: seed, Entries: 3}
	arrivals := plan.Draw()
	go l.edit(ctx, phase)
	client := load.NewClient()
	defer client.Close()
	outcomes := load.Run(ctx, client, l.Addresses(), p, arrivals, nil)
	fmt.Fprintf(out, "profile %s, 3 entries, %.1f times the capacity of %.0f requests/s, seed %d, %v a phase\n", p.Name, times, capacity, seed, phase)
	for _, c := range Cells {
		fmt.Fprintf(out, "  then %s:%s = %s: %s\n", c.Edit.Row, c.Edit.Column, c.Edit.Value, c.Says)
	}
	return printPhases(out, p, arrivals, outcomes, phase, phases)
}

// edit makes the edits, each at the beginning of its phase.
func (l *Lab) edit(ctx context.Context, phase time.Duration) {
	began := time.Now()
	for i, c := range Cells {
		select {
		case <-time.After(time.Until(began.Add(warmup + time.Duration(i+1)*phase))):
		case <-ctx.Done():
			return
		}
		if _, err := l.Edit(fmt.Sprintf("phase-%d", i), []hookhall.Edit{c.Edit}); err != nil {
			panic(err) // the lab's service has no faults here
		}
	}
}

// printPhases leaves out the first quarter of a phase, in which requests from
// before the edit are still waiting.
func printPhases(out io.Writer, p load.Profile, arrivals []load.Arrival, outcomes []*load.Outcome, phase time.Duration, phases int) error {
	type tally struct{ all, inTime int }
	counts := map[string][]tally{}
	for i, o := range outcomes {
		at := arrivals[i].At - warmup
		n := int(at / phase)
		if o == nil || at < 0 || n >= phases || at%phase < phase/4 {
			continue
		}
		if counts[o.Kind.Account] == nil {
			counts[o.Kind.Account] = make([]tally, phases)
		}
		counts[o.Kind.Account][n].all++
		if o.InTime() {
			counts[o.Kind.Account][n].inTime++
		}
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "  ACCOUNT\tBEFORE")
	for _, c := range Cells {
		fmt.Fprintf(t, "\t%s:%s=%s", c.Edit.Row, c.Edit.Column, c.Edit.Value)
	}
	fmt.Fprintln(t)
	for _, a := range p.Accounts {
		fmt.Fprintf(t, "  %s", a.Name)
		for _, c := range counts[a.Name] {
			fmt.Fprintf(t, "\t%.2f of %d", float64(c.inTime)/float64(max(c.all, 1)), c.all)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
