// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// Crash records that an incarnation of a target crashed while it ran a request content, or a request
// whose prompt has a part.
type Crash struct {
	// Content is the digest of the request content, or that of the part if Part is set.
	Content Digest
	// Part is the ID of the part, "" for a crash that is counted for a whole content.
	Part string
	// Account is the client account of the request, "" for requests without one.
	Account     string
	Incarnation hookhall.Incarnation // the incarnation that crashed
	// Software is what the target ran: its service and version.
	Software string
	// RecentlyServed is set if any process had served the content shortly before it learned of
	// the crash, or a target had been writing its answer for a while, which shows that not every target
	// that runs it crashes.
	RecentlyServed bool
	// Cleared is set once a target has given a complete response to the content, or to another
	// request with the part.
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
	if c.Part != "" {
		b = append(append(b, 3), c.Account...) // a part is counted for each account
	}
	return xxhash.Sum64(b)
}

// key identifies a crash among those of one content or part.
type key struct {
	hookhall.Incarnation
	account string
}

// key returns the key of c. All crashes of a content have one account; those of a part have that of
// the request.
func (c *Crash) key() key { return key{c.Incarnation, c.Account} }
