// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"slices"
	"time"
)

// Status is the crash status of a request content, or of parts of a request. It is immutable.
type Status struct {
	// Crashes is the number of target incarnations with an uncleared crash while running the
	// content. Simultaneous crashes count as one if the content was recently served.
	Crashes int
	// FirstReported is the first report of those crashes, by the clock of this process.
	FirstReported time.Time
	// Software is what the crashed targets ran, service and version, sorted.
	Software []string
	// refused is set when Crashes has reached Limits.MinCrashes.
	refused bool
}

// Refused reports whether the content must not be sent to targets with the software that
// crashed while running it.
func (s Status) Refused() bool { return s.refused }

// RefusedBy reports whether the content must not be sent to targets with this software, a
// service and version. Another version or service may handle the content without a crash,
// and is refused too from its first crash on.
func (s Status) RefusedBy(software string) bool {
	return s.refused && slices.Contains(s.Software, software)
}

// Union returns the status of a request that both statuses concern.
func (s Status) Union(other Status) Status {
	switch {
	case !other.refused:
		return s
	case !s.refused:
		return other
	}
	if other.FirstReported.Before(s.FirstReported) {
		s.FirstReported = other.FirstReported
	}
	s.Crashes = max(s.Crashes, other.Crashes)
	s.Software = slices.Concat(s.Software, other.Software)
	slices.Sort(s.Software)
	s.Software = slices.Compact(s.Software)
	return s
}
