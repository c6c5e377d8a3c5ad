// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ownPathBreaks is from how many targets on whose connections broke together the cause is
	// this process's path.
	ownPathBreaks = 3
	// breakLifetime is how long a broken connection counts.
	breakLifetime = time.Second
)

// Breaks distinguishes connections that break because of their targets from those that break because
// of this process's path. The zero Breaks has seen none. It is safe for concurrent use.
type Breaks struct {
	count atomic.Int64 // targets in brokeAt; nothing is locked while it is 0

	mu      sync.Mutex
	brokeAt map[string]time.Time // by address, since the last answer of any target
}

// Broke records that a direct connection to a target broke, and returns true if the cause is this
// process's path: connections to ownPathBreaks targets broke within breakLifetime, and
// no target answered on a direct connection in between.
func (b *Breaks) Broke(address string, now time.Time) (isOwnPath bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.brokeAt == nil {
		b.brokeAt = map[string]time.Time{}
	}
	for a, at := range b.brokeAt {
		if now.Sub(at) >= breakLifetime {
			delete(b.brokeAt, a)
		}
	}
	b.brokeAt[address] = now
	b.count.Store(int64(len(b.brokeAt)))
	return len(b.brokeAt) >= ownPathBreaks
}

// Answered records an answer of a target on a direct connection.
func (b *Breaks) Answered() {
	if b.count.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.brokeAt)
	b.count.Store(0)
}
