// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package crashes

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// generationDuration is the minimum time for which a served content is remembered. The
	// maximum is twice as long while calls are frequent, and less than three times as long
	// otherwise, because only a call ends a generation.
	generationDuration = 10 * time.Second
	// maxGenerationContents limits the contents of one generation to some 200 KB. Contents
	// beyond it are not remembered; one that is served often is likely to be added to the
	// next generation.
	maxGenerationContents = 2048
)

// RecentContents remembers which contents were served recently. It is safe for concurrent use.
type RecentContents struct {
	mu       sync.Mutex // held while the generations are replaced
	current  atomic.Pointer[generation]
	previous atomic.Pointer[generation]
}

// generation holds the contents served from startedAt until the next generation starts, for
// less than generationDuration.
type generation struct {
	startedAt time.Time
	contents  sync.Map     // set of Digest
	count     atomic.Int64 // number of contents
}

// NewRecentContents returns an empty set of recently served contents.
func NewRecentContents(now time.Time) *RecentContents {
	r := &RecentContents{}
	r.current.Store(&generation{startedAt: now})
	r.previous.Store(&generation{startedAt: now})
	return r
}

// Add records that a content was served at now, unless maxGenerationContents is reached.
func (r *RecentContents) Add(d Digest, now time.Time) {
	g := r.currentGeneration(now)
	if g.count.Load() >= maxGenerationContents {
		return
	}
	if _, known := g.contents.LoadOrStore(d, struct{}{}); !known {
		g.count.Add(1)
	}
}

// Has reports whether Add has recorded a content recently: it is true if that was within the
// last generationDuration, and may be true if it was up to three times as long ago.
func (r *RecentContents) Has(d Digest, now time.Time) bool {
	if _, ok := r.currentGeneration(now).contents.Load(d); ok {
		return true
	}
	_, ok := r.previous.Load().contents.Load(d)
	return ok
}

// currentGeneration returns the generation that contains now, and starts one if needed.
func (r *RecentContents) currentGeneration(now time.Time) *generation {
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
