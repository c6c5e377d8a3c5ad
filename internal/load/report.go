// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hookhall/hookhall"
)

// Summary is what a run shows, for all requests or a part of them.
type Summary struct {
	Name     string
	Requests int
	InTime   int
	Late     int
	Refused  int
	Lost     int
	Causes   map[string]int
	// Took is of answers, First of first tokens, Refusal of refusals given.
	Took    *hdrhistogram.Histogram
	First   *hdrhistogram.Histogram
	Refusal *hdrhistogram.Histogram
	// Cost is by stage; Missed is the part spent on requests without an
	// answer in time.
	Cost   map[string]hookhall.StageCost
	Missed map[string]hookhall.StageCost
}

const (
	lowest  = 1          // microseconds
	highest = 60_000_000 // microseconds
	digits  = 3
)

func newSummary(name string) *Summary {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
	return &Summary{Name: name, Causes: map[string]int{}, Took: h(), First: h(), Refusal: h(),
		Cost: map[string]hookhall.StageCost{}, Missed: map[string]hookhall.StageCost{}}
}

// Attainment is the share of requests with a whole answer in time.
func (s *Summary) Attainment() float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.InTime) / float64(s.Requests)
}

// Summarize makes the summary of all outcomes and one for each kind, by name.
func Summarize(outcomes []*Outcome) (*Summary, []*Summary) {
	all := newSummary("all")
	kinds := map[string]*Summary{}
	for _, o := range outcomes {
		if o == nil {
			continue
		}
		k := kinds[o.Kind.Name]
		if k == nil {
			k = newSummary(o.Kind.Name)
			kinds[o.Kind.Name] = k
		}
		all.add(o)
		k.add(o)
	}
	list := make([]*Summary, 0, len(kinds))
	for _, k := range kinds {
		list = append(list, k)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return all, list
}

func (s *Summary) add(o *Outcome) {
	s.Requests++
	switch {
	case o.InTime():
		s.InTime++
	case o.Answered:
		s.Late++
	case o.Problem != nil:
		s.Refused++
		s.Causes[problemCause(o.Problem)]++
		record(s.Refusal, o.Took)
	default:
		s.Lost++
		s.Causes[problemCause(nil)]++
	}
	if o.Answered {
		record(s.Took, o.Took)
	}
	if o.First > 0 {
		record(s.First, o.First)
	}
	cost := o.Cost
	if o.Problem != nil {
		cost = o.Problem.Cost
	}
	for _, c := range cost {
		addCost(s.Cost, c)
		if !o.InTime() {
			addCost(s.Missed, c)
		}
	}
}

func addCost(to map[string]hookhall.StageCost, c hookhall.StageCost) {
	x := to[c.Stage]
	x.Stage = c.Stage
	x.Calls += c.Calls
	x.Tokens += c.Tokens
	x.WaitMS += c.WaitMS
	x.BusyMS += c.BusyMS
	to[c.Stage] = x
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowest), highest)
	_ = h.RecordValue(us) // clamped to the range
}

// Quantile prints a quantile in milliseconds, "-" without values.
func Quantile(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
}

// Print writes the tables of a run.
func Print(w io.Writer, all *Summary, kinds []*Summary, a *Audit) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "KIND\tREQUESTS\tATTAINMENT\tLATE\tREFUSED\tLOST\tp50 ms\tp95 ms\tp99 ms\tFIRST p95\tREFUSAL p99\tCAUSES")
	for _, s := range append(kinds, all) {
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Requests, s.Attainment(),
			s.Late, s.Refused, s.Lost, Quantile(s.Took, 50), Quantile(s.Took, 95), Quantile(s.Took, 99),
			Quantile(s.First, 95), Quantile(s.Refusal, 99), causes(s.Causes))
	}
	_ = t.Flush()
	fmt.Fprintln(w)
	printCost(w, all)
	if a != nil {
		fmt.Fprintf(w, "\nAUDIT  requests %d  lost %d  swapped %d  doubled %d  false not-run %d  unfounded %d\n",
			a.Requests, a.Lost, a.Swapped, a.Doubled, a.FalseNotRun, a.Unfounded)
		for _, e := range a.Examples {
			fmt.Fprintln(w, "  "+e)
		}
	}
}

func printCost(w io.Writer, all *Summary) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STAGE\tCALLS\tTOKENS\tBUSY ms\tWAIT ms\tBUSY/CALL\tMISSED SHARE")
	var names []string
	for n := range all.Cost {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		c := all.Cost[n]
		missed := 0.0
		if c.BusyMS > 0 {
			missed = all.Missed[n].BusyMS / c.BusyMS
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.4f\n", n, c.Calls, c.Tokens, c.BusyMS, c.WaitMS,
			c.BusyMS/float64(max(c.Calls, 1)), missed)
	}
	_ = t.Flush()
}

func causes(m map[string]int) string {
	var names []string
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	var parts []string
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", n, m[n]))
	}
	return strings.Join(parts, " ")
}
