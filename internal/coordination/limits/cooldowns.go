// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package limits

import (
	"sync"
	"time"
)

// cooldowns maps the ID of an owner to the time until which it is not called. Its
// zero value is ready, and it is safe for concurrent use.
type cooldowns struct{ untilByName sync.Map }

func (c *cooldowns) add(name string, until time.Time) { c.untilByName.Store(name, until) }

// isActive reports whether name has a cooldown that has not ended at now. It
// removes one that has.
func (c *cooldowns) isActive(name string, now time.Time) bool {
	until, ok := c.untilByName.Load(name)
	if !ok {
		return false
	}
	if now.Before(until.(time.Time)) {
		return true
	}
	c.untilByName.Delete(name)
	return false
}
