// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"slices"

	"github.com/hookhall/hookhall"
)

// Versions say which versions of a service's software may run a request. The zero value
// allows all.
type Versions struct {
	Only string // if it is not empty
	Not  string // if it is not empty
	// Among is how many targets of the version Only are used, 0 for all. Which they are is
	// the same for all processes.
	Among int
}

// Allow tells whether a target's version may run the request.
func (v Versions) Allow(t hookhall.Target) bool {
	return (v.Only == "" || t.Version == v.Only) && (v.Not == "" || t.Version != v.Not)
}

// among are the targets that may be used.
func (v Versions) among(targets []hookhall.Target) []hookhall.Target {
	if v.Among == 0 {
		return targets
	}
	some := slices.DeleteFunc(slices.Clone(targets), func(t hookhall.Target) bool { return !v.Allow(t) })
	slices.SortFunc(some, func(a, b hookhall.Target) int {
		return cmp.Compare(weight(v.Only, b.ID), weight(v.Only, a.ID))
	})
	return some[:min(v.Among, len(some))]
}
