// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// Crash records that an incarnation of a target crashed while it ran a request content.
type Crash struct {
	Content Digest
	// Account is the client account whose capacity the content counts against, "" for
	// requests without one.
	Account     string
	Incarnation hookhall.Incarnation // the incarnation that crashed
	// Software is what the target ran: its service and version.
	Software string
	// RecentlyServed is set if any process had served the content shortly before it learned of
	// the crash, which shows that not every target that runs it crashes.
	RecentlyServed bool
	// Cleared is set once a target has given a complete response to the content.
	Cleared bool
	// ReportedAt is the time of the first report, by the clock of this process.
	ReportedAt time.Time
}

// checksum returns the contribution of c to Ledger.Checksum.
func (c *Crash) checksum() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, c.Content[:]...)
	b = append(append(b, c.Incarnation.ID...), 0)
	b = binary.AppendVarint(b, c.Incarnation.Start)
	if c.Cleared {
		b = append(b, 1)
	}
	if c.RecentlyServed {
		b = append(b, 2)
	}
	return xxhash.Sum64(b)
}
