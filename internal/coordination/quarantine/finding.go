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
	// probeTime bounds the wait for a refusal, which takes a round trip where a process
	// has ended.
	probeTime = 250 * time.Millisecond
	// rebirthTime is for how long a target whose address takes connections again may
	// turn out to be in another life: it lists itself at its start, and a change of the
	// list is known everywhere within 1.4 s.
	rebirthTime = 2 * time.Second
	// rebirthLook is how often the list is looked at meanwhile.
	rebirthLook = 100 * time.Millisecond
	// findingKeep is how long it is remembered that a life has ended: answers that it
	// left unfinished break off within seconds.
	findingKeep = 10 * time.Second
)

// finding is whether a life of a target has ended.
type finding struct {
	probed  chan struct{} // closed once the target was asked for a connection
	refused bool          // which it refused; set before
	done    chan struct{} // closed once all is known
	ended   bool          // set before
	at      time.Time     // when it began
}

// Broke takes in that t's answer to a content broke off. Work of a gateway that does not tell
// its content, as one of an earlier version, has the zero digest, which stands for nothing.
func (q *Quarantine) Broke(content crashes.Digest, account string, t hookhall.Target) {
	if content == (crashes.Digest{}) {
		return
	}
	e := crashes.End{Content: content, Account: account, Life: t.Life(), Software: t.Software(), Served: q.recent.Has(content, clock.Now())}
	f := q.find(e.Life, t)
	go func() {
		<-f.done
		if f.ended {
			e.At = f.at
			q.enter(e)
		}
	}()
}

// Ended tells whether a target has ended whose answer broke off. It waits for the answer
// to one request for a connection.
func (q *Quarantine) Ended(t hookhall.Target) bool {
	f := q.find(t.Life(), t)
	<-f.probed
	return f.refused
}

// find begins to find out whether a life has ended. All that broke off at one target
// share one probe.
func (q *Quarantine) find(l hookhall.Life, t hookhall.Target) *finding {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f := q.findings[l]; f != nil && (!f.known() || f.ended) {
		return f
	}
	f := &finding{probed: make(chan struct{}), done: make(chan struct{}), at: clock.Now()}
	q.findings[l] = f
	go q.findOut(f, t)
	return f
}

func (q *Quarantine) findOut(f *finding, t hookhall.Target) {
	defer close(f.done)
	f.refused = q.refuses(t.Address)
	close(f.probed)
	f.ended = f.refused || q.reborn(t)
}

// known tells whether the finding is complete.
func (f *finding) known() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// reborn tells whether it is listed soon that t's life is over.
func (q *Quarantine) reborn(t hookhall.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rebirthTime)
	defer cancel()
	for !q.catalog.Over(t) {
		if !retry.Sleep(ctx, rebirthLook) {
			return false
		}
	}
	return true
}

func (q *Quarantine) refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	return q.prober.Refuses(ctx, address)
}

// forgetFindings drops those that nothing waits for.
func (q *Quarantine) forgetFindings(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for l, f := range q.findings {
		if f.known() && now.Sub(f.at) > findingKeep {
			delete(q.findings, l)
		}
	}
}
