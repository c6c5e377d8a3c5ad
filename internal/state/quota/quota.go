// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package quota divides a limit of the whole fleet among its processes without
// communication between them.
//
// # Model
//
// A limit is a number of whole units, such as the idle connections that a target allows.
// Each process computes its part from its index among the processes that share the limit:
// all have the same quotient, and the remainder goes to some of them, one unit each. Which
// of them get it depends on the key, such as a target's address, so that limits of fewer
// units than processes don't leave the same processes without a unit for every key.
//
// # Invariants
//
//   - The parts of processes with the same list of processes add up to at most the limit.
//   - A process that doesn't know which processes share the limit has no part.
package quota

import "github.com/cespare/xxhash/v2"

// Position is the position of this process among the processes that share a limit.
type Position struct {
	Count int // number of processes, 0 if unknown
	Index int // index of this process in their order, from 0; negative if it is not listed
}

// Share returns how many units of a limit this process may hold for a key, its part of the
// limit. It is 0 if the position is unknown.
func (p Position) Share(limit int, key string) int {
	if p.Count < 1 || limit < 1 || p.Index < 0 {
		return 0
	}
	units, remainder := limit/p.Count, limit%p.Count
	offset := int(xxhash.Sum64String(key) % uint64(p.Count))
	if (p.Index+offset)%p.Count < remainder {
		units++
	}
	return units
}
