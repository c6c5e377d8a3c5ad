// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package batch

// canary limits the targets of a software version that is being rolled out to a share of
// the calls. All counts start at 0, so the queue of a new process can't spend a share that
// the lost queue of its predecessor had already used.
type canary struct {
	version     string  // the limited version, "" for none
	share       float64 // 0 to 1
	totalCalls  int     // calls to all targets since the version was set
	canaryCalls int     // those of totalCalls to targets of the version
}

// SetCanary limits the targets of a version to a share (0 to 1) of the calls from now on; the
// version "" ends the limit. It does nothing if the version is set already.
func (q *Queue) SetCanary(version string, share float64) {
	if q.canary.version != version {
		q.canary = canary{version: version, share: share}
	}
}

// includes reports whether w runs the limited version.
func (c *canary) includes(w *worker) bool { return c.version != "" && w.Target.Version == c.version }

// allows reports whether the next call may go to a target of the limited version without
// exceeding the share.
func (c *canary) allows() bool { return float64(c.canaryCalls+1) <= c.share*float64(c.totalCalls+1) }

// countCall counts a call to w.
func (c *canary) countCall(w *worker) {
	if c.version == "" {
		return
	}
	c.totalCalls++
	if c.includes(w) {
		c.canaryCalls++
	}
}
