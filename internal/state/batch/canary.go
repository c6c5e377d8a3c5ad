// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

// trial keeps targets of a version that may be bad to a share of the calls. It begins
// without any, so that a queue that is lost with its process leaves its successor nothing
// that could be spent twice.
type trial struct {
	version string // "" for none
	share   float64
	calls   int // in all, since the trial began
	tried   int // of them, at targets of the version
}

// Try gives targets of a version a share of the calls from now on; "" ends that.
func (q *Queue) Try(version string, share float64) {
	if q.trial.version != version {
		q.trial = trial{version: version, share: share}
	}
}

// has tells whether a worker is on trial.
func (t *trial) has(s *worker) bool { return t.version != "" && s.Target.Version == t.version }

// may tells whether the next call may go to one.
func (t *trial) may() bool { return float64(t.tried+1) <= t.share*float64(t.calls+1) }

// count takes in a call.
func (t *trial) count(s *worker) {
	if t.version == "" {
		return
	}
	t.calls++
	if t.has(s) {
		t.tried++
	}
}
