// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// evacuationHoldTime is for how long after the store came back from a copy a hall stays evacuated
// that was before: the copy may lack it until operators have written it again, which they
// do within moments. It is less than the five seconds that an evacuation may take.
const evacuationHoldTime = 4 * time.Second

// holdHalls has halls that were evacuated in an earlier era of the store stay so for a while:
// nothing is to be sent to a hall that operators emptied, though the copy lacks their word.
// The caller holds c.mu.
func (c *Catalog) holdHalls(before Halls, now time.Time) {
	for _, hall := range before.Evacuated {
		c.heldUntil[hall] = now.Add(evacuationHoldTime)
	}
}

// withHeldHalls adds the halls that are held to those that were told. The caller holds c.mu.
func (c *Catalog) withHeldHalls(told []string, now time.Time) []string {
	list := slices.Clone(told)
	for hall, until := range c.heldUntil {
		if now.After(until) {
			delete(c.heldUntil, hall)
		} else if !slices.Contains(list, hall) {
			list = append(list, hall)
		}
	}
	slices.Sort(list)
	return list
}

// copied tells whether what a later era of the store says of a target is from before what
// is known of it: an earlier life, or one that had gone, not written again since. Nothing is to be
// sent to a target that has left, though the copy still lists it. The caller holds c.mu.
func (c *Catalog) isFromCopy(e *entry, t hookhall.Target, revision hookhall.Revision, now time.Time) bool {
	if e == nil || revision.Era() <= e.revision.Era() || revision > c.eraBaseRevision {
		return false
	}
	gone := !e.missingSince.IsZero() && now.After(e.lapsesAt)
	return t.Born < e.target.Born || (gone && t.Life() == e.target.Life())
}

// isOlderTable tells whether the table that a later era of the store has is from before the
// one in force: operators write it again. The caller holds c.mu.
func (c *Catalog) isOlderTable(s *tableState, version int64, revision hookhall.Revision) bool {
	return s != nil && revision.Era() > s.revision.Era() && version < s.table.Version()
}

// keepNewerTable keeps the table in force, which the store has nothing newer than. It
// writes a line in each era. The caller holds c.mu.
func (c *Catalog) keepNewerTable(s *tableState, version int64, revision hookhall.Revision, began time.Time) {
	if began.After(s.confirmed) {
		again := *s
		again.confirmed = began
		c.table.Store(&again)
	}
	if c.olderTableEra == revision.Era() {
		return
	}
	c.olderTableEra = revision.Era()
	c.log.Warn("The store came back with an older table; the one in force stays.", "version", s.table.Version(), "stored", version, "revision", revision)
}
