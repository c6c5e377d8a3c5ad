// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hookhall/hookhall/internal/app/settings"
	"github.com/hookhall/hookhall/internal/load"
	"github.com/hookhall/hookhall/internal/standin"
)

const (
	// warmupTime and cooldownTime are the parts of the load before and after the figures
	// are taken. In the first the entries' estimates are not yet reliable; without the
	// second, requests still waiting at the end of the run would find idle targets.
	warmupTime   = 2 * time.Second
	cooldownTime = 2 * time.Second
	// settleDelay separates runs, so that stopping one does not disturb the next.
	settleDelay = 300 * time.Millisecond
)

// Engines of an experiment: their number, concurrent calls, prefill time, time per token
// and cached prompt prefixes, each of one engine.
const (
	engineCount          = 4
	engineSlots          = 4
	enginePrefillTime    = 20 * time.Millisecond
	engineTokenTime      = 4 * time.Millisecond
	engineCachedPrefixes = 24
	// fullBatchFactor is the time of a token in a full batch relative to an empty one.
	fullBatchFactor = 1.5
	// savedPrefillShare is the share of prefill time that prefix caching is assumed to save.
	savedPrefillShare = 0.5
)

// experimentPools returns the pools of an experiment, whose load reports are at most lag
// old. The engines are the bottleneck.
func experimentPools(lag time.Duration) []PoolSettings {
	plain := func(name string, callTime time.Duration) PoolSettings {
		return PoolSettings{name, 3, standin.TargetSettings{Capacity: 8, CallTime: callTime, ReportLag: lag}}
	}
	return []PoolSettings{
		plain("encoders", 4*time.Millisecond), plain("retrievers", 6*time.Millisecond), plain("rerankers", 8*time.Millisecond),
		plain("authorisation", 10*time.Millisecond), plain("replays", 10*time.Millisecond),
		{"engines", engineCount, standin.TargetSettings{Capacity: engineSlots, CallTime: enginePrefillTime, TokenTime: engineTokenTime, CachedPrefixes: engineCachedPrefixes, ReportLag: lag}},
	}
}

// Capacity returns the estimated number of requests of a profile that the engines can run
// per second, with full batches.
func Capacity(p load.Profile) float64 {
	var totalWeight, engineSeconds float64
	for _, kind := range p.Kinds {
		totalWeight += kind.Weight
		if kind.Tokens > 0 {
			prefill := enginePrefillTime.Seconds() * (1 - savedPrefillShare)
			engineSeconds += kind.Weight * (prefill + float64(kind.Tokens)*engineTokenTime.Seconds()*fullBatchFactor)
		}
	}
	return engineCount * engineSlots * totalWeight / engineSeconds
}

// Scenario is a load with the faults that occur in it.
type Scenario struct {
	Name string
	// LoadFactor is the average load relative to the capacity.
	LoadFactor float64
	// BurstFactor is the factor on the rate in bursts, as in load.Plan.
	BurstFactor float64
	// FloodFactor is the factor on the requests of fleet-portal; 0 for none.
	FloodFactor float64
	// ReportLag is the maximum age of the targets' load reports; 0 for defaultReportLag.
	ReportLag time.Duration
	// InjectFaults, if set, switches on faults at the end of the warm-up.
	InjectFaults func(*Lab)
	// During, if set, runs concurrently with the load. It gets the length of the run
	// without warm-up and cool-down.
	During func(*Lab, time.Duration)
}

// defaultReportLag is the maximum age of the targets' load reports unless a scenario sets it.
const defaultReportLag = 200 * time.Millisecond

// ScenariosByGroup has the scenarios of the groups "load" and "faults".
var ScenariosByGroup = map[string][]Scenario{
	"load": {
		{Name: "0.7x", LoadFactor: 0.7}, {Name: "1.0x", LoadFactor: 1}, {Name: "1.5x", LoadFactor: 1.5}, {Name: "3.0x", LoadFactor: 3},
	},
	"faults": {
		{Name: "bursts 4x at 0.7x", LoadFactor: 0.7, BurstFactor: 4},
		{Name: "one engine 10 times slower", LoadFactor: 0.7, InjectFaults: func(l *Lab) { l.Targets["engines-0"].SetFaults(standin.TargetFaults{SlowFactor: 10}) }},
		{Name: "rerankers fail half their calls", LoadFactor: 0.7, InjectFaults: func(l *Lab) {
			for i := 0; i < 3; i++ {
				l.Targets[fmt.Sprintf("rerankers-%d", i)].SetFaults(standin.TargetFaults{FailAfter: 0.5})
			}
		}},
		{Name: "all pools fail 20 % at 3.0x", LoadFactor: 3, InjectFaults: func(l *Lab) {
			for _, t := range l.Targets {
				t.SetFaults(standin.TargetFaults{FailBefore: 0.1, FailAfter: 0.1})
			}
		}},
		{Name: "fleet-portal floods 10 times", LoadFactor: 0.7, FloodFactor: 10},
		{Name: "reports 2 s late at 1.0x", LoadFactor: 1, ReportLag: 2 * time.Second},
		{Name: "an engine dies and returns", LoadFactor: 0.7, During: stopAndRestartEngine},
	},
}

