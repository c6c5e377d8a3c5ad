// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"time"

	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
)

const (
	// lagSampleInterval is the time between two measurements of how late timers fire.
	// Timers wait for the processor as all other work does, so their lateness shows how
	// late the process is.
	lagSampleInterval = 50 * time.Millisecond
	// lagSampleWeight is the weight of a sample in the moving average of the lateness:
	// about five samples count.
	lagSampleWeight = 0.2
	// maxLagSample is the upper limit of a sample, so that a single pause does not make
	// a process decline ownership. Three such samples in a row do, in less than a second.
	maxLagSample = 250 * time.Millisecond
	// declineThreshold is the average lateness from which a process declines ownership.
	// It delays each hop of a request through this owner, while responses are due within
	// some hundred milliseconds.
	declineThreshold = 100 * time.Millisecond
	// resumeThreshold is the average lateness below which a process accepts ownership
	// again. It is well below declineThreshold, so that the state does not flap.
	resumeThreshold = 20 * time.Millisecond
	// minDeclineDuration is the shortest time for which ownership is declined. A change
	// of owners costs a second or two, in which two processes own a part of the work each.
	minDeclineDuration = 10 * time.Second
)

// lagMonitor decides from the lateness of timers whether a process declines ownership.
type lagMonitor struct {
	mean           time.Duration // moving average of the lateness
	declining      bool
	decliningSince time.Time // when it began to decline
}

// observe adds the lateness of one timer, and reports whether that makes the process start
// or stop declining ownership.
func (l *lagMonitor) observe(lateness time.Duration, now time.Time) (changed bool) {
	lateness = min(max(lateness, 0), maxLagSample)
	l.mean += time.Duration(lagSampleWeight * float64(lateness-l.mean))
	switch {
	case !l.declining && l.mean >= declineThreshold:
		l.declining, l.decliningSince = true, now
		return true
	case l.declining && l.mean < resumeThreshold && now.Sub(l.decliningSince) >= minDeclineDuration:
		l.declining = false
		return true
	}
	return false
}

// monitorLag makes this process decline ownership while its timers are late. An owner on
// an instance that has become slow would delay the whole fleet, and its peers don't
// suspect it, since it still answers. A process that is too weak to own work skips the
// samples, unless it declines ownership already. OnTimer gets all of them.
func (m *Members) monitorLag(ctx context.Context) {
	var l lagMonitor
	for {
		due := clock.Now().Add(lagSampleInterval)
		if !retry.Sleep(ctx, lagSampleInterval) {
			return
		}
		now := clock.Now()
		if m.OnTimer != nil {
			m.OnTimer(now.Sub(due), now)
		}
		if !l.declining && effectiveCapacity(m.self) < m.roster.Load().minOwnerCapacity {
			continue
		}
		if l.observe(now.Sub(due), now) {
			m.setDeclining(ctx, l.declining, l.mean)
		}
	}
}

// setDeclining records whether this process declines ownership, and writes that to its key
// in the store for the others. mean is the average lateness, for the log.
func (m *Members) setDeclining(ctx context.Context, declining bool, mean time.Duration) {
	m.declining.Store(declining)
	if declining {
		m.log.Warn("process is lagging and declines ownership of shared work", "late", mean)
	} else {
		m.log.Info("process no longer lags and accepts ownership of shared work", "late", mean)
	}
	m.publishAvailability(ctx)
}

// Lagging reports whether this process declines ownership because it lags.
func (m *Members) Lagging() bool { return m.declining.Load() }

// SetCutOff records whether this process can't connect to targets that other members reach, and
// writes that to its key in the store for the others.
func (m *Members) SetCutOff(ctx context.Context, cutOff bool) {
	if m.cutOff.Swap(cutOff) == cutOff {
		return
	}
	if cutOff {
		m.log.Warn("process can't connect to targets and declines ownership of shared work")
	} else {
		m.log.Info("process connects to targets and accepts ownership of shared work")
	}
	m.publishAvailability(ctx)
}

// publishAvailability applies a change of this process's availability here, and writes it to its
// key for the others.
func (m *Members) publishAvailability(ctx context.Context) {
	m.mu.Lock()
	m.publish()
	m.mu.Unlock()
	lease := m.lease.Load()
	if lease == nil {
		return // not registered: the key will be written with the new state
	}
	if err := m.writeKey(ctx, *lease); err != nil {
		m.log.Warn("change of ownership not written to the store; retrying with the next lease renewal", "resting", m.declining.Load(), "cut_off", m.cutOff.Load(), "error", err.Error())
	}
}
