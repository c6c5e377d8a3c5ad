// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"context"
	"time"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
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

// finding is whether a life of a target has ended; it is known once done is closed.
type finding struct {
	done  chan struct{}
	ended bool
	at    time.Time // when it began
}

// Broke takes in that t's answer to a content broke off.
func (q *Quarantine) Broke(content crashes.Digest, account string, t hookhall.Target) {
	e := crashes.End{Content: content, Account: account, Life: crashes.Life{Target: t.ID, Born: t.Born}, Version: t.Version}
	f := q.find(e.Life, t)
	go func() {
		<-f.done
		if f.ended {
			e.At = f.at
			q.enter(e)
		}
	}()
}

// find begins to find out whether a life has ended. All that broke off at one target
// share one probe.
func (q *Quarantine) find(l crashes.Life, t hookhall.Target) *finding {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f := q.findings[l]; f != nil && (!f.known() || f.ended) {
		return f
	}
	f := &finding{done: make(chan struct{}), at: time.Now()}
	q.findings[l] = f
	go func() {
		defer close(f.done)
		f.ended = q.over(t)
	}()
	return f
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

// over tells whether t's life is over.
func (q *Quarantine) over(t hookhall.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), rebirthTime)
	defer cancel()
	if q.refuses(ctx, t.Address) {
		return true
	}
	for !q.Catalog.Over(t) {
		if !retry.Sleep(ctx, rebirthLook) {
			return false
		}
	}
	return true
}

func (q *Quarantine) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	return q.Prober.Refuses(ctx, address)
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