// stopAndRestartEngine stops an engine for the middle third of the run.
func stopAndRestartEngine(l *Lab, length time.Duration) {
	time.Sleep(warmupTime + length/3)
	const id = "engines-1"
	address := l.Servers[id].Address
	l.Servers[id].Close()
	time.Sleep(length / 3)
	if server, err := standin.Listen(address, l.Targets[id]); err == nil {
		l.Servers[id] = server
	}
}

// Experiment compares policies in the same scenarios under the same load.
type Experiment struct {
	Profile     load.Profile
	Policies    []Policy
	Scenarios   []Scenario
	EntryCount  int
	RunDuration time.Duration // of a run, without warm-up and cool-down
	Seed        uint64        // of the arrivals
}

// Result holds the outcome of one run: a scenario with a policy.
type Result struct {
	Scenario, Policy string
	All              *load.Summary
	Kinds            []*load.Summary
	Outcomes         []*load.Outcome     // of arrivals outside of warm-up and cool-down
	Audit            *load.Audit         // of the whole run
	Ledger           []standin.RunRecord // of the whole run
	RunDuration      time.Duration
}

// Run runs every scenario with every policy on the same arrivals. When the runs of a
// scenario have ended, it prints a line for each of them. On an error, it returns the
// results so far.
func (x Experiment) Run(ctx context.Context, out io.Writer) ([]Result, error) {
	var results []Result
	capacity := Capacity(x.Profile)
	fmt.Fprintf(out, "profile %s, %d entries, capacity %.0f requests/s, seed %d, %v a run after %v of warm-up\n\n",
		x.Profile.Name, x.EntryCount, capacity, x.Seed, x.RunDuration, warmupTime)
	for _, scenario := range x.Scenarios {
		fmt.Fprintf(out, "%s\n", scenario.Name)
		table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  POLICY\tATTAIN\tHIGH\tGOODPUT/s\tOF CAP\tTOKENS/s\tp50 ms\tp95 ms\tp99 ms\tFIRST p95\tMISSED\tUSED\tREFUSED\tREF p50 ms\tREF p99 ms\tFAIR\tAMPL\tAUDIT")
		for _, policy := range x.Policies {
			result, err := x.runOne(ctx, scenario, policy, capacity)
			if err != nil {
				return results, err
			}
			results = append(results, result)
			result.print(table, capacity)
		}
		if err := table.Flush(); err != nil {
			return results, err
		}
		fmt.Fprintln(out)
	}
	return results, nil
}

// runOne runs one scenario with one policy.
func (x Experiment) runOne(ctx context.Context, scenario Scenario, policy Policy, capacity float64) (Result, error) {
	lag := scenario.ReportLag
	if lag == 0 {
		lag = defaultReportLag
	}
	lab, err := Start(Settings{
		EntryCount: x.EntryCount, Pools: experimentPools(lag), Profile: x.Profile,
		AdjustEntry: func(_ int, e *settings.Entry) { policy.Adjust(&e.Policy) },
	})
	if err != nil {
		return Result{}, err
	}
	defer time.Sleep(settleDelay)
	defer lab.Stop()
	plan := load.Plan{Profile: x.Profile, Rate: capacity * scenario.LoadFactor, Duration: warmupTime + x.RunDuration + cooldownTime, Seed: x.Seed, EntryCount: x.EntryCount, BurstFactor: scenario.BurstFactor}
	if scenario.FloodFactor > 0 {
		plan.FloodAccount, plan.FloodFactor = "fleet-portal", scenario.FloodFactor
	}
	if scenario.InjectFaults != nil {
		time.AfterFunc(warmupTime, func() { scenario.InjectFaults(lab) })
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if scenario.During != nil {
			scenario.During(lab, x.RunDuration)
		}
	}()
	client := load.NewClient()
	defer client.Close()
	arrivals := plan.Draw()
	outcomes := load.Run(ctx, client, lab.CallerAddresses(), x.Profile, arrivals, nil)
	<-ended
	ledger := lab.Ledger()
	audit := load.AuditOutcomes(x.Profile, outcomes, ledger)
	counted := outcomes[:0:0]
	for i, outcome := range outcomes {
		if arrivals[i].Offset >= warmupTime && arrivals[i].Offset < warmupTime+x.RunDuration {
			counted = append(counted, outcome)
		}
	}
	all, kinds := load.Summarize(counted)
	return Result{Scenario: scenario.Name, Policy: policy.Name, All: all, Kinds: kinds, Outcomes: counted, Audit: audit, Ledger: ledger, RunDuration: x.RunDuration}, nil
}

