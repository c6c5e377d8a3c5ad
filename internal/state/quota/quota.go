// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package quota divides what the whole fleet may hold among its processes, without a
// word between them.
//
// # Model
//
// A bound is a number of whole units, such as the idle connections that a target bears.
// Each process works its part out from its place among those that share: all have the
// same whole part, and the first few one unit more. Which are the first depends on the
// key, so that a bound of fewer units than processes is spread over all of them, target
// by target.
//
// # Invariants
//
//   - The parts of processes with the same list add up to the bound at most.
//   - A process that does not know who shares has no part.
package quota

import "github.com/cespare/xxhash/v2"

// Sharers are the processes that share a bound.
type Sharers struct {
	Count int // 0 when it is not known
	Place int // of this process in their order, from 0
}

// Part is how many units of a bound this process may hold for a key.
func (s Sharers) Part(bound int, key string) int {
	if s.Count < 1 || bound < 1 || s.Place < 0 {
		return 0
	}
	part, rest := bound/s.Count, bound%s.Count
	first := int(xxhash.Sum64String(key) % uint64(s.Count))
	if (s.Place+first)%s.Count < rest {
		part++
	}
	return part
}
