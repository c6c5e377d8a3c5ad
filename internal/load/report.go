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

// Summary aggregates the outcomes of a run, of all requests or of one kind.
type Summary struct {
	Name     string // kind, or "all"
	Requests int
	InTime   int // complete answers within the deadline
	Late     int // complete answers after the deadline
	Refused  int
	Lost     int            // neither an answer nor a refusal
	Causes   map[string]int // requests refused or lost, by cause
	// Latencies in microseconds: of complete answers, of first tokens and of refusals, each
	// from sending the request.
	Latency           *hdrhistogram.Histogram
	FirstTokenLatency *hdrhistogram.Histogram
	RefusalLatency    *hdrhistogram.Histogram
	// Cost is the cost of all requests by stage; MissedCost is the part of it spent on
	// requests without a complete answer in time.
	Cost       map[string]hookhall.StageCost
	MissedCost map[string]hookhall.StageCost
}

// Range of the histograms, in microseconds, and their precision in decimal digits.
// Latencies out of range are clamped; a minute is beyond every deadline.
const (
	minRecordedMicroseconds = 1
	maxRecordedMicroseconds = 60_000_000
	significantDigits       = 3
)

// newSummary returns an empty summary.
func newSummary(name string) *Summary {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minRecordedMicroseconds, maxRecordedMicroseconds, significantDigits)
	}
	return &Summary{Name: name, Causes: map[string]int{}, Latency: newHistogram(), FirstTokenLatency: newHistogram(), RefusalLatency: newHistogram(),
		Cost: map[string]hookhall.StageCost{}, MissedCost: map[string]hookhall.StageCost{}}
}

// Attainment returns the share of requests answered completely and in time, from 0 to 1;
// 0 without requests.
func (s *Summary) Attainment() float64 {
	if s.Requests == 0 {
		return 0
	}
	return float64(s.InTime) / float64(s.Requests)
}

// Summarize returns the summary of all outcomes and one for each kind, by name. Nil
// outcomes are ignored.
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

// add counts an outcome, with its latencies and its cost.
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
		recordLatency(s.RefusalLatency, o.Latency)
	default:
		s.Lost++
		s.Causes[problemCause(nil)]++
	}
	if o.Answered {
		recordLatency(s.Latency, o.Latency)
	}
	if o.FirstTokenLatency > 0 {
		recordLatency(s.FirstTokenLatency, o.FirstTokenLatency)
	}
	cost := o.Cost
	if o.Problem != nil {
		cost = o.Problem.Cost
	}
	for _, c := range cost {
		addCost(s.Cost, c)
		if !o.InTime() {
			addCost(s.MissedCost, c)
		}
	}
}

// addCost adds c to the cost of its stage.
func addCost(costs map[string]hookhall.StageCost, c hookhall.StageCost) {
	sum := costs[c.Stage]
	sum.Stage = c.Stage
	sum.Calls += c.Calls
	sum.Tokens += c.Tokens
	sum.WaitMS += c.WaitMS
	sum.BusyMS += c.BusyMS
	costs[c.Stage] = sum
}

// recordLatency adds a latency, clamped to the range of the histograms.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	microseconds := min(max(latency.Microseconds(), minRecordedMicroseconds), maxRecordedMicroseconds)
	_ = histogram.RecordValue(microseconds) // clamped to the range
}

// FormatQuantile returns a percentile, from 0 to 100, formatted in milliseconds; "-"
// without values.
func FormatQuantile(histogram *hdrhistogram.Histogram, percentile float64) string {
	if histogram.TotalCount() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(histogram.ValueAtQuantile(percentile))/1000)
}

// PrintReport writes the tables of a run. A nil audit is left out.
func PrintReport(w io.Writer, all *Summary, kinds []*Summary, audit *Audit) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tREQUESTS\tATTAINMENT\tLATE\tREFUSED\tLOST\tp50 ms\tp95 ms\tp99 ms\tFIRST p95\tREFUSAL p99\tCAUSES")
	for _, s := range append(kinds, all) {
		fmt.Fprintf(table, "%s\t%d\t%.4f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Requests, s.Attainment(),
			s.Late, s.Refused, s.Lost, FormatQuantile(s.Latency, 50), FormatQuantile(s.Latency, 95), FormatQuantile(s.Latency, 99),
			FormatQuantile(s.FirstTokenLatency, 95), FormatQuantile(s.RefusalLatency, 99), formatCauses(s.Causes))
	}
	_ = table.Flush()
	fmt.Fprintln(w)
	printCost(w, all)
	if audit != nil {
		fmt.Fprintf(w, "\nAUDIT  requests %d  lost %d  swapped %d  doubled %d  false not-run %d  unfounded %d\n",
			audit.Requests, audit.Lost, audit.Swapped, audit.Doubled, audit.FalseNotRun, audit.Unfounded)
		for _, e := range audit.Examples {
			fmt.Fprintln(w, "  "+e)
		}
	}
}

// printCost writes the table of costs by stage. MISSED SHARE is the share of the busy time
// that was spent on requests without a complete answer in time.
func printCost(w io.Writer, all *Summary) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "STAGE\tCALLS\tTOKENS\tBUSY ms\tWAIT ms\tBUSY/CALL\tMISSED SHARE")
	var names []string
	for n := range all.Cost {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		c := all.Cost[n]
		missed := 0.0
		if c.BusyMS > 0 {
			missed = all.MissedCost[n].BusyMS / c.BusyMS
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%.0f\t%.2f\t%.4f\n", n, c.Calls, c.Tokens, c.BusyMS, c.WaitMS,
			c.BusyMS/float64(max(c.Calls, 1)), missed)
	}
	_ = table.Flush()
}

// formatCauses returns the causes with their counts, sorted by name.
func formatCauses(countByCause map[string]int) string {
	var names []string
	for n := range countByCause {
		names = append(names, n)
	}
	sort.Strings(names)
	var parts []string
	for _, n := range names {
		parts = append(parts, fmt.Sprintf("%s=%d", n, countByCause[n]))
	}
	return strings.Join(parts, " ")
}
