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

func (p *cooldowns) add(name string, until time.Time) { p.untilByName.Store(name, until) }

// isActive reports whether name has a cooldown that has not ended at now. It
// removes one that has.
func (p *cooldowns) isActive(name string, now time.Time) bool {
	until, ok := p.untilByName.Load(name)
	if !ok {
		return false
	}
	if now.Before(until.(time.Time)) {
		return true
	}
	p.untilByName.Delete(name)
	return false
}
