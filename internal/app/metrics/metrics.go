// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package metrics collects the metrics of a process with tally and exports them to
// Prometheus.
//
// # Model
//
// Metrics are labelled by pipeline, stage and cause, but never by client account:
// 8,200 accounts would produce more series than anyone can inspect. The totals and the
// last failure of each account are kept in its AccountStats, which operators read
// through "explain".
package metrics

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes values on to the exporter. Exported values
// are out of date by up to this much.
const reportInterval = time.Second

// durationBuckets has the upper bounds of the buckets of request durations.
var durationBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// Metrics holds the metrics of a process. It implements pipeline.Meter and the meters
// of the other packages that report events, and is safe for concurrent use.
type Metrics struct {
	scope          tally.Scope
	closer         io.Closer
	reporter       prometheus.Reporter
	statsByAccount sync.Map // account name to *AccountStats
}

// New returns a Metrics with a registry of its own. Close must be called at the end.
func New() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hookhall", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}
}

// Handler returns the HTTP handler that serves the metrics in Prometheus' format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Scope returns the root scope, in which callers can define further metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Close passes the last values on to the exporter and stops the reporting.
func (m *Metrics) Close() error { return errors.Wrap(m.closer.Close(), "metrics") }

// RecordStage implements pipeline.Meter: it adds the cost of a stage of a request.
func (m *Metrics) RecordStage(pipeline string, cost hookhall.StageCost) {
	scope := m.scope.Tagged(map[string]string{"pipeline": pipeline, "stage": cost.Stage})
	scope.Counter("stage_calls").Inc(int64(cost.Calls))
	scope.Counter("stage_tokens").Inc(int64(cost.Tokens))
	scope.Counter("stage_busy_ms").Inc(int64(cost.BusyMS))
	scope.Counter("stage_wait_ms").Inc(int64(cost.WaitMS))
}

// causeAnswered is the cause label of a request that was answered.
const causeAnswered = "answered"

// RecordRequest implements pipeline.Meter: it counts a finished request. err is nil if the
// request was answered.
func (m *Metrics) RecordRequest(request *hookhall.Request, took time.Duration, err *hookhall.Error) {
	cause, verdict := causeAnswered, hookhall.Ran
	if err != nil {
		cause, verdict = string(err.Cause), err.Verdict
	}
	scope := m.scope.Tagged(map[string]string{"pipeline": request.Pipeline, "cause": cause, "verdict": verdict.String()})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_duration", durationBuckets).RecordDuration(took)
	m.Account(request.Account).add(cause, err)
}

// Forwarded counts a finished forwarded request, which took the given time.
func (m *Metrics) Forwarded(route, cause string, verdict hookhall.Verdict, took time.Duration) {
	scope := m.scope.Tagged(map[string]string{"route": route, "cause": cause, "verdict": verdict.String()})
	scope.Counter("forwarded").Inc(1)
	scope.Histogram("forward_duration", durationBuckets).RecordDuration(took)
}

// OwnAnswer counts an answer that this process made itself, by status and cause.
func (m *Metrics) OwnAnswer(status int, cause string) {
	m.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "cause": cause}).Counter("own_answers").Inc(1)
}

// RefusedByTable counts a request that the table in force does not allow, and records the time
// since that table was last confirmed.
func (m *Metrics) RefusedByTable(cause string, age time.Duration, listed bool) {
	scope := m.scope.Tagged(map[string]string{"cause": cause, "listed": strconv.FormatBool(listed)})
	scope.Histogram("refusal_table_age", durationBuckets).RecordDuration(age)
}

// StoreCall implements outage.Meter: it counts a call of the platform's store.
func (m *Metrics) StoreCall(kind, outcome string) {
	m.scope.Tagged(map[string]string{"call": kind, "outcome": outcome}).Counter("store_calls").Inc(1)
}

