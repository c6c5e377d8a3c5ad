// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package paths

import (
	"context"
	"net"
	"time"

	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/hookhall/hookhall/internal/state/reach"
)

const (
	// confirmingTargets is how many further targets have to be unreachable before this process
	// counts as isolated, and maxSampledTargets how many are tried for that.
	confirmingTargets = 2
	maxSampledTargets = 4
	// silenceLimit is how long no target may answer directly after an isolation began for the
	// requests that were sent before to be given up.
	silenceLimit = 250 * time.Millisecond
)

// confirmIsolation finds out whether this process, which lately failed to connect in the given way to
// several targets that relays reach, is isolated.
func (p *Paths) confirmIsolation(failure reach.Failure) {
	if !p.isConfirming.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.isConfirming.Store(false)
		if p.failsElsewhere() && p.Table.Isolate(clock.Now()) {
			p.beginIsolation(failure)
		}
	}()
}

// failsElsewhere tries targets other than the suspects. It returns false once a target has shown
// itself on a direct connection, and true once confirmingTargets more are suspects or no
// target is left to try.
func (p *Paths) failsElsewhere() bool {
	skip, confirmed := p.Table.Suspects(), 0
	for range maxSampledTargets {
		target, ok := p.Targets.SampleTarget(skip)
		if !ok {
			return true
		}
		skip[target.Address] = true
		p.tryTarget(target.Address)
		suspects := p.Table.Suspects()
		if len(suspects) == 0 {
			return false
		}
		if suspects[target.Address] {
			confirmed++
		}
		if confirmed == confirmingTargets {
			return true
		}
	}
	return true
}

// tryTarget connects to a target without a request, directly or through a relay, and records the
// outcome.
func (p *Paths) tryTarget(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout+relayTimeout)
	defer cancel()
	c, err := p.connectHedged(ctx, address, 0, func(ctx context.Context) (net.Conn, error) { return nil, p.Probe(ctx, address) })
	if err == nil && c != nil {
		_ = c.Close()
	}
}

// beginIsolation follows the begin of an isolation after connections failed in the given way.
func (p *Paths) beginIsolation(failure reach.Failure) {
	if failure != reach.Refused {
		p.CloseIdle("")
	}
	p.setIsolated(true)
	if failure == reach.TimedOut {
		p.abandonSilent()
	}
}

// abandonSilent gives up the requests that were sent before now if no target answers directly within
// silenceLimit. Connections that are in use may live on while new ones can't be opened.
func (p *Paths) abandonSilent() {
	began := clock.Now()
	p.hasAnswered.Store(false)
	time.AfterFunc(silenceLimit, func() {
		if p.AbandonSilent == nil || p.hasAnswered.Load() || !p.Table.Isolated() {
			return
		}
		if n := p.AbandonSilent(began); n > 0 {
			p.Log.Warn("requests given up on silent connections", "requests", n, "silent_ms", clock.Since(began).Milliseconds())
		}
	})
}

// setIsolated reports the begin or the end of an isolation.
func (p *Paths) setIsolated(isolated bool) {
	if isolated {
		p.Log.Warn("gateway can't reach targets that its peers reach; connecting through peers", "unreachable", p.Table.Count())
	} else {
		p.Log.Info("gateway reaches targets again; connecting directly", "unreachable", p.Table.Count())
	}
	p.Meter.Isolated(isolated)
	if p.OnIsolated != nil {
		p.OnIsolated(isolated)
	}
}
