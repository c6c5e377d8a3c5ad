// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package metrics counts what happens, with tally.
//
// # Model
//
// Metrics are labelled by pipeline, stage and cause, never by account: 8,200
// accounts would make more series than anyone can look at. What happened to an
// account lately is kept in an AccountStats each, which "explain" reads.
package metrics

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// report is how often tally passes values on.
const report = time.Second

// buckets of request durations.
var buckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Metrics is a pipeline.Meter.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	accounts sync.Map // name to *AccountStats
}

// New makes a Metrics.
func New() *Metrics {
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hookhall", CachedReporter: r, Separator: prometheus.DefaultSeparator,
	}, report)
	return &Metrics{scope: scope, closer: closer, reporter: r}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Scope is for further metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close passes the last values on.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "metrics") }

// Stage implements pipeline.Meter.
func (m *Metrics) Stage(pipeline string, c hookhall.StageCost) {
	s := m.scope.Tagged(map[string]string{"pipeline": pipeline, "stage": c.Stage})
	s.Counter("stage_calls").Inc(int64(c.Calls))
	s.Counter("stage_tokens").Inc(int64(c.Tokens))
	s.Counter("stage_busy_ms").Inc(int64(c.BusyMS))
	s.Counter("stage_wait_ms").Inc(int64(c.WaitMS))
}

// answered is the cause label of a request that got its answer.
const answered = "answered"

// Done implements pipeline.Meter.
func (m *Metrics) Done(r *hookhall.Request, took time.Duration, err *hookhall.Error) {
	cause, verdict := answered, hookhall.Ran
	if err != nil {
		cause, verdict = string(err.Cause), err.Verdict
	}
	s := m.scope.Tagged(map[string]string{"pipeline": r.Pipeline, "cause": cause, "verdict": verdict.String()})
	s.Counter("requests").Inc(1)
	s.Histogram("request_duration", buckets).RecordDuration(took)
	m.Account(r.Account).add(cause, err)
}

// Forwarded counts a passed-on request's end.
func (m *Metrics) Forwarded(route, cause string, verdict hookhall.Verdict, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"route": route, "cause": cause, "verdict": verdict.String()})
	s.Counter("forwarded").Inc(1)
	s.Histogram("forward_duration", buckets).RecordDuration(took)
}

// Repeated counts a send to a further target.
func (m *Metrics) Repeated(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("repeats").Inc(1)
}

// Restored counts a return of the platform's store from an older copy.
func (m *Metrics) Restored(era uint64) {
	m.scope.Counter("store_restored").Inc(1)
	m.scope.Gauge("store_era").Update(float64(era))
}

// TargetEnded counts a target's end while it ran a request, found by this process.
func (m *Metrics) TargetEnded(software string) {
	m.scope.Tagged(map[string]string{"software": software}).Counter("target_ends").Inc(1)
}

// ContentsRefused is how many contents are refused since targets ended under them.
func (m *Metrics) ContentsRefused(n int) { m.scope.Gauge("contents_refused").Update(float64(n)) }

// Advised counts a change of a target's advisory.
func (m *Metrics) Advised(service, kind string) {
	m.scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("advisories").Inc(1)
}

// AccountStats is what happened to an account's requests here.
type AccountStats struct {
	causes sync.Map // cause to *atomic.Int64
	last   atomic.Pointer[Refusal]
}

// Refusal is the last failure of an account.
type Refusal struct {
	At     time.Time `json:"at"`
	Cause  string    `json:"cause"`
	Detail string    `json:"detail"`
	Stage  string    `json:"stage,omitempty"`
}

// Account finds an account's stats.
func (m *Metrics) Account(name string) *AccountStats {
	v, ok := m.accounts.Load(name)
	if !ok {
		v, _ = m.accounts.LoadOrStore(name, &AccountStats{})
	}
	return v.(*AccountStats)
}

func (a *AccountStats) add(cause string, err *hookhall.Error) {
	v, ok := a.causes.Load(cause)
	if !ok {
		v, _ = a.causes.LoadOrStore(cause, &atomic.Int64{})
	}
	v.(*atomic.Int64).Add(1)
	if err != nil {
		a.last.Store(&Refusal{time.Now(), cause, err.Detail, err.Stage})
	}
}

// Counts are the totals by cause since the start.
func (a *AccountStats) Counts() map[string]int64 {
	counts := map[string]int64{}
	a.causes.Range(func(k, v any) bool {
		counts[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return counts
}

// Last is the last failure, nil if there was none.
func (a *AccountStats) Last() *Refusal { return a.last.Load() }
