// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"slices"
	"strings"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

// updateRefusals logs what is newly refused or no longer refused, sets the
// metrics, and signals syncStore that the store may have to be written.
func (q *Quarantine) updateRefusals() {
	refused, parts := q.Ledger.Refused(), q.Parts.Refused()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logContents(refused)
	q.logParts(parts)
	if q.Meter != nil {
		q.Meter.ContentsRefused(len(refused))
		q.Meter.PartsRefused(len(parts))
	}
	select {
	case q.writeSignal <- struct{}{}:
	default: // a signal is pending
	}
}

// logContents logs which contents are newly refused or no longer refused. q.mu must be held.
func (q *Quarantine) logContents(refused map[crashes.Digest]crashes.Status) {
	for d, s := range refused {
		if !q.loggedRefusals[d] {
			q.loggedRefusals[d] = true
			q.log.Warn("content refused: targets crash when they run it", "content", d, "ends", s.Crashes,
				"software", s.Software, "first_ago_ms", clock.Since(s.FirstReported).Milliseconds(), "targets", crashedTargets(q.Ledger, d))
		}
	}
	for d := range q.loggedRefusals {
		if _, isRefused := refused[d]; !isRefused {
			delete(q.loggedRefusals, d)
			q.log.Info("content no longer refused", "content", d)
		}
	}
}

// logParts logs which sets of parts are newly refused or no longer refused. q.mu must be held.
func (q *Quarantine) logParts(refused []crashes.RefusedParts) {
	current := map[string]bool{}
	for _, set := range refused {
		list := partList(set)
		current[list] = true
		if !q.loggedParts[list] {
			q.loggedParts[list] = true
			q.log.Warn("parts refused: targets crash when they run requests with them", "parts", list, "ends", set.Status.Crashes,
				"software", set.Status.Software, "first_ago_ms", clock.Since(set.Status.FirstReported).Milliseconds(),
				"targets", crashedTargets(q.Parts.Ledger(), set.Parts[0].Digest))
		}
	}
	for list := range q.loggedParts {
		if !current[list] {
			delete(q.loggedParts, list)
			q.log.Info("parts no longer refused", "parts", list)
		}
	}
}

// crashedTargets returns the ids of the targets whose crashes count against a content or part,
// sorted.
func crashedTargets(l *crashes.Ledger, d crashes.Digest) []string {
	var ids []string
	for _, crash := range l.ByContent(d) {
		if !crash.Cleared {
			ids = append(ids, crash.Incarnation.ID)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// maxLoggedParts is the maximum number of parts in a log line.
const maxLoggedParts = 8

// partList returns the digests and IDs of a set of parts.
func partList(set crashes.RefusedParts) string {
	var list []string
	for _, part := range set.Parts[:min(len(set.Parts), maxLoggedParts)] {
		list = append(list, part.Digest.String()+":"+part.ID)
	}
	return strings.Join(list, ",")
}

// partIDs returns the IDs of the parts among crashes, without duplicates.
func partIDs(list []crashes.Crash) string {
	var ids []string
	for _, crash := range list {
		if crash.Part != "" && len(ids) < maxLoggedParts && !slices.Contains(ids, crash.Part) {
			ids = append(ids, crash.Part)
		}
	}
	return strings.Join(ids, ",")
}
