// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

// canary limits the targets of a software version that is being rolled out to a share of
// the calls. All counts start at 0, so the queue of a new process can't spend a share that
// the lost queue of its predecessor had already used.
type canary struct {
	version     string  // the version limited, "" for none
	share       float64 // 0 to 1
	totalCalls  int     // calls to all targets since the version was set
	canaryCalls int     // those of them to targets of the version
}

// SetCanary limits the targets of a version to a share (0 to 1) of the calls from now on; the
// version "" ends the limit. It does nothing if the version is set already.
func (q *Queue) SetCanary(version string, share float64) {
	if q.canary.version != version {
		q.canary = canary{version: version, share: share}
	}
}

// includes reports whether w runs the limited version.
func (t *canary) includes(w *worker) bool { return t.version != "" && w.Target.Version == t.version }

// allows reports whether the next call may go to a target of the limited version.
func (t *canary) allows() bool { return float64(t.canaryCalls+1) <= t.share*float64(t.totalCalls+1) }

// countCall counts a call to w.
func (t *canary) countCall(w *worker) {
	if t.version == "" {
		return
	}
	t.totalCalls++
	if t.includes(w) {
		t.canaryCalls++
	}
}
