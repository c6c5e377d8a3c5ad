// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hookhall/hookhall"
)

const (
	// scanMost is how many targets of a service are compared one by one. Beyond that a
	// choice would take longer the larger the fleet is, at the one process that chooses
	// for all.
	scanMost = 256
	// sampleSize is how many of a larger service are drawn for a choice: among so many
	// there are some without work, in each hall, unless nearly all are busy.
	sampleSize = 64
)

// sample is a part of a large service's targets that holds the best one with near
// certainty: those that should hold the wish's shared part, and some at random.
func (b *Tracker) sample(targets []hookhall.Target, w Wish) []hookhall.Target {
	some := make([]hookhall.Target, 0, sampleSize+ringWindow)
	add := func(id string) {
		if i, ok := find(targets, id); ok {
			some = append(some, targets[i])
		}
	}
	if w.Engine && w.Shared != "" {
		for _, id := range b.holders.of(w.Shared) {
			add(id)
		}
		add(b.First(w.Shared, targets))
	}
	for range sampleSize {
		some = append(some, targets[rand.IntN(len(targets))])
	}
	return some
}

// find looks a target up in a list that is sorted by id.
func find(targets []hookhall.Target, id string) (int, bool) {
	return slices.BinarySearchFunc(targets, id, func(t hookhall.Target, id string) int { return strings.Compare(t.ID, id) })
}

// holderIndex has the targets that were sent a shared part lately.
type holderIndex struct {
	mu     sync.Mutex
	byPart map[string]map[string]time.Time // last use, by part and target
}

// note takes in that a target was sent a part.
func (x *holderIndex) note(part, target string, now time.Time) {
	if part == "" {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byPart == nil {
		x.byPart = map[string]map[string]time.Time{}
	}
	if x.byPart[part] == nil {
		x.byPart[part] = map[string]time.Time{}
	}
	x.byPart[part][target] = now
}

// of lists the targets that should hold a part.
func (x *holderIndex) of(part string) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]string, 0, len(x.byPart[part]))
	for id := range x.byPart[part] {
		list = append(list, id)
	}
	return list
}

// sweep forgets uses that are long ago.
func (x *holderIndex) sweep(now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for part, uses := range x.byPart {
		for id, at := range uses {
			if now.Sub(at) >= partKeep {
				delete(uses, id)
			}
		}
		if len(uses) == 0 {
			delete(x.byPart, part)
		}
	}
}
