// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package hookhall

import (
	"fmt"

	"github.com/pkg/errors"
)

// Revision is a point in the history of the platform's store: its era, and its number of
// changes within that era. A store that was restored from an older copy is in a later era
// and assigns numbers of changes again that it had assigned before. Revisions are ordered by
// era first, so that an answer of an earlier era never counts as newer. 0 is before any other.
//
// It is one number, with the era in the upper bits, and is sent to peers and hashed into
// digests as such.
type Revision uint64

const (
	countBits = 48
	// maxEra and maxCount are the largest values that a Revision can hold.
	maxEra   = 1<<(64-countBits) - 1
	maxCount = 1<<countBits - 1
)

// ErrRevisionRange is returned for an era or a number of changes that is too large.
var ErrRevisionRange = errors.New("era or count of changes out of range")

// NewRevision returns the Revision for a number of changes in an era, or ErrRevisionRange
// (wrapped) if one of them is too large.
func NewRevision(era, count uint64) (Revision, error) {
	if era > maxEra || count > maxCount {
		return 0, errors.Wrapf(ErrRevisionRange, "era %d, count %d", era, count)
	}
	return Revision(era<<countBits | count), nil
}

// Era returns how many times the store had been restored from a copy.
func (r Revision) Era() uint64 { return uint64(r) >> countBits }

// Count returns the store's number of changes within the era.
func (r Revision) Count() uint64 { return uint64(r) & maxCount }

// String returns ERA/COUNT, or only the count in era 0.
func (r Revision) String() string {
	if r.Era() == 0 {
		return fmt.Sprint(r.Count())
	}
	return fmt.Sprintf("%d/%d", r.Era(), r.Count())
}

// Lease identifies a lease of the store. The store may assign Number again in a later era.
type Lease struct {
	Era    uint64
	Number uint64 // 0 for none
}
