// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// generationDuration is the minimum time for which something served is remembered. The
	// maximum is twice as long while calls are frequent, and less than three times as long
	// otherwise, because only a call ends a generation.
	generationDuration = 10 * time.Second
	// maxGenerationKeys limits one generation to some 200 KB. Keys beyond it are not remembered;
	// one that is served often is likely to be added to the next generation.
	maxGenerationKeys = 2048
)

// Recent remembers what was served recently: contents, or parts at some software. It is safe for
// concurrent use.
type Recent[K comparable] struct {
	mu       sync.Mutex // held while the generations are replaced
	current  atomic.Pointer[generation]
	previous atomic.Pointer[generation]
}

// PartAt is a part at targets with some software.
type PartAt struct {
	Digest   Digest
	Software string // service and version
}

// generation holds what was served from startedAt until the next generation starts, for
// less than generationDuration.
type generation struct {
	startedAt time.Time
	keys      sync.Map     // set of what was served
	count     atomic.Int64 // number of keys
}

// NewRecent returns an empty Recent.
func NewRecent[K comparable](now time.Time) *Recent[K] {
	r := &Recent[K]{}
	r.current.Store(&generation{startedAt: now})
	r.previous.Store(&generation{startedAt: now})
	return r
}

// Add records that k was served at now, unless maxGenerationKeys is reached.
func (r *Recent[K]) Add(k K, now time.Time) {
	g := r.currentGeneration(now)
	if g.count.Load() >= maxGenerationKeys {
		return
	}
	if _, known := g.keys.LoadOrStore(k, struct{}{}); !known {
		g.count.Add(1)
	}
}

// Has reports whether Add has recorded k recently: it is true if that was within the
// last generationDuration, and may be true if it was up to three times as long ago.
func (r *Recent[K]) Has(k K, now time.Time) bool {
	if _, ok := r.currentGeneration(now).keys.Load(k); ok {
		return true
	}
	_, ok := r.previous.Load().keys.Load(k)
	return ok
}

// currentGeneration returns the generation that contains now, and starts one if needed.
func (r *Recent[K]) currentGeneration(now time.Time) *generation {
	if g := r.current.Load(); now.Sub(g.startedAt) < generationDuration {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.current.Load()
	age := now.Sub(g.startedAt)
	if age < generationDuration {
		return g // started by another goroutine
	}
	if age >= 2*generationDuration {
		g = &generation{} // the current one is too old to be remembered
	}
	r.previous.Store(g)
	next := &generation{startedAt: now}
	r.current.Store(next)
	return next
}
