// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

// Package rollout decides how a service's requests move to a new version of its software,
// and whether they do.
//
// # Model
//
// While the new version is a canary, each request is sent to it with a fixed probability,
// drawn independently for each request. No process counts these requests, so no count is
// lost when a process is killed: over any number of processes and restarts, the expected
// share of the new version is half of the bound, and the other half is reserve for random
// variation.
//
// Evidence is collected from the responses of all processes by version and route. The new
// version is compared with the old one over the same time on the same route. Failures are
// judged by a sequential probability ratio test, which may be evaluated after each response.
// If the old version's failure rate were known, falseAlarm would bound the probability of
// rejecting a version that fails no more often; the rate is estimated from responses, which
// makes this somewhat more frequent. Latency is judged by the mean time to the response head.
//
// If no regression is found for a part of the Rollout's time, the new version gets all
// requests, while it is still judged. Once no request runs at old targets, the Rollout is
// completed.
//
// # Invariants
//
//   - A phase never goes back, and a final one never changes.
//   - A version without evidence is not accepted while there are requests that could have
//     produced some.
package rollout
