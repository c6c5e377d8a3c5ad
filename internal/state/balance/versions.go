// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package balance

import (
	"cmp"
	"slices"

	"github.com/hookhall/hookhall"
)

// Versions restricts the software versions of a service that may run a request. The
// zero value allows all versions.
type Versions struct {
	Only string // the one version allowed; empty allows any
	Not  string // the one version excluded; empty excludes none
	// Exact makes an empty Only stand for targets that state no version.
	Exact bool
	// MaxTargets limits how many targets of version Only are used; 0 uses all. All
	// processes select the same targets.
	MaxTargets int
}

// Allow reports whether the version of t may run the request. It ignores the limit on
// the number of targets.
func (v Versions) Allow(t hookhall.Target) bool { return v.allowsVersion(t.Version) }

// allowsVersion reports whether targets of a version may run the request.
func (v *Versions) allowsVersion(version string) bool {
	return ((v.Only == "" && !v.Exact) || version == v.Only) && (v.Not == "" || version != v.Not)
}

// selectTargets returns the targets that may be used: all of them if their number is not
// limited, otherwise that many of the allowed targets, selected by rendezvous hashing of
// Only. It does not modify targets.
func (v Versions) selectTargets(targets []hookhall.Target) []hookhall.Target {
	if v.MaxTargets == 0 {
		return targets
	}
	allowed := slices.DeleteFunc(slices.Clone(targets), func(t hookhall.Target) bool { return !v.Allow(t) })
	slices.SortFunc(allowed, func(a, b hookhall.Target) int {
		return cmp.Compare(rendezvousWeight(v.Only, b.ID), rendezvousWeight(v.Only, a.ID))
	})
	return allowed[:min(v.MaxTargets, len(allowed))]
}
