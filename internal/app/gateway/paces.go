// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall/internal/state/balance"
)

// paceMeter records the paces of the engines of a service.
type paceMeter interface {
	EnginePaces(service string, median, slowest float64)
}

// paceReporter reports the paces of engines that this process has learned as a placement owner.
type paceReporter struct {
	Meter    paceMeter
	Log      *log.Logger
	isUneven map[string]bool // services whose paces were uneven in the last report
}

// report sets the metrics of all services, and logs a line for each whose paces became uneven or
// even since the last report.
func (r *paceReporter) report(paces map[string]balance.PoolPace) {
	isUneven := map[string]bool{}
	for service, p := range paces {
		r.Meter.EnginePaces(service, p.Median, p.Slowest)
		message := "paces of engines are even"
		if p.IsUneven {
			isUneven[service] = true
			message = "paces of engines are uneven; slower ones get fewer shared parts"
		}
		if p.IsUneven != r.isUneven[service] {
			r.Log.Info(message, "service", service, "median_tokens_per_ms", p.Median, "slowest", p.Slowest, "fixed_ms", p.FixedMS, "engines", p.Learned)
		}
	}
	r.isUneven = isUneven
}
