// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

// Meter counts the messages between processes and brokers, and the dispatches of brokers.
type Meter interface {
	// CountStageEvents adds n events of a kind.
	CountStageEvents(kind string, n int)
}

// Kinds of events. Pings are those sent by this process, and freed results those in its calls
// to free them.
const (
	dispatchEvent     = "dispatch"
	pingEvent         = "ping"
	failedPingEvent   = "ping_failed"
	freeCallEvent     = "free_call"
	freedResultsEvent = "freed_results"
	loadReportEvent   = "load_report"
	// Jobs that the minimum share started, and jobs whose inputs expired before a call.
	shareStartedEvent  = "share_started"
	inputsExpiredEvent = "inputs_expired"
)

// count counts events of a Broker.
func (b *Broker) count(kind string, n int) {
	if b.Meter != nil {
		b.Meter.CountStageEvents(kind, n)
	}
}

// count counts events of a Runner.
func (r *Runner) count(kind string, n int) {
	if r.Meter != nil {
		r.Meter.CountStageEvents(kind, n)
	}
}
