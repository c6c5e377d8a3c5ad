// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hookhall/hookhall"
)

// End is the end of a target's life while it ran a content.
type End struct {
	Content Digest
	// Account bears the cost of remembering the content, "" for requests without one.
	Account string
	Life    hookhall.Life
	// Software is what the target ran: its service and the version of that.
	Software string
	// Served is set when whoever reported it had served the content a moment before: then
	// it does not end each target that runs it.
	Served bool
	// Cleared is set once a target gave a whole answer to the content.
	Cleared bool
	// At is when it was first reported, by this process's clock.
	At time.Time
}

// sum is the End's part of the ledger's sum.
func (e *End) sum() uint64 {
	b := make([]byte, 0, 128)
	b = append(b, e.Content[:]...)
	b = append(append(b, e.Life.ID...), 0)
	b = binary.AppendVarint(b, e.Life.Born)
	if e.Cleared {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}
