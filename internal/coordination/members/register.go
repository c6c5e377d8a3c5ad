// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package members

import (
	"context"
	"encoding/json"

	"github.com/hookhall/hookhall"
	"github.com/hookhall/hookhall/internal/coordination/retry"
	"github.com/pkg/errors"
)

// Leave removes this process from the list when it stops: it owns no work from then on, and
// its lease is revoked. If that fails, the others remove it when the lease expires.
func (m *Members) Leave(ctx context.Context) {
	m.stopping.Store(true)
	if lease := m.lease.Swap(nil); lease != nil {
		if err := m.store.Revoke(ctx, *lease); err != nil {
			m.log.Warn("lease not revoked; it will expire", "error", err.Error())
		}
	}
}

// leaseNumber returns the number of the lease for log messages, 0 without a lease.
func (m *Members) leaseNumber() uint64 {
	if lease := m.lease.Load(); lease != nil {
		return lease.Number
	}
	return 0
}

// advertised returns the record of this process with its current state, for the others.
func (m *Members) advertised() hookhall.Member {
	record := m.self
	record.DecliningOwnership, record.CutOff = m.declining.Load(), m.cutOff.Load()
	return record
}

// writeKey writes this process's key under a lease.
func (m *Members) writeKey(ctx context.Context, lease hookhall.Lease) error {
	record := m.advertised()
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "could not encode the record of this gateway")
	}
	if err := m.store.Put(ctx, keyPrefix+record.Instance, value, lease); err != nil {
		return err
	}
	m.published.Store(&availability{record.DecliningOwnership, record.CutOff})
	return nil
}

// register keeps this process registered until ctx ends or Leave is called.
func (m *Members) register(ctx context.Context) {
	backoff := retry.NewWithDelays(minRetryDelay, maxRetryDelay)
	failing := false
	for ctx.Err() == nil && !m.stopping.Load() {
		if err := m.renew(ctx); err != nil {
			if !failing && ctx.Err() == nil {
				m.log.Warn("lease not renewed; other gateways remove this one when it expires", "lease", m.leaseNumber(), "error", err.Error())
			}
			failing = true
			m.storeFailing.Store(true)
			backoff.Wait(ctx)
			continue
		}
		if failing {
			m.log.Info("lease renewed again", "lease", m.leaseNumber())
		}
		failing = false
		m.storeFailing.Store(false)
		backoff.Reset()
		retry.Sleep(ctx, retry.Jitter(renewInterval))
	}
}

// renew renews the lease, or registers under a new one if there is none or it is gone, and
// updates the key if it does not state the availability of this process. It writes the key again if this
// process is not listed: an earlier write without an answer may have been done late, under an older lease.
func (m *Members) renew(ctx context.Context) error {
	if lease := m.lease.Load(); lease != nil {
		err := m.store.Renew(ctx, *lease)
		if err == nil && (m.unlisted.Load() || *m.published.Load() != (availability{m.declining.Load(), m.cutOff.Load()})) {
			err = m.writeKey(ctx, *lease)
		}
		if !errors.Is(err, hookhall.ErrLeaseGone) {
			return err
		}
		m.lease.CompareAndSwap(lease, nil)
	}
	lease, err := m.store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := m.writeKey(ctx, lease); err != nil {
		return err
	}
	if !m.stopping.Load() {
		m.lease.Store(&lease)
		m.log.Info("Registered.", "lease", lease.Number, "era", lease.Era)
	}
	return nil
}
