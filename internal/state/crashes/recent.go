// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// recentTime is for how long at least a served content is remembered, twice that at
	// most.
	recentTime = 10 * time.Second
	// recentMost bounds the contents of one such time, to 200 KB or so: beyond it a content
	// that comes often is remembered with those of the next.
	recentMost = 2048
)

// Recent remembers which contents were served lately. It is safe for concurrent use.
type Recent struct {
	mu      sync.Mutex // while generations change
	current atomic.Pointer[generation]
	before  atomic.Pointer[generation]
}

// generation has the contents of one time.
type generation struct {
	began    time.Time
	contents sync.Map // Digest to nothing
	count    atomic.Int64
}

// NewRecent makes an empty Recent.
func NewRecent(now time.Time) *Recent {
	r := &Recent{}
	r.current.Store(&generation{began: now})
	r.before.Store(&generation{began: now})
	return r
}

// Add takes in that a content was served.
func (r *Recent) Add(d Digest, now time.Time) {
	g := r.generation(now)
	if g.count.Load() >= recentMost {
		return
	}
	if _, known := g.contents.LoadOrStore(d, struct{}{}); !known {
		g.count.Add(1)
	}
}

// Has tells whether a content was served lately.
func (r *Recent) Has(d Digest, now time.Time) bool {
	if _, ok := r.generation(now).contents.Load(d); ok {
		return true
	}
	_, ok := r.before.Load().contents.Load(d)
	return ok
}

// generation is the present one.
func (r *Recent) generation(now time.Time) *generation {
	if g := r.current.Load(); now.Sub(g.began) < recentTime {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.current.Load()
	age := now.Sub(g.began)
	if age < recentTime {
		return g // another one made it
	}
	if age >= 2*recentTime {
		g = &generation{} // nothing was served in between
	}
	r.before.Store(g)
	next := &generation{began: now}
	r.current.Store(next)
	return next
}
