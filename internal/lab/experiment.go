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
	// warmup is left out of the figures: estimates are learned in it. So is
	// cooldown, in which the load goes on: without it, requests that were still
	// waiting at the end would find the targets empty.
	warmup   = 2 * time.Second
	cooldown = 2 * time.Second
	// settleTime is between runs, so that one does not disturb the next.
	settleTime = 300 * time.Millisecond
)

// Engines of an experiment.
const (
	engines       = 4
	engineSlots   = 4
	enginePrefill = 20 * time.Millisecond
	engineToken   = 4 * time.Millisecond
	engineCache   = 24
	// fullBatch is how much slower a token is in a full batch.
	fullBatch = 1.5
	// cachedShare is the part of prefills that a good cache saves.
	cachedShare = 0.5
)

// pools of an experiment: engines are what runs short.
func pools(lag time.Duration) []PoolSettings {
	plain := func(name string, t time.Duration) PoolSettings {
		return PoolSettings{name, 3, standin.TargetSettings{Capacity: 8, Time: t, Lag: lag}}
	}
	return []PoolSettings{
		plain("encoders", 4*time.Millisecond), plain("retrievers", 6*time.Millisecond), plain("rerankers", 8*time.Millisecond),
		plain("authorisation", 10*time.Millisecond), plain("replays", 10*time.Millisecond),
		{"engines", engines, standin.TargetSettings{Capacity: engineSlots, Time: enginePrefill, Token: engineToken, Cache: engineCache, Lag: lag}},
	}
}

// Capacity is how many requests a second of a profile the engines can run.
func Capacity(p load.Profile) float64 {
	var weight, busy float64
	for _, k := range p.Kinds {
		weight += k.Weight
		if k.Tokens > 0 {
			prefill := enginePrefill.Seconds() * (1 - cachedShare)
			busy += k.Weight * (prefill + float64(k.Tokens)*engineToken.Seconds()*fullBatch)
		}
	}
	return engines * engineSlots * weight / busy
}

// Scenario is a load with what goes wrong in it.
type Scenario struct {
	Name string
	// Times is the load against the capacity.
	Times float64
	Burst float64
	Flood float64
	Lag   time.Duration
	// Fault is switched on when the warm-up is over.
	Fault func(*Lab)
	// During runs beside the load.
	During func(*Lab, time.Duration)
}

const defaultLag = 200 * time.Millisecond

// Scenarios by group.
var Scenarios = map[string][]Scenario{
	"load": {
		{Name: "0.7x", Times: 0.7}, {Name: "1.0x", Times: 1}, {Name: "1.5x", Times: 1.5}, {Name: "3.0x", Times: 3},
	},
	"faults": {
		{Name: "bursts 4x at 0.7x", Times: 0.7, Burst: 4},
		{Name: "one engine 10 times slower", Times: 0.7, Fault: func(l *Lab) { l.Targets["engines-0"].SetFaults(standin.TargetFaults{Slow: 10}) }},
		{Name: "rerankers fail half their calls", Times: 0.7, Fault: func(l *Lab) {
			for i := 0; i < 3; i++ {
				l.Targets[fmt.Sprintf("rerankers-%d", i)].SetFaults(standin.TargetFaults{FailAfter: 0.5})
			}
		}},
		{Name: "all pools fail 20 % at 3.0x", Times: 3, Fault: func(l *Lab) {
			for _, t := range l.Targets {
				t.SetFaults(standin.TargetFaults{FailBefore: 0.1, FailAfter: 0.1})
			}
		}},
		{Name: "fleet-portal floods 10 times", Times: 0.7, Flood: 10},
		{Name: "reports 2 s late at 1.0x", Times: 1, Lag: 2 * time.Second},
		{Name: "an engine dies and returns", Times: 0.7, During: dieAndReturn},
	},
}

// dieAndReturn ends an engine for a third of the run.
func dieAndReturn(l *Lab, length time.Duration) {
	time.Sleep(warmup + length/3)
	const id = "engines-1"
	address := l.Servers[id].Address
	l.Servers[id].Close()
	time.Sleep(length / 3)
	if s, err := standin.Listen(address, l.Targets[id]); err == nil {
		l.Servers[id] = s
	}
}

// Experiment compares policies.
type Experiment struct {
	Profile   load.Profile
	Policies  []Policy
	Scenarios []Scenario
	Entries   int
	Length    time.Duration
	Seed      uint64
}

// Row is one run's figures.
type Row struct {
	Scenario, Policy string
	All              *load.Summary
	Kinds            []*load.Summary
	Outcomes         []*load.Outcome
	Audit            *load.Audit
	Ledger           []standin.Run
	Length           time.Duration
}

// Run plays every scenario with every policy on the same arrivals, and prints
// a line for each run as it ends.
func (x Experiment) Run(ctx context.Context, out io.Writer) ([]Row, error) {
	var rows []Row
	capacity := Capacity(x.Profile)
	fmt.Fprintf(out, "profile %s, %d entries, capacity %.0f requests/s, seed %d, %v a run after %v of warm-up\n\n",
		x.Profile.Name, x.Entries, capacity, x.Seed, x.Length, warmup)
	for _, s := range x.Scenarios {
		fmt.Fprintf(out, "%s\n", s.Name)
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  POLICY\tATTAIN\tHIGH\tGOODPUT/s\tOF CAP\tTOKENS/s\tp50 ms\tp95 ms\tp99 ms\tFIRST p95\tMISSED\tUSED\tREFUSED\tREF p50 ms\tREF p99 ms\tFAIR\tAMPL\tAUDIT")
		for _, p := range x.Policies {
			r, err := x.one(ctx, s, p, capacity)
			if err != nil {
				return rows, err
			}
			rows = append(rows, r)
			r.print(t, capacity)
		}
		if err := t.Flush(); err != nil {
			return rows, err
		}
		fmt.Fprintln(out)
	}
	return rows, nil
}