// minHighPriority is the lowest priority of an account that counts as high.
const minHighPriority = 7

// highPriorityAttainment returns the attainment of the requests of accounts with a priority
// of at least minHighPriority, from 0 to 1; 0 without such requests.
func (r Result) highPriorityAttainment(p load.Profile) float64 {
	isHighPriority := map[string]bool{}
	for _, account := range p.Accounts {
		isHighPriority[account.Name] = account.Priority >= minHighPriority
	}
	total, inTime := 0, 0
	for _, outcome := range r.Outcomes {
		if outcome != nil && isHighPriority[outcome.Kind.Account] {
			total++
			if outcome.InTime() {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(max(total, 1))
}

// fairness compares fleet-portal and member-bank, two accounts with equal settings. It
// returns the lower of their attainments relative to the higher one, from 0 to 1; 1 if both
// are 0.
func (r Result) fairness() float64 {
	attainment := map[string]float64{}
	for _, kind := range r.Kinds {
		attainment[kind.Name] = kind.Attainment()
	}
	a, b := attainment["explain"], attainment["explain-bank"]
	if max(a, b) == 0 {
		return 1
	}
	return min(a, b) / max(a, b)
}

// missedShare returns the share of the targets' busy time that was spent on requests without
// a complete answer in time, by the targets' ledgers. Requests in warm-up and cool-down are
// left out.
func (r Result) missedShare() float64 {
	inTime := map[string]bool{}
	for _, outcome := range r.Outcomes {
		if outcome != nil {
			inTime[outcome.Tag] = outcome.InTime()
		}
	}
	var missedMS, totalMS float64
	for _, run := range r.Ledger {
		isInTime, counted := inTime[run.Tag]
		if !counted {
			continue
		}
		totalMS += run.BusyMS
		if !isInTime {
			missedMS += run.BusyMS
		}
	}
	return missedMS / max(totalMS, 1)
}

// engineUtilization returns the share of the engines' slot time that was busy, from 0 to 1,
// over the whole run with warm-up and cool-down.
func (r Result) engineUtilization() float64 {
	var busyMS float64
	for _, run := range r.Ledger {
		if strings.HasPrefix(run.Target, "engines-") {
			busyMS += run.BusyMS
		}
	}
	return busyMS / 1000 / (engineCount * engineSlots * (warmupTime + r.RunDuration + cooldownTime).Seconds())
}

// amplification returns the mean number of calls of a stage per request that reached it: 1
// without retries; 0 if no stage was reached.
func (r Result) amplification() float64 {
	calls, stages := 0, 0
	for _, outcome := range r.Outcomes {
		if outcome == nil {
			continue
		}
		cost := outcome.Cost
		if outcome.Problem != nil {
			cost = outcome.Problem.Cost
		}
		for _, stage := range cost {
			if stage.Calls > 0 {
				calls += stage.Calls
				stages++
			}
		}
	}
	return float64(calls) / float64(max(stages, 1))
}

// tokensPerSecond returns the requested engine tokens per second of requests answered in
// time.
func (r Result) tokensPerSecond() float64 {
	tokens := 0
	for _, outcome := range r.Outcomes {
		if outcome != nil && outcome.InTime() {
			tokens += outcome.Kind.Tokens
		}
	}
	return float64(tokens) / r.RunDuration.Seconds()
}

// print writes a row of the table; capacity is in requests per second.
func (r Result) print(w io.Writer, capacity float64) {
	goodput := float64(r.All.InTime) / r.RunDuration.Seconds()
	verdict := "clean"
	if !r.Audit.Clean() {
		verdict = fmt.Sprintf("lost %d swapped %d doubled %d false %d", r.Audit.Lost, r.Audit.Swapped, r.Audit.Doubled, r.Audit.FalseNotRun)
	}
	quantile := load.FormatQuantile
	fmt.Fprintf(w, "  %s\t%.3f\t%.3f\t%.0f\t%.2f\t%.0f\t%s\t%s\t%s\t%s\t%.3f\t%.2f\t%d\t%s\t%s\t%.2f\t%.3f\t%s\n",
		r.Policy, r.All.Attainment(), r.highPriorityAttainment(load.Mixed()), goodput, goodput/capacity, r.tokensPerSecond(),
		quantile(r.All.Latency, 50), quantile(r.All.Latency, 95), quantile(r.All.Latency, 99), quantile(r.All.FirstTokenLatency, 95),
		r.missedShare(), r.engineUtilization(), r.All.Refused, quantile(r.All.RefusalLatency, 50), quantile(r.All.RefusalLatency, 99), r.fairness(), r.amplification(), verdict)
}
