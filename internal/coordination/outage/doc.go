// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package outage limits the calls of a process to a store that does not answer.
//
// # Model
//
// A process has several users of the store: the followers of the table, of the
// targets and of the members, and the renewal of its lease. While the store
// answers, a Gate passes their calls on. After a call without an answer, the Gate
// makes one call at a time, the probe: the first caller's call becomes the probe,
// and the other callers wait for it. If the probe fails they share its failure; if
// it succeeds they make their own calls. The Gate pauses between two probes, for
// longer in a process that learns from its peers when the store is back. A process
// that has just started does not know whether the store answers, so it starts with
// a probe as well.
//
// Ranges are apart: see Gate.
//
// # Invariants
//
//   - While the last call was answered no caller waits.
//   - A call that the Gate does not make returns hookhall.ErrUnavailable: nothing
//     was written.
package outage
