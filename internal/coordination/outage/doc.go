// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package outage keeps calls of a store that is away few.
//
// # Model
//
// A process has several users of the store: the followers of the table, of the
// targets and of the members, and the keeper of its lease. While the store
// answers, a Gate passes their calls on. After a call without an answer, one call
// at a time is made on behalf of all: whoever calls first makes it, and the others
// share its failure, or make their own calls once it has succeeded. Between two
// such calls the store is left alone for a while, which is longer for a process
// that hears from others when the store is back. A process that has just started
// does not know whether the store answers, and begins with one call as well.
//
// # Invariants
//
//   - While the last call was answered nobody waits.
//   - A call that the Gate does not make ends as hookhall.ErrUnavailable: nothing
//     was done.
package outage
