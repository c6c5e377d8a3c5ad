// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package limits

import (
	"sync"
	"time"
)

// pauses remembers until when names are left alone.
type pauses struct{ until sync.Map }

func (p *pauses) add(name string, until time.Time) { p.until.Store(name, until) }

func (p *pauses) has(name string, now time.Time) bool {
	v, ok := p.until.Load(name)
	if !ok {
		return false
	}
	if now.Before(v.(time.Time)) {
		return true
	}
	p.until.Delete(name)
	return false
}
