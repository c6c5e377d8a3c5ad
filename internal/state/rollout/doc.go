// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package rollout decides how a service's requests move to a new version of its
// software, and whether they do.
//
// # Model
//
// While a version is on trial, each request is sent to it with a fixed chance, drawn
// anew each time. No process keeps an account of that, so that none is lost when it is
// killed: over any number of processes and restarts the new version gets its share of
// the requests, give or take what chance does, and the share is half of the bound.
//
// What the answers show is gathered from all processes by version and route, and
// compared with the old version at the same time on the same route. Failures are judged
// by a sequential probability ratio test, which may be read after each answer. Were the old
// version's rate of failures known, falseAlarm would bound how often a version that fails no
// more often is taken for a bad one; the rate is estimated from the answers, which makes that
// somewhat more frequent. Slowness is judged by the mean time to an answer.
//
// A version that has shown nothing bad for a part of the Rollout's time gets all
// requests, while it is still judged; once nothing runs at old targets, the Rollout is
// completed.
//
// # Invariants
//
//   - A phase never goes back, and a final one never changes.
//   - A version without evidence is not taken for a good one while there are requests
//     that could have brought some.
package rollout
