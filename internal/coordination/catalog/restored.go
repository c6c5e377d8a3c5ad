// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package catalog

import (
	"slices"
	"time"

	"github.com/hookhall/hookhall"
)

// evacuationHoldTime is how long an evacuated hall stays evacuated after the store was restored
// from an older copy: the copy may lack the evacuation until operators have written it again,
// which they do within moments. It is less than the five seconds that an evacuation may take.
const evacuationHoldTime = 4 * time.Second

// holdHalls keeps halls that were evacuated in an earlier era of the store evacuated for
// evacuationHoldTime: nothing may be sent to a hall that operators have emptied, even if the
// restored copy lacks the evacuation. c.mu must be held.
func (c *Catalog) holdHalls(before Halls, now time.Time) {
	for _, hall := range before.Evacuated {
		c.heldUntil[hall] = now.Add(evacuationHoldTime)
	}
}

// withHeldHalls returns the evacuated halls of the store together with those that are held,
// sorted. c.mu must be held.
func (c *Catalog) withHeldHalls(stored []string, now time.Time) []string {
	list := slices.Clone(stored)
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

// isFromCopy reports whether a value that the store lists in a later era is older than the known
// state of the target: it has an earlier incarnation, or one that had gone and has not written
// its key since the restore. Nothing may be sent to a target that has left, even if the restored
// copy still lists it. c.mu must be held.
func (c *Catalog) isFromCopy(e *entry, t hookhall.Target, revision hookhall.Revision, now time.Time) bool {
	if e == nil || revision.Era() <= e.revision.Era() || revision > c.eraBaseRevision {
		return false
	}
	gone := !e.missingSince.IsZero() && now.After(e.lapsesAt)
	return t.Start < e.target.Start || (gone && t.Incarnation() == e.target.Incarnation())
}

// isOlderTable reports whether the store has, in a later era, a table that is older than the one
// in force; operators write theirs again. c.mu must be held.
func (c *Catalog) isOlderTable(s *tableState, version int64, revision hookhall.Revision) bool {
	return s != nil && revision.Era() > s.revision.Era() && version < s.table.Version()
}

// keepNewerTable confirms the table in force, as the store has nothing newer. It logs this once
// in each era. c.mu must be held.
func (c *Catalog) keepNewerTable(s *tableState, version int64, revision hookhall.Revision, began time.Time) {
	if began.After(s.confirmed) {
		updated := *s
		updated.confirmed = began
		c.table.Store(&updated)
	}
	if c.olderTableEra == revision.Era() {
		return
	}
	c.olderTableEra = revision.Era()
	c.log.Warn("store was restored with an older table; keeping the current one", "version", s.table.Version(), "stored", version, "revision", revision)
}
