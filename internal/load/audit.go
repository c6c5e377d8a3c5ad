// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/protocol/wire"
	"github.com/hookhall/hookhall/internal/standin"
	"github.com/hookhall/hookhall/internal/transport/instances"
)

// Audit counts the differences between outcomes and the targets' ledgers.
type Audit struct {
	// Requests is the number of outcomes that were compared.
	Requests int `json:"requests"`
	// Lost counts requests that got neither a complete answer nor a problem document.
	Lost int `json:"lost"`
	// Swapped counts complete answers that are not the expected one of their request.
	Swapped int `json:"swapped"`
	// Doubled counts stages with side effects that ran more than once for a request that
	// is not repeatable.
	Doubled int `json:"doubled"`
	// FalseNotRun counts requests that were reported as not run although a stage with side
	// effects had begun before the refusal.
	FalseNotRun int `json:"false_not_run"`
	// Unfounded counts answers of pipelines with side effects for which no run of such a
	// stage has finished.
	Unfounded int `json:"unfounded"`
	// Examples describes the first maxExamples differences.
	Examples []string `json:"examples,omitempty"`
}

// Clean reports whether no difference was found.
func (a *Audit) Clean() bool {
	return a.Lost+a.Swapped+a.Doubled+a.FalseNotRun+a.Unfounded == 0
}

// maxExamples keeps a report of many differences readable.
const maxExamples = 8

// addFinding increments count and adds an example unless there are maxExamples.
func (a *Audit) addFinding(count *int, format string, args ...any) {
	*count++
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, fmt.Sprintf(format, args...))
	}
}

// AuditOutcomes compares outcomes with the runs in the targets' ledgers. Outcomes with
// the same tag are submissions of one request, whose runs are counted once. Nil outcomes
// are ignored.
func AuditOutcomes(p Profile, outcomes []*Outcome, ledger []standin.RunRecord) *Audit {
	audit := &Audit{}
	runsByTag := map[string][]standin.RunRecord{}
	for _, run := range ledger {
		runsByTag[run.Tag] = append(runsByTag[run.Tag], run)
	}
	seen := map[string]bool{}
	for _, outcome := range outcomes {
		if outcome == nil {
			continue
		}
		audit.Requests++
		effects := sideEffectRuns(p, outcome.Kind, runsByTag[outcome.Tag])
		audit.checkAnswer(p, outcome, effects)
		if !outcome.Kind.Repeatable && !seen[outcome.Tag] {
			seen[outcome.Tag] = true
			for stage, count := range countRunsByStage(effects) {
				if count > 1 {
					audit.addFinding(&audit.Doubled, "%s ran %d times at stage %s", outcome.Tag, count, stage)
				}
			}
		}
	}
	return audit
}

// checkAnswer checks one outcome against its runs of stages with side effects.
func (a *Audit) checkAnswer(p Profile, o *Outcome, effects []standin.RunRecord) {
	switch {
	case o.Answered:
		if o.Output != p.ExpectedOutput(o.Kind, Input(o.Kind, o.Tag)) {
			a.addFinding(&a.Swapped, "%s got another output than expected: %.60q", o.Tag, o.Output)
		}
		if len(p.sideEffectStages(o.Kind)) > 0 && !anyFinished(effects) {
			a.addFinding(&a.Unfounded, "%s has an answer and no finished run", o.Tag)
		}
	case o.Problem == nil:
		a.addFinding(&a.Lost, "%s at %s: no final answer: %v", o.Tag, o.Entry, o.Err)
	case o.Problem.Verdict == hookhall.NotRun.String() && anyStartedBefore(effects, o.StartedAt.Add(o.Latency)):
		a.addFinding(&a.FalseNotRun, "%s was reported as not run (%s: %s) and ran at %s", o.Tag, o.Problem.Cause, o.Problem.Detail, effects[0].Target)
	}
}

// anyStartedBefore reports whether a run began before a moment. A run that began after a
// refusal belongs to a later submission of the same request.
func anyStartedBefore(runs []standin.RunRecord, at time.Time) bool {
	for _, r := range runs {
		if r.StartedAt.Before(at) {
			return true
		}
	}
	return false
}

// sideEffectRuns returns the runs of stages that are not pure in the pipeline of k.
func sideEffectRuns(p Profile, k Kind, runs []standin.RunRecord) []standin.RunRecord {
	stages := p.sideEffectStages(k)
	var selected []standin.RunRecord
	for _, r := range runs {
		if stages[r.Stage] {
			selected = append(selected, r)
		}
	}
	return selected
}

// countRunsByStage returns the number of runs of each stage.
func countRunsByStage(runs []standin.RunRecord) map[string]int {
	counts := map[string]int{}
	for _, r := range runs {
		counts[r.Stage]++
	}
	return counts
}

// anyFinished reports whether a run reached its end.
func anyFinished(runs []standin.RunRecord) bool {
	for _, r := range runs {
		if r.Finished {
			return true
		}
	}
	return false
}

// ledgerReadTimeout limits one read of a ledger or of the instance list.
const ledgerReadTimeout = 10 * time.Second

// ListTargets returns the targets on the instance list at listAddress, an IP:port.
func ListTargets(listAddress string) ([]hookhall.Instance, error) {
	var all []hookhall.Instance
	if err := getJSON("http://"+listAddress+instances.Path, &all); err != nil {
		return nil, err
	}
	var targets []hookhall.Instance
	for _, i := range all {
		if i.Role == hookhall.RoleTarget {
			targets = append(targets, i)
		}
	}
	return targets, nil
}

// ReadLedgers returns the runs in the ledgers of all targets on the instance list at
// listAddress, an IP:port, in order of their start. It fails if any ledger can't be read.
func ReadLedgers(listAddress string) ([]standin.RunRecord, error) {
	targets, err := ListTargets(listAddress)
	if err != nil {
		return nil, err
	}
	var all []standin.RunRecord
	for _, target := range targets {
		var runs []standin.RunRecord
		if err := getJSON("http://"+target.Address+"/standin/ledger", &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].StartedAt.Before(all[j].StartedAt) })
	return all, nil
}

// getJSON fetches a JSON document and decodes it into v.
func getJSON(url string, v any) error {
	client := &http.Client{Timeout: ledgerReadTimeout}
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(v)
}

// problemCause returns the cause of a refusal, or "lost" if p is nil.
func problemCause(p *wire.Problem) string {
	if p == nil {
		return "lost"
	}
	return p.Cause
}
