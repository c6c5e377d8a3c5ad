// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package stages

import (
	"context"
	"sync"
	"time"
)

const (
	// pingInterval is how often a broker that runs stages of this process is pinged.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is how long a ping may take before the broker counts as unreachable.
	pingTimeout = 500 * time.Millisecond
)

// monitors has one monitor for each broker that runs stages of this process. The zero
// value has none. It is safe for concurrent use.
type monitors struct {
	mu        sync.Mutex
	byAddress map[string]*monitor
}

// monitor pings one broker for all stage calls there. monitors.mu guards its fields.
type monitor struct {
	calls map[*monitoredCall]struct{} // in progress
	timer *time.Timer                 // of the next ping
}

// monitoredCall is a stage call at a broker.
type monitoredCall struct {
	cancel context.CancelCauseFunc
}

// watch returns a context for a stage call at the broker at address. The context ends with
// an error that wraps errUnreachable once a ping of the broker fails. end must be called at
// the end of the call.
func (m *monitors) watch(ctx context.Context, address string, ping func(context.Context) error) (callCtx context.Context, end func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	call := &monitoredCall{cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byAddress == nil {
		m.byAddress = map[string]*monitor{}
	}
	broker := m.byAddress[address]
	if broker == nil {
		broker = &monitor{calls: map[*monitoredCall]struct{}{}}
		m.byAddress[address] = broker
		broker.timer = time.AfterFunc(pingInterval, func() { m.check(address, broker, ping) })
	}
	broker.calls[call] = struct{}{}
	return callCtx, func() {
		m.mu.Lock()
		delete(broker.calls, call)
		m.mu.Unlock()
		cancel(nil)
	}
}

// check pings a broker and schedules the next ping. It removes the monitor if no call is in
// progress at the broker, and ends all calls there if the ping fails.
func (m *monitors) check(address string, broker *monitor, ping func(context.Context) error) {
	if m.removeIdle(address, broker) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if err := ping(ctx); err != nil {
		m.endCalls(address, broker, WrapUnreachable(err))
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	broker.timer.Reset(pingInterval)
}

// removeIdle removes a monitor without calls, and reports whether it did.
func (m *monitors) removeIdle(address string, broker *monitor) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(broker.calls) > 0 {
		return false
	}
	delete(m.byAddress, address)
	return true
}

// endCalls removes a monitor and ends its calls with err.
func (m *monitors) endCalls(address string, broker *monitor, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.byAddress, address)
	for call := range broker.calls {
		call.cancel(err)
	}
}
