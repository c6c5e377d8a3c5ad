// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"fmt"

	"github.com/pkg/errors"
)

// Revision is a moment of the platform's store: its era, and its count of changes within
// that era. A store that comes back from an older copy is in a later era, and gives out counts
// again that it had given out before. Revisions are in the order of eras first, so that what is compared
// by them never holds an answer of an earlier era for newer. 0 is before any.
//
// It is one number, the era in the upper bits: it goes to peers and into digests as such.
type Revision uint64

const (
	countBits = 48
	// eraMost and countMost bound what a Revision can tell.
	eraMost   = 1<<(64-countBits) - 1
	countMost = 1<<countBits - 1
)

// ErrRevision is returned for an era or a count that is too large.
var ErrRevision = errors.New("era or count of changes out of range")

// NewRevision makes the Revision of a count of changes in an era.
func NewRevision(era, count uint64) (Revision, error) {
	if era > eraMost || count > countMost {
		return 0, errors.Wrapf(ErrRevision, "era %d, count %d", era, count)
	}
	return Revision(era<<countBits | count), nil
}

// Era is how often the store had come back from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> countBits }

// Count is the store's count of changes within the era.
func (r Revision) Count() uint64 { return uint64(r) & countMost }

// String has the count, after the era where there is one.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Count())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Count())
}

// Lease is a lease of the store. Its number is given out again in a later era.
type Lease struct {
	Era    uint64
	Number uint64 // 0 for none
}
