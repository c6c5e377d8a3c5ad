// Copyright 2026 The hookhall authors.
// SPDX-License-Identifier: Apache-2.0

package eras

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hookhall/hookhall"
	"github.com/pkg/errors"
)

// errEarlierEra is the error of a call whose answer has an earlier era than the latest one
// received, or none.
var errEarlierEra = errors.Wrap(hookhall.ErrUnavailable, "the answer is of an earlier era of the store")

// Meter counts the restores that a Store detects.
type Meter interface {
	// Restored counts one restore of the store from an older copy, after which it is in the given
	// era.
	Restored(era uint64)
}

// Store is a hookhall.Store that passes calls on to another store and rejects answers of earlier
// eras. It is safe for concurrent use.
type Store struct {
	store hookhall.Store
	meter Meter
	log   *log.Logger

	mu                sync.Mutex
	hasAnswer         bool   // an answer was received
	latest            uint64 // latest era received
	isRejectionLogged bool   // an answer of an earlier era was logged since the latest era began
}

// New returns a Store that passes calls on to s, reports restores to m and logs to l.
func New(s hookhall.Store, m Meter, l *log.Logger) *Store { return &Store{store: s, meter: m, log: l} }

// Era returns the latest era of the answers received, 0 before the first answer.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// checkEra records the era of an answer. It returns errEarlierEra if the answer must not be used.
func (s *Store) checkEra(era uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.hasAnswer:
		s.hasAnswer, s.latest = true, era
	case era > s.latest:
		s.log.Warn("store restored from an older copy; reading everything again", "era", era, "before", s.latest)
		s.latest, s.isRejectionLogged = era, false
		s.meter.Restored(era)
	case era < s.latest:
		if !s.isRejectionLogged {
			s.isRejectionLogged = true
			s.log.Warn("store answered in an earlier era; ignoring such answers", "era", era, "latest", s.latest)
		}
		return errEarlierEra
	}
	return nil
}

// Get implements hookhall.Store.
func (s *Store) Get(ctx context.Context, key string) (hookhall.Item, hookhall.Revision, error) {
	item, at, err := s.store.Get(ctx, key)
	if err == nil {
		err = s.checkEra(at.Era())
	}
	return item, at, err
}

// Range implements hookhall.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.checkList(s.store.Range(ctx, prefix))
}

// RangeStale implements hookhall.Store.
func (s *Store) RangeStale(ctx context.Context, prefix string) ([]hookhall.Item, hookhall.Revision, error) {
	return s.checkList(s.store.RangeStale(ctx, prefix))
}

// checkList checks the era of a list. It returns no items with an error.
func (s *Store) checkList(items []hookhall.Item, at hookhall.Revision, err error) ([]hookhall.Item, hookhall.Revision, error) {
	if err == nil {
		err = s.checkEra(at.Era())
	}
	if err != nil {
		return nil, 0, err
	}
	return items, at, nil
}

// Watch implements hookhall.Store. It returns hookhall.ErrHistoryGone if since belongs to an
// earlier era, because the store can't list the changes between two eras.
func (s *Store) Watch(ctx context.Context, prefix string, since hookhall.Revision, wait time.Duration) ([]hookhall.Item, hookhall.Revision, error) {
	if since.Era() < s.Era() {
		return nil, since, hookhall.ErrHistoryGone
	}
	events, at, err := s.store.Watch(ctx, prefix, since, wait)
	if err == nil {
		err = s.checkEra(at.Era())
	}
	return events, at, err
}

// Put implements hookhall.Store. It returns hookhall.ErrLeaseGone for a lease of an earlier era.
func (s *Store) Put(ctx context.Context, key string, value []byte, lease hookhall.Lease) error {
	if s.isGone(lease) {
		return hookhall.ErrLeaseGone
	}
	return s.store.Put(ctx, key, value, lease)
}

// Swap implements hookhall.Store. It returns hookhall.ErrConflict if previous belongs to an
// earlier era: the key may have been changed by the restore.
//
// TODO: a restore that no answer has shown yet is only detected in the answer to the write.
// By then the value is written if another process wrote the key at the same revision count.
func (s *Store) Swap(ctx context.Context, key string, value []byte, previous hookhall.Revision) (hookhall.Revision, error) {
	if previous > 0 && previous.Era() < s.Era() {
		return 0, hookhall.ErrConflict
	}
	at, err := s.store.Swap(ctx, key, value, previous)
	if err == nil {
		err = s.checkEra(at.Era())
	}
	return at, err
}

// Grant implements hookhall.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (hookhall.Lease, error) {
	lease, err := s.store.Grant(ctx, ttl)
	if err == nil {
		err = s.checkEra(lease.Era)
	}
	return lease, err
}

// Renew implements hookhall.Store. It returns hookhall.ErrLeaseGone for a lease of an earlier era.
func (s *Store) Renew(ctx context.Context, lease hookhall.Lease) error {
	if s.isGone(lease) {
		return hookhall.ErrLeaseGone
	}
	return s.store.Renew(ctx, lease)
}

// Revoke implements hookhall.Store. It does nothing for a lease of an earlier era.
func (s *Store) Revoke(ctx context.Context, lease hookhall.Lease) error {
	if s.isGone(lease) {
		return nil
	}
	return s.store.Revoke(ctx, lease)
}

// isGone reports whether lease belongs to an earlier era.
func (s *Store) isGone(lease hookhall.Lease) bool { return lease.Number != 0 && lease.Era < s.Era() }
