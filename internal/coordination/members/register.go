// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"encoding/json"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/hookhall/hookhall/internal/state/clock"
	"github.com/pkg/errors"
)

// Leave takes this process off the list: it stops.
func (m *Members) Leave(ctx context.Context) {
	m.stopping.Store(true)
	if lease := m.lease.Swap(nil); lease != nil {
		if err := m.store.Revoke(ctx, *lease); err != nil {
			m.log.Warn("The lease could not be ended; it expires.", "error", err.Error())
		}
	}
}

// leaseNumber is the lease's, for the log; 0 for none.
func (m *Members) leaseNumber() uint64 {
	if lease := m.lease.Load(); lease != nil {
		return lease.Number
	}
	return 0
}

// own is this process as the others should see it.
func (m *Members) own() hookhall.Member {
	o := m.self
	o.Resting = m.resting.Load()
	return o
}

// write writes this process's key under a lease.
func (m *Members) write(ctx context.Context, lease hookhall.Lease) error {
	o := m.own()
	value, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "this member can't be encoded")
	}
	if err := m.store.Put(ctx, prefix+o.Instance, value, lease); err != nil {
		return err
	}
	m.said.Store(o.Resting)
	return nil
}

func (m *Members) register(ctx context.Context) {
	pause := retry.Between(pauseFirst, pauseMost)
	failing := false
	for ctx.Err() == nil && !m.stopping.Load() {
		if err := m.renew(ctx); err != nil {
			if !failing && ctx.Err() == nil {
				m.log.Warn("The lease can't be renewed; others drop this gateway when it expires.", "lease", m.leaseNumber(), "error", err.Error())
			}
			failing = true
			pause.Wait(ctx)
			continue
		}
		if failing {
			m.log.Info("The lease is renewed again.", "lease", m.leaseNumber())
		}
		failing = false
		pause.Reset()
		retry.Sleep(ctx, retry.Jitter(renewEvery))
	}
}

// renew keeps the lease, or begins a new one, and has the key say what is true.
func (m *Members) renew(ctx context.Context) error {
	if lease := m.lease.Load(); lease != nil {
		err := m.store.Renew(ctx, *lease)
		if err == nil && m.said.Load() != m.resting.Load() {
			err = m.write(ctx, *lease)
		}
		if !errors.Is(err, hookhall.ErrLeaseGone) {
			return err
		}
		m.lease.CompareAndSwap(lease, nil)
	}
	lease, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	if err := m.write(ctx, lease); err != nil {
		return err
	}
	if !m.stopping.Load() {
		m.lease.Store(&lease)
		m.since.LoadOrStore(m.self.Address, clock.Now())
		m.log.Info("Registered.", "lease", lease.Number, "era", lease.Era)
	}
	return nil
}
