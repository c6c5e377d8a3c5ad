// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"slices"
	"time"
)

// Standing is what is held against a content. It never changes.
type Standing struct {
	// Ends is how many lives of targets ended under it and were not cleared.
	Ends int
	// Since is when the first of them was reported.
	Since time.Time
	// Software is what ended under it, sorted.
	Software []string
	// refused is set when there are enough of them.
	refused bool
}

// Refused tells whether the content may not be sent to any target whose software ended
// under it.
func (s Standing) Refused() bool { return s.refused }

// RefusedBy tells whether it may not be sent to a target with some software. Another
// version, or another service, may bear what ended the one before; the first end proves
// that it doesn't.
func (s Standing) RefusedBy(software string) bool {
	return s.refused && slices.Contains(s.Software, software)
}
