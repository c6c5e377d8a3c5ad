// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hookhall/hookhall"
)

// AdmissionStatus is the state of an Admission in the state dump.
type AdmissionStatus struct {
	Mode AdmissionMode `json:"mode"`
	// Counts are those since the start of the process, by outcome, reason and urgency level.
	Counts      []AdmissionCount  `json:"counts"`
	LastRefusal *AdmissionRefusal `json:"last_refusal,omitempty"`
	// AdmittedSinceReport has the pieces that this process admitted since the latest report on
	// each pool, by service.
	AdmittedSinceReport map[string]AdmittedPieces `json:"admitted_since_report"`
}

// AdmissionCount is how often an outcome occurred.
type AdmissionCount struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Urgency int    `json:"urgency"` // level
	Count   int64  `json:"count"`
}

// AdmissionRefusal describes a refusal, or what would be one in mode log.
type AdmissionRefusal struct {
	At           time.Time `json:"at"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Request      string    `json:"request"`
	Route        string    `json:"route"`
	Urgency      int       `json:"urgency"`
	Account      string    `json:"account,omitempty"`
	Pool         string    `json:"pool"`  // service of the pool with the longest wait
	Ahead        float64   `json:"ahead"` // pieces
	Rate         float64   `json:"rate"`  // pieces per second
	ReportAgeMS  int64     `json:"report_age_ms"`
	ExpectedMS   int64     `json:"expected_ms"` // until the first byte
	RetryAfterMS int64     `json:"retry_after_ms"`
}

// AdmittedPieces are pieces admitted to a pool, and those that follow at other pools, by urgency
// level.
type AdmittedPieces struct {
	Waiting  []int64            `json:"waiting"`
	Upcoming map[string][]int64 `json:"upcoming,omitempty"`
}

// list returns the numbers as a slice.
func (l *levels) list() []int64 {
	list := make([]int64, hookhall.UrgencyLevels)
	for i := range l {
		list[i] = l[i].Load()
	}
	return list
}

// Status returns the state of the Admission, which may be nil.
func (a *Admission) Status() AdmissionStatus {
	status := AdmissionStatus{Mode: AdmissionOff, Counts: []AdmissionCount{}, AdmittedSinceReport: map[string]AdmittedPieces{}}
	if !a.isActive() {
		return status
	}
	status.Mode, status.LastRefusal = a.Mode, a.lastRefusal.Load()
	a.counts.Range(func(key, value any) bool {
		count := key.(AdmissionCount)
		count.Count = value.(*atomic.Int64).Load()
		status.Counts = append(status.Counts, count)
		return true
	})
	slices.SortFunc(status.Counts, func(a, b AdmissionCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Urgency, b.Urgency))
	})
	a.admittedByPool.Range(func(key, value any) bool {
		work := value.(*atomic.Pointer[admittedWork]).Load()
		if work == nil {
			return true
		}
		pieces := AdmittedPieces{Waiting: work.waiting.list()}
		work.upcoming.Range(func(service, upcoming any) bool {
			if pieces.Upcoming == nil {
				pieces.Upcoming = map[string][]int64{}
			}
			pieces.Upcoming[service.(string)] = upcoming.(*levels).list()
			return true
		})
		status.AdmittedSinceReport[key.(string)] = pieces
		return true
	})
	return status
}