// UnfinishedStream counts a stream that its target ended inside an event, by the framing of its
// answer.
func (m *Metrics) UnfinishedStream(framing hookhall.Framing) {
	m.scope.Tagged(map[string]string{"framing": string(framing)}).Counter("unfinished_streams").Inc(1)
}

// StreamTakenUp counts a stream that a client takes up, by the source of its software version.
func (m *Metrics) StreamTakenUp(source string) {
	m.scope.Tagged(map[string]string{"source": source}).Counter("streams_taken_up").Inc(1)
}

// Retried counts a retry, an attempt of a request at a further target.
func (m *Metrics) Retried(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("repeats").Inc(1)
}

// Admission counts a decision about a request by the load of its stage pools. urgency is the
// level in hookhall.PoolLoad.
func (m *Metrics) Admission(outcome, reason string, urgency int) {
	m.scope.Tagged(map[string]string{"outcome": outcome, "reason": reason, "urgency": strconv.Itoa(urgency)}).Counter("admissions").Inc(1)
}

// PauseAvoided counts the choice of another engine because a stream would have paused for too
// long.
func (m *Metrics) PauseAvoided(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("pauses_avoided").Inc(1)
}

// EnginePaces sets the median of the learned paces of a service's engines, and the lowest one, in
// tokens per ms.
func (m *Metrics) EnginePaces(service string, median, slowest float64) {
	scope := m.scope.Tagged(map[string]string{"service": service})
	scope.Gauge("engine_pace_median").Update(median)
	scope.Gauge("engine_pace_slowest").Update(slowest)
}

// Restored counts a restoration of the platform's store from an older copy, and
// records the era that began with it.
func (m *Metrics) Restored(era uint64) {
	m.scope.Counter("store_restored").Inc(1)
	m.scope.Gauge("store_era").Update(float64(era))
}

// TargetCrashed counts a crash of a target while it ran a request, detected by this
// process. software is the target's service and version.
func (m *Metrics) TargetCrashed(software string) {
	m.scope.Tagged(map[string]string{"software": software}).Counter("target_ends").Inc(1)
}

// ContentsRefused sets the number of request contents that are refused because targets
// crashed while they ran them.
func (m *Metrics) ContentsRefused(n int) { m.scope.Gauge("contents_refused").Update(float64(n)) }

// PartsRefused sets the number of sets of prompt parts that are refused for the same reason.
func (m *Metrics) PartsRefused(n int) { m.scope.Gauge("parts_refused").Update(float64(n)) }

// CountStageEvents implements stages.Meter: it counts messages between this process and
// brokers, and dispatches of queues.
func (m *Metrics) CountStageEvents(kind string, n int) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("stage_events").Inc(int64(n))
}

// Advised counts a change of the advisory of a target.
func (m *Metrics) Advised(service, kind string) {
	m.scope.Tagged(map[string]string{"service": service, "kind": kind}).Counter("advisories").Inc(1)
}

// ConnectionFailed counts a direct connection to a target that failed, by the kind of failure.
func (m *Metrics) ConnectionFailed(kind string) {
	m.scope.Tagged(map[string]string{"kind": kind}).Counter("target_connections_failed").Inc(1)
}

// TargetsUnreachable sets the number of targets that this process can't connect to.
func (m *Metrics) TargetsUnreachable(n int) { m.scope.Gauge("targets_unreachable").Update(float64(n)) }

// Isolated sets whether this process can't connect to any target.
func (m *Metrics) Isolated(isolated bool) {
	value := 0.0
	if isolated {
		value = 1
	}
	m.scope.Gauge("isolated").Update(value)
}

// OwnDelay sets the delay that this process adds to its round trips and timers.
func (m *Metrics) OwnDelay(trips, timers time.Duration) {
	m.scope.Tagged(map[string]string{"kind": "trip"}).Gauge("own_delay_seconds").Update(trips.Seconds())
	m.scope.Tagged(map[string]string{"kind": "timer"}).Gauge("own_delay_seconds").Update(timers.Seconds())
}

