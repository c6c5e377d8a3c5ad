// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/crashes"
)

const (
	// probeTimeout bounds the wait for a refused connection. Where a process has ended, the
	// refusal takes one round trip.
	probeTimeout = 250 * time.Millisecond
	// restartTimeout is how long a target whose address accepts connections again may take to
	// be listed as another incarnation. It registers itself at its start, and a change of
	// the list reaches every gateway within 1.4 s.
	restartTimeout = 2 * time.Second
	// restartPollInterval is the time between two reads of the list meanwhile.
	restartPollInterval = 100 * time.Millisecond
	// checkTTL is how long the result of a check is kept. All answers of a crashed
	// incarnation break off within seconds of the crash, and share its check.
	checkTTL = 10 * time.Second
)

// crashCheck finds out whether one incarnation of a target has crashed.
type crashCheck struct {
	probed    chan struct{} // closed after the probe
	refused   bool          // the probe was refused; set before probed is closed
	done      chan struct{} // closed after the check
	crashed   bool          // set before done is closed
	startedAt time.Time     // dates the crash, if one is found
}

// Suspect starts a check of whether t, whose answer to a request broke off, has crashed, and records
// the crash if it has. It does not wait for the check. The zero digest of a content is ignored: a
// gateway of an earlier version sends none.
func (q *Quarantine) Suspect(i crashes.Identity, t hookhall.Target) {
	if i.Content == (crashes.Digest{}) {
		return
	}
	check := q.startCheck(t.Incarnation(), t)
	go func() {
		<-check.done
		if check.crashed {
			q.recordCrash(q.crashesOf(i, t, check.startedAt))
		}
	}()
}

// EndedWithConnection records that t's answer to a request looks complete, but that its end was only
// marked by the end of its connection, as the end of t's process would do. Unless t was seen to serve
// such requests shortly before, it is checked like one that broke off its answer.
func (q *Quarantine) EndedWithConnection(i crashes.Identity, t hookhall.Target) {
	if q.isKnownServed(i, t) {
		return // not a proof that the parts are still served
	}
	check := q.startCheck(t.Incarnation(), t)
	go func() {
		<-check.done
		if check.crashed {
			q.recordCrash(q.crashesOf(i, t, check.startedAt))
		} else {
			q.Served(i, t)
		}
	}()
}

// isKnownServed reports whether all parts of a request were served shortly before by targets with t's
// software, and no crashes count against it.
func (q *Quarantine) isKnownServed(i crashes.Identity, t hookhall.Target) bool {
	now := clock.Now()
	for _, crash := range q.crashesOf(i, t, now)[1:] {
		if !crash.RecentlyServed {
			return false
		}
	}
	return q.Ledger.Status(i.Content).Crashes == 0 && !q.Parts.HasCrashes(i)
}

// crashesOf returns the crashes of a request's content and parts, with those of the content first.
func (q *Quarantine) crashesOf(i crashes.Identity, t hookhall.Target, at time.Time) []crashes.Crash {
	now := clock.Now()
	crash := crashes.Crash{Content: i.Content, Account: i.Account, Incarnation: t.Incarnation(), Software: t.Software(), ReportedAt: at}
	list := []crashes.Crash{crash}
	for _, part := range i.Parts {
		crash.Content, crash.Part = part.Digest, part.ID
		list = append(list, crash)
	}
	for n := range list {
		list[n].RecentlyServed = q.isRecentlyServed(&list[n], now)
	}
	return list
}

// HasCrashed reports whether a target whose answer broke off refuses connections, that is,
// has crashed. It waits for one probe, at most probeTimeout; a crashed target that has
// restarted by then goes unnoticed here.
func (q *Quarantine) HasCrashed(t hookhall.Target) bool {
	check := q.startCheck(t.Incarnation(), t)
	<-check.probed
	return check.refused
}

// startCheck starts a check of an incarnation, or returns the one that is about to probe it or has
// found a crash. All answers that break off at one target at the same time share one probe.
func (q *Quarantine) startCheck(incarnation hookhall.Incarnation, t hookhall.Target) *crashCheck {
	q.mu.Lock()
	defer q.mu.Unlock()
	if check := q.checksByIncarnation[incarnation]; check != nil && (!check.isProbed() || check.hasCrashed()) {
		return check
	}
	check := &crashCheck{probed: make(chan struct{}), done: make(chan struct{}), startedAt: clock.Now()}
	q.checksByIncarnation[incarnation] = check
	go q.runCheck(check, t)
	return check
}

// runCheck probes a target and then waits for another incarnation of it to be listed.
func (q *Quarantine) runCheck(check *crashCheck, t hookhall.Target) {
	defer close(check.done)
	check.refused = q.refusesConnection(t.Address)
	close(check.probed)
	check.crashed = check.refused || q.isReplaced(t)
}

// isProbed reports whether the target was probed.
func (c *crashCheck) isProbed() bool { return isClosed(c.probed) }

// isDone reports whether the check is complete.
func (c *crashCheck) isDone() bool { return isClosed(c.done) }

// hasCrashed reports whether the check is complete and has found a crash.
func (c *crashCheck) hasCrashed() bool { return c.isDone() && c.crashed }

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// isReplaced reports whether t's incarnation is listed as over within restartTimeout.
func (q *Quarantine) isReplaced(t hookhall.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	for !q.catalog.HasEnded(t) {
		if !retry.Sleep(ctx, restartPollInterval) {
			return false
		}
	}
	return true
}

// refusesConnection reports whether an address refuses a connection within probeTimeout.
func (q *Quarantine) refusesConnection(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return q.prober.Refuses(ctx, address)
}

// expireChecks removes the complete checks that started more than checkTTL before now.
func (q *Quarantine) expireChecks(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for incarnation, check := range q.checksByIncarnation {
		if check.isDone() && now.Sub(check.startedAt) > checkTTL {
			delete(q.checksByIncarnation, incarnation)
		}
	}
}