func (x Experiment) one(ctx context.Context, s Scenario, p Policy, capacity float64) (Row, error) {
	lag := s.Lag
	if lag == 0 {
		lag = defaultLag
	}
	l, err := Start(Settings{
		Entries: x.Entries, Pools: pools(lag), Profile: x.Profile,
		Adjust: func(_ int, e *settings.Entry) { p.Adjust(&e.Policy) },
	})
	if err != nil {
		return Row{}, err
	}
	defer time.Sleep(settleTime)
	defer l.Stop()
	plan := load.Plan{Profile: x.Profile, Rate: capacity * s.Times, Duration: warmup + x.Length + cooldown, Seed: x.Seed, Entries: x.Entries, Burst: s.Burst}
	if s.Flood > 0 {
		plan.Flood, plan.FloodTimes = "fleet-portal", s.Flood
	}
	if s.Fault != nil {
		time.AfterFunc(warmup, func() { s.Fault(l) })
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if s.During != nil {
			s.During(l, x.Length)
		}
	}()
	client := load.NewClient()
	defer client.Close()
	arrivals := plan.Draw()
	outcomes := load.Run(ctx, client, l.Addresses(), x.Profile, arrivals, nil)
	<-ended
	ledger := l.Ledger()
	audit := load.Check(x.Profile, outcomes, ledger)
	counted := outcomes[:0:0]
	for i, o := range outcomes {
		if arrivals[i].At >= warmup && arrivals[i].At < warmup+x.Length {
			counted = append(counted, o)
		}
	}
	all, kinds := load.Summarize(counted)
	return Row{Scenario: s.Name, Policy: p.Name, All: all, Kinds: kinds, Outcomes: counted, Audit: audit, Ledger: ledger, Length: x.Length}, nil
}

// highPriority is from which priority on an account's requests count as high.
const highPriority = 7

// high is the attainment of requests of high priority, and fair that of the
// worse of the two equal accounts against the better.
func (r Row) high(p load.Profile) float64 {
	high := map[string]bool{}
	for _, a := range p.Accounts {
		high[a.Name] = a.Priority >= highPriority
	}
	n, ok := 0, 0
	for _, o := range r.Outcomes {
		if o != nil && high[o.Kind.Account] {
			n++
			if o.InTime() {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1))
}

func (r Row) fair() float64 {
	share := map[string]float64{}
	for _, k := range r.Kinds {
		share[k.Name] = k.Attainment()
	}
	a, b := share["explain"], share["explain-bank"]
	if max(a, b) == 0 {
		return 1
	}
	return min(a, b) / max(a, b)
}

// missed is the share of the targets' time, by their own ledgers, that went to
// requests that got no whole answer in time.
func (r Row) missed() float64 {
	inTime := map[string]bool{}
	for _, o := range r.Outcomes {
		if o != nil {
			inTime[o.Tag] = o.InTime()
		}
	}
	var missed, all float64
	for _, run := range r.Ledger {
		ok, counted := inTime[run.Tag]
		if !counted {
			continue
		}
		all += run.BusyMS
		if !ok {
			missed += run.BusyMS
		}
	}
	return missed / max(all, 1)
}

// used is the share of the engines' slots that were busy.
func (r Row) used() float64 {
	var busy float64
	for _, run := range r.Ledger {
		if strings.HasPrefix(run.Target, "engines-") {
			busy += run.BusyMS
		}
	}
	return busy / 1000 / (engines * engineSlots * (warmup + r.Length + cooldown).Seconds())
}

// amplification is calls a stage that was reached.
func (r Row) amplification() float64 {
	calls, stages := 0, 0
	for _, o := range r.Outcomes {
		if o == nil {
			continue
		}
		cost := o.Cost
		if o.Problem != nil {
			cost = o.Problem.Cost
		}
		for _, c := range cost {
			if c.Calls > 0 {
				calls += c.Calls
				stages++
			}
		}
	}
	return float64(calls) / float64(max(stages, 1))
}

// tokens is engine tokens a second of requests that ended in time.
func (r Row) tokens() float64 {
	n := 0
	for _, o := range r.Outcomes {
		if o != nil && o.InTime() {
			n += o.Kind.Tokens
		}
	}
	return float64(n) / r.Length.Seconds()
}

func (r Row) print(w io.Writer, capacity float64) {
	goodput := float64(r.All.InTime) / r.Length.Seconds()
	verdict := "clean"
	if !r.Audit.Clean() {
		verdict = fmt.Sprintf("lost %d swapped %d doubled %d false %d", r.Audit.Lost, r.Audit.Swapped, r.Audit.Doubled, r.Audit.FalseNotRun)
	}
	q := load.Quantile
	fmt.Fprintf(w, "  %s\t%.3f\t%.3f\t%.0f\t%.2f\t%.0f\t%s\t%s\t%s\t%s\t%.3f\t%.2f\t%d\t%s\t%s\t%.2f\t%.3f\t%s\n",
		r.Policy, r.All.Attainment(), r.high(load.Mixed()), goodput, goodput/capacity, r.tokens(),
		q(r.All.Took, 50), q(r.All.Took, 95), q(r.All.Took, 99), q(r.All.First, 95),
		r.missed(), r.used(), r.All.Refused, q(r.All.Refusal, 50), q(r.All.Refusal, 99), r.fair(), r.amplification(), verdict)
}
