// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package limits

import (
	"sync"
	"time"
)

// cooldowns maps the ID of an owner to the time until which it is not called. Its
// zero value is ready, and it is safe for concurrent use.
type cooldowns struct{ untilByOwner sync.Map }

// add sets the cooldown of an owner; it replaces an earlier one.
func (c *cooldowns) add(ownerID string, until time.Time) { c.untilByOwner.Store(ownerID, until) }

// isActive reports whether an owner has a cooldown that has not ended at now. It
// removes one that has.
func (c *cooldowns) isActive(ownerID string, now time.Time) bool {
	until, ok := c.untilByOwner.Load(ownerID)
	if !ok {
		return false
	}
	if now.Before(until.(time.Time)) {
		return true
	}
	c.untilByOwner.Delete(ownerID)
	return false
}