// ClientConnections sets the number of open connections of clients, and that of request bodies
// being read.
func (m *Metrics) ClientConnections(open, reading int64) {
	m.scope.Gauge("client_connections").Update(float64(open))
	m.scope.Gauge("bodies_reading").Update(float64(reading))
}

// IntakeLimit sets the limit of the requests in progress, 0 for none.
func (m *Metrics) IntakeLimit(limit float64) { m.scope.Gauge("intake_limit").Update(limit) }

// ClosedUnread counts a connection that was closed with a request unread.
func (m *Metrics) ClosedUnread() { m.scope.Counter("closed_unread").Inc(1) }

// NoAnswer counts a connection on which a target sent bytes that can't be an answer.
func (m *Metrics) NoAnswer() { m.scope.Counter("target_bytes_no_answer").Inc(1) }

// RelayAsked counts a peer that was asked for a connection to a target, by outcome.
func (m *Metrics) RelayAsked(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("relays_asked").Inc(1)
}

// Relayed counts a connection to a target that a peer asked for, by outcome.
func (m *Metrics) Relayed(outcome string) {
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("relayed").Inc(1)
}

// RoleMoved counts a change of the owner of a role, by the list of gateways of this process that
// it learned from source: the store or a peer.
func (m *Metrics) RoleMoved(role, source string) {
	m.scope.Tagged(map[string]string{"role": role, "source": source}).Counter("roles_moved").Inc(1)
}

// ListAdopted counts a complete list of gateways that was adopted from a peer, as the store does
// not answer this process.
func (m *Metrics) ListAdopted() { m.scope.Counter("gateway_lists_adopted").Inc(1) }

// JobsHandedOver counts waiting jobs of a pool that this process ended because another one has
// become the pool's broker.
func (m *Metrics) JobsHandedOver(service string, jobs int) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("stage_jobs_handed_over").Inc(int64(jobs))
}

// ResultsAdopted counts results of an earlier broker of a pool that this process has learned of
// as its new broker.
func (m *Metrics) ResultsAdopted(service string, results int) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("stage_results_adopted").Inc(int64(results))
}

// AccountStats has the totals and the last failure of one client account's requests at
// this process.
// It is safe for concurrent use.
type AccountStats struct {
	countsByCause sync.Map // cause to *atomic.Int64
	lastFailure   atomic.Pointer[Failure]
}

// Failure describes a refused or failed request. Detail is the text of the error. Stage is
// the stage at which it occurred, "" if it occurred outside the stages.
type Failure struct {
	At     time.Time `json:"at"`
	Cause  string    `json:"cause"`
	Detail string    `json:"detail"`
	Stage  string    `json:"stage,omitempty"`
}

// Account returns the stats of the client account called name, and creates them at the
// first call.
func (m *Metrics) Account(name string) *AccountStats {
	stats, ok := m.statsByAccount.Load(name)
	if !ok {
		stats, _ = m.statsByAccount.LoadOrStore(name, &AccountStats{})
	}
	return stats.(*AccountStats)
}

// add counts one request by cause, and keeps err as the last failure if it is not nil.
func (a *AccountStats) add(cause string, err *hookhall.Error) {
	count, ok := a.countsByCause.Load(cause)
	if !ok {
		count, _ = a.countsByCause.LoadOrStore(cause, &atomic.Int64{})
	}
	count.(*atomic.Int64).Add(1)
	if err != nil {
		a.lastFailure.Store(&Failure{time.Now(), cause, err.Detail, err.Stage})
	}
}

// Counts returns the number of requests by cause since the start of the process;
// answered ones count as "answered".
func (a *AccountStats) Counts() map[string]int64 {
	counts := map[string]int64{}
	a.countsByCause.Range(func(k, v any) bool {
		counts[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return counts
}

// LastFailure returns the last failure, nil if there was none.
func (a *AccountStats) LastFailure() *Failure { return a.lastFailure.Load() }
