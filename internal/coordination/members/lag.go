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
	// lagEvery is how often a process looks how late its timers are. Timers wait
	// for the processor as everything else does.
	lagEvery = 50 * time.Millisecond
	// lagShare is the weight of one look in the mean: some five looks count.
	lagShare = 0.2
	// lagMost bounds a single look, so that one pause does not make a process rest:
	// three in a row do, which takes less than a second.
	lagMost = 250 * time.Millisecond
	// lagRest is the mean lateness from which a process rests. Each hop of a
	// request through an owner of work is later by that; answers are due in some
	// hundred milliseconds.
	lagRest = 100 * time.Millisecond
	// lagCalm is the mean lateness below which it works again, well under lagRest.
	lagCalm = 20 * time.Millisecond
	// restLeast is how long it rests at least. Work that changes hands costs a
	// second or two, during which two processes have a part of it each.
	restLeast = 10 * time.Second
)

// lag is how late a process is with its work.
type lag struct {
	mean    time.Duration
	resting bool
	since   time.Time // when it began to rest
}

// take takes in how late a timer was. It tells whether the process begins or ends
// its rest.
func (l *lag) take(late time.Duration, now time.Time) (changed bool) {
	late = min(max(late, 0), lagMost)
	l.mean += time.Duration(lagShare * float64(late-l.mean))
	switch {
	case !l.resting && l.mean >= lagRest:
		l.resting, l.since = true, now
		return true
	case l.resting && l.mean < lagCalm && now.Sub(l.since) >= restLeast:
		l.resting = false
		return true
	}
	return false
}

// watchLag has this process left out of the owners while it is late with its work.
// An owner on an instance that turns slow would hold up the whole fleet, and its
// peers see only that it still answers. One that is too weak to own work has nothing
// to tell: it is not asked.
func (m *Members) watchLag(ctx context.Context) {
	var l lag
	for {
		due := clock.Now().Add(lagEvery)
		if !retry.Sleep(ctx, lagEvery) {
			return
		}
		now := clock.Now()
		if !l.resting && power(m.self) < m.list.Load().least {
			continue
		}
		if l.take(now.Sub(due), now) {
			m.rest(ctx, l.resting, l.mean)
		}
	}
}

// rest tells others, through the store, whether this process is to be left out.
func (m *Members) rest(ctx context.Context, resting bool, mean time.Duration) {
	m.resting.Store(resting)
	m.mu.Lock()
	m.publish()
	m.mu.Unlock()
	if resting {
		m.log.Warn("This process is late with its work and asks to own none.", "late", mean)
	} else {
		m.log.Info("This process is in time again and may own work.", "late", mean)
	}
	lease := m.lease.Load()
	if lease == nil {
		return // not registered: the key will say it
	}
	if err := m.write(ctx, *lease); err != nil {
		m.log.Warn("The others can't be told; they are when the lease is renewed.", "resting", resting, "error", err.Error())
	}
}
